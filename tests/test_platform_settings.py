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


# Guards against units that are read wrongly and fields that are unknown.
def test_settings_are_read_in_seconds(tmp_path):
    settings = load(tmp_path, DOCUMENT)
    assert settings.drain_s == 2.0
    assert settings.weights_limit_s == 12.0
    assert settings.checks_fencing
    assert settings.link_port == 7340


# Guards against an operator who has to correct one error after the other.
def test_all_errors_are_named_at_once(tmp_path):
    bounds = {**DOCUMENT["bounds"], "leaseMs": "3000", "fencingRequired": 1}
    wrong = {**DOCUMENT, "zone": None, "bounds": bounds, "internalPorts": []}
    with pytest.raises(SettingsError) as raised:
        load(tmp_path, wrong)
    text = str(raised.value)
    for name in ("zone", "leaseMs", "fencingRequired", "internalPorts"):
        assert name in text


# Guards against a stack trace where the file is missing or damaged.
@pytest.mark.parametrize("text", ["", "{", "[]"])
def test_a_damaged_file_is_an_error_with_its_place(tmp_path, text):
    with pytest.raises(SettingsError):
        load(tmp_path, text)
    with pytest.raises(SettingsError):
        load_node_settings(str(tmp_path / "missing"))
