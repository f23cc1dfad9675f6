import json

import pytest

from endivelug.exceptions import SettingsError
from endivelug.platform.settings import load_node_settings

DOCUMENT = {
    "nodeName": "front-1",
    "zone": "dc1",
    "ip": "127.0.0.1",
    "listenAddrs": {"front": "127.0.0.1:1", "ready": "127.0.0.1:2"},
    "internalPorts": [7340, 7355],
    "bounds": {
        "drainMs": 2000,
        "graceS": 8,
        "leaseMs": 3000,
        "versionMs": 12000,
        "fencingRequired": True,
        "retryBudgetRatio": 0.2,
        "retrySlack": 52,
        "budgetWindowS": 10,
    },
    "platform": {"address": "127.0.0.1:3"},
    "unknown": {"ignored": True},
}


def load(tmp_path, document):
    path = tmp_path / "node.json"
    path.write_text(document if isinstance(document, str) else json.dumps(document))
    return load_node_settings(str(path))


# Guards against wrong conversion of units, and against rejecting unknown fields.
def test_durations_are_converted_to_seconds(tmp_path):
    settings = load(tmp_path, DOCUMENT)
    assert settings.drain_s == 2.0
    assert settings.weights_limit_s == 12.0
    assert settings.checks_fencing
    assert settings.link_port == 7340
    assert settings.cores == 0.0


# Guards against a tolerance of quotas that is not read, or is required.
def test_the_tolerance_of_quotas_is_optional(tmp_path):
    settings = load(tmp_path, DOCUMENT)
    assert (settings.quota_window_s, settings.quota_over) == (8.0, 0.1)
    assert settings.quota_slack == 190_000
    bounds = {"quotaWindowS": 4, "quotaOver": 0, "quotaSlack": 12.5}
    document = {**DOCUMENT, "bounds": {**DOCUMENT["bounds"], **bounds}}
    settings = load(tmp_path, document)
    assert (settings.quota_window_s, settings.quota_over) == (4.0, 0.0)
    assert settings.quota_slack == 12.5


# Guards against choosing small VMs as relays because their capacity is not read.
def test_the_capacity_is_the_share_of_a_core_times_its_speed(tmp_path):
    document = {**DOCUMENT, "limits": {"cpuShare": 0.5, "cores": 3}}
    assert load(tmp_path, document).cores == 1.5


# Guards against a process that does not know the memory and the descriptors of its VM.
def test_the_limits_of_the_vm_are_read(tmp_path):
    assert load(tmp_path, DOCUMENT).memory_mb == 0
    document = {**DOCUMENT, "limits": {"memoryMb": 160, "maxFds": 1638}}
    settings = load(tmp_path, document)
    assert (settings.memory_mb, settings.max_fds) == (160, 1638)


# Guards against early refusals and slow starts that the deployment does not ask for.
def test_upstreams_are_protected_where_the_settings_list_it(tmp_path):
    assert not load(tmp_path, DOCUMENT).protects_upstreams
    document = {**DOCUMENT, "contracts": ["base", "pressure"]}
    assert load(tmp_path, document).protects_upstreams
    with pytest.raises(SettingsError):
        load(tmp_path, {**DOCUMENT, "contracts": 7})


# Guards against reporting only the first error, so that the operator has to correct the
# settings one error at a time.
def test_all_errors_are_reported_at_once(tmp_path):
    bounds = {**DOCUMENT["bounds"], "leaseMs": "3000", "fencingRequired": 1}
    invalid = {**DOCUMENT, "zone": None, "bounds": bounds, "internalPorts": []}
    with pytest.raises(SettingsError) as raised:
        load(tmp_path, invalid)
    text = str(raised.value)
    for name in ("zone", "leaseMs", "fencingRequired", "internalPorts"):
        assert name in text


# Guards against a stack trace if the file is missing or malformed.
@pytest.mark.parametrize("text", ["", "{", "[]"])
def test_a_missing_or_malformed_file_is_a_settings_error(tmp_path, text):
    with pytest.raises(SettingsError):
        load(tmp_path, text)
    with pytest.raises(SettingsError):
        load_node_settings(str(tmp_path / "missing"))
