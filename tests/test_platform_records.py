import json

import pytest

from endivelug.forwarding.records import (
    ConfigurationRecord,
    InstanceRecord,
    UnreadableRecord,
    WeightsRecord,
)
from endivelug.forwarding.routes import Repeat
from endivelug.platform.records import (
    PlatformRecords,
    RecordUnreadable,
    decode_configuration,
    decode_instance,
)
from forwarding_builders import (
    configuration_document,
    registration_document,
    stored_row,
)


def configuration(**changes):
    return decode_configuration(json.dumps(configuration_document(**changes)).encode())


# Guards against matching a shorter path prefix than the longest one that fits.
def test_the_longest_prefix_of_the_host_is_chosen():
    found = configuration()
    assert found.route_for("h.example", "/a/orders/1").name == "r-order"
    assert found.route_for("H.Example:80", "/a/1").name == "r-review"
    assert found.route_for("other.example", "/a/1") is None
    assert found.route_for("h.example", "/b") is None


# Guards against retrying requests of a route whose kind forbids it.
@pytest.mark.parametrize(
    ("path", "repeat", "streaming"),
    [
        ("/a/1", Repeat.UNSAFE, True),
        ("/a/orders/1", Repeat.UNSAFE, False),
        ("/look/1", Repeat.SAFE, False),
    ],
)
def test_the_kind_of_a_route_decides_what_may_be_retried(path, repeat, streaming):
    route = configuration().route_for("h.example", path)
    assert (route.repeat, route.streaming) == (repeat, streaming)


# Guards against accepting an unknown key, or assigning a key to the wrong organisation.
def test_keys_identify_their_organisation():
    found = configuration()
    assert found.organisations_by_key["k1"].isolated
    assert found.organisations_by_key["k2"].priority is None
    assert "k3" not in found.organisations_by_key


# Guards against letting every key in once the last organisation was removed.
def test_an_empty_list_of_organisations_knows_no_key():
    assert configuration(tenants=[]).has_organisations
    assert not configuration(tenants=None).has_organisations


def test_organisations_that_are_no_list_are_rejected():
    with pytest.raises(RecordUnreadable):
        configuration(tenants={"org1": []})


# Guards against using malformed registrations, which other programs may have written.
@pytest.mark.parametrize(
    "changes",
    [
        {"address": None},
        {"address": "10.0.0.1"},
        {"address": 7},
        {"slots": "64"},
        {"slots": True},
        {"slots": 0},
        {"state": "starting"},
        {"service": ["engines"]},
        {"zone": None},
        {"born": "1000"},
        {"born": 1.5},
        {"born": -1},
        {"born": 10**30},
        {"slots": 10**400},
        {"slots": 1e400},
        {"slots": float("nan")},
        {"address": "10.0.0.1:0"},
        {"address": "10.0.0.1:65536"},
        {"address": "10.0.0.1:99999"},
        {"address": "10.0.0.256:80"},
        {"address": "\u0661\u0660.0.0.1:80"},
        {"address": "10.0.0.1:\u0668\u0660"},
        {"zone": "\ud800"},
        {"models": [{"name": "\ud800", "version": 1}]},
        {"models": [{"name": "m", "version": 10**30}]},
        {"models": {"m": 1}},
        {"models": [{"name": "m", "version": "1"}]},
    ],
)
def test_a_registration_with_an_invalid_field_is_rejected(changes):
    value = json.dumps(registration_document(**changes)).encode()
    with pytest.raises(RecordUnreadable):
        decode_instance("e1", value)


# Guards against an upstream whose name cannot be sent in a header.
@pytest.mark.parametrize("name", ["", "e 1", "e1\r\nX-A: b", "\u30d5", "\ud800"])
def test_a_registration_under_an_unusable_name_is_rejected(name):
    value = json.dumps(registration_document()).encode()
    with pytest.raises(RecordUnreadable):
        decode_instance(name, value)


# Guards against numbers in a configuration that overflow.
@pytest.mark.parametrize(
    "changes", [{"version": 1e400}, {"limits": {"maxBodyBytes": 1e400}}]
)
def test_a_configuration_with_a_number_too_large_is_rejected(changes):
    value = json.dumps(configuration_document(**changes)).encode()
    with pytest.raises(RecordUnreadable):
        decode_configuration(value)


# Guards against a decoding error that ends the task which follows the feed.
@pytest.mark.parametrize(
    "value",
    [b"", b"\xff\xfe", b"[]", b"null", b"{", b"[" * 60_000, b'{"a":' * 12_000],
    ids=lambda value: repr(value[:8]),
)
@pytest.mark.parametrize(
    ("table", "key"), [("op", "config"), ("op", "version/m"), ("servers", "e1")]
)
def test_unreadable_rows_become_unreadable_records(table, key, value):
    decoded = PlatformRecords().decode(stored_row(table, key, value, 3))
    assert isinstance(decoded, UnreadableRecord)


# Guards against decoding a row as a record of another kind.
def test_rows_are_decoded_by_table_and_key():
    records = PlatformRecords()
    row = stored_row("op", "config", configuration_document(), 1)
    assert isinstance(records.decode(row), ConfigurationRecord)
    row = stored_row("op", "version/m", {"model": "m", "version": 3}, 2)
    assert records.decode(row) == WeightsRecord(model="m", version=3)
    row = stored_row("servers", "e1", registration_document(state="draining"), 2)
    decoded = records.decode(row)
    assert isinstance(decoded, InstanceRecord)
    assert decoded.instance.draining
    assert decoded.instance.incarnation == ("e1", 1000)
