import json
import re
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from config_check_builders import change, configurations, find
from endivelug.platform import check_configuration
from endivelug.platform.configuration_reader import (
    ConfigurationReader,
    describe_place,
    read_document,
)
from endivelug.platform.records import RecordUnreadable, decode_configuration
from forwarding_builders import configuration_document, make_request

KEY = "k1"
# Path of the changed member, its value, severity and place of the finding, and a part
# of its message.
FAULTS = [
    ("version", ..., "error", "version", "missing"),
    ("version", "7", "error", "version", "cannot be used"),
    ("routes", [], "error", "routes", "no route"),
    ("routes/0", 5, "error", "routes/[0]", "not an object"),
    ("routes/0/name", ..., "error", "routes/[0]/name", "missing"),
    ("routes/0/kind", "fast", "error", "routes/{r}/kind", "cannot be used"),
    ("routes/0/timeoutMs", 0, "error", "routes/{r}/timeoutMs", "value 0"),
    ("routes/0/public", "false", "error", "routes/{r}/public", "type str"),
    ("routes/0/host", "h:80", "error", "routes/{r}/host", "never match"),
    ("routes/0/prefix", "a/", "error", "routes/{r}/prefix", "never match"),
    ("routes/0/prefix", "/a?b", "error", "routes/{r}/prefix", "never match"),
    ("routes/0/targetLatencyMs", 10**6, "error", "routes/{r}/targetLatencyMs", "above"),
    ("routes/0/gapAimMs", 10**6, "error", "routes/{r}/gapAimMs", "above"),
    ("routes/0/stiky", True, "warning", "routes/{r}/stiky", "not known"),
    (
        "routes/0/trafficSplit",
        [{"service": "gone", "weight": 1}],
        "error",
        "routes/{r}/trafficSplit",
        "does not exist",
    ),
    (
        "routes/0/trafficSplit",
        [{"service": "gone", "weight": 0}],
        "error",
        "routes/{r}/trafficSplit",
        "all weights are 0",
    ),
    (
        "routes/0/trafficSplit",
        [{"service": "x", "weight": 0}, {"service": "x", "weight": 1}],
        "warning",
        "routes/{r}/trafficSplit",
        "gets no request",
    ),
    (
        "routes/0/trafficSplit",
        [{"service": "x", "weight": 2}, {"service": "x", "weight": 1}],
        "warning",
        "routes/{r}/trafficSplit",
        "listed 2 times",
    ),
    (
        "routes/0/trafficSplit",
        [{"service": "x", "weight": -1}],
        "error",
        "routes/{r}/trafficSplit[0]/weight",
        "cannot be used",
    ),
    ("services/0/maxConnections", 1.5, "error", "services/{s}/maxConnections", "1.5"),
    ("services/0/engine", {}, "warning", "services/{s}/engine", "plain service"),
    (
        "services/0/engine",
        {"slots": 10**6, "kvCapacityTokens": 1, "models": [{"name": "m"}]},
        "warning",
        "services/{s}/maxConnections",
        "cannot fill",
    ),
    (
        "services/0/engine",
        {"slots": 1, "kvCapacityTokens": 1},
        "warning",
        "services/{s}/engine.models",
        "empty",
    ),
    ("tenants", None, "warning", "tenants", "need no key"),
    ("tenants", {}, "error", "tenants", "cannot be used"),
    ("tenants/0/apiKeys", [], "warning", "tenants/{t}/apiKeys", "no key"),
    ("tenants/0/apiKeys", [3], "error", "tenants/{t}/apiKeys[0]", "not a text"),
    ("tenants/0/apiKeys", ["x", "x"], "warning", "tenants/{t}/apiKeys[1]", "twice"),
    ("tenants/0/unit", "furlongs", "error", "tenants/{t}/unit", "cannot be used"),
    ("limits", {"maxBodyBytes": 0}, "error", "limits/maxBodyBytes", "value 0"),
]


def names_of(document):
    return {
        letter: document[section][0].get("name")
        for letter, section in (("r", "routes"), ("s", "services"), ("t", "tenants"))
    }


# Guards against a false alarm, which would teach operators to ignore the command.
@settings(derandomize=True, max_examples=150, deadline=None)
@given(document=configurations())
def test_a_valid_configuration_has_no_finding(document):
    assert find(document) == []
    decode_configuration(json.dumps(document).encode())


# Guards against a fault that is not reported, or at the wrong place.
@pytest.mark.parametrize(("path", "value", "severity", "place", "message"), FAULTS)
@settings(derandomize=True, max_examples=8, deadline=None)
@given(document=configurations())
def test_each_seeded_fault_gives_its_finding(
    document, path, value, severity, place, message
):
    expected = (severity, place.format(**names_of(document)))
    found = find(change(path, value, document))
    assert any(item[:2] == expected and message in item[2] for item in found), found


# Guards against findings that are missed because two entries together make the fault.
@pytest.mark.parametrize(
    ("changes", "severity", "place", "message"),
    [
        ({"routes/1/prefix": "/look/"}, "error", "routes/r-look/prefix", "'r-order'"),
        (
            {"routes/1/prefix": "/look/", "routes/1/host": "H.EXAMPLE"},
            "error",
            "routes/r-look/prefix",
            "never match",
        ),
        ({"routes/1/name": "r-look"}, "warning", "routes/r-look/name", "2 routes"),
        ({"routes/1/maxAttempts": 2}, "warning", "routes/r-order/maxAttempts", "once"),
        ({"routes/2/maxAttempts": 4}, "warning", "routes/r-look/maxAttempts", "only 3"),
        (
            {"services": [*configuration_document()["services"], {"name": "desk"}]},
            "error",
            "services/desk/name",
            "last",
        ),
        ({"tenants": []}, "error", "tenants", "'r-review', 'r-order', 'r-look'"),
        ({"tenants/1/name": "org1"}, "error", "tenants/org1/name", "one quota"),
        ({"tenants/1/apiKeys": [KEY]}, "error", "tenants/org2/apiKeys[0]", "'org1'"),
        ({"tenants/0/ratePerS": 5}, "warning", "tenants/org1/burst", "one request"),
        ({"tenants/0/burst": 5}, "warning", "tenants/org1/burst", "no limit"),
        (
            {
                "tenants/0/ratePerS": 5,
                "tenants/0/burst": 9,
                "tenants/0/unit": "token_stream",
            },
            "warning",
            "tenants/org1/plainTokens",
            "not limited",
        ),
        (
            {
                "tenants/0/ratePerS": 5,
                "tenants/0/burst": 50,
                "tenants/0/unit": "token_stream",
                "tenants/0/plainTokens": 51,
            },
            "warning",
            "tenants/org1/burst",
            "counts 51",
        ),
    ],
)
def test_faults_of_several_members(changes, severity, place, message):
    document = configuration_document()
    for path, value in changes.items():
        document = change(path, value, document)
    [found] = find(document)
    assert found[:2] == (severity, place)
    assert message in found[2]
    assert KEY not in found[2]


# Guards against a route that is said never to match but does, and the reverse.
@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    pairs=st.lists(
        st.tuples(
            st.sampled_from(["h", "H", "g", "h:80"]),
            st.sampled_from(["", "/", "/a", "/a/", "a", "/a?b"]),
        ),
        min_size=1,
        max_size=6,
    )
)
def test_routes_that_never_match_are_those_that_no_request_reaches(pairs):
    route = configuration_document()["routes"][2]
    items = [
        {**route, "name": f"r{number}", "host": host, "prefix": prefix}
        for number, (host, prefix) in enumerate(pairs)
    ]
    document = configuration_document(routes=items)
    router = decode_configuration(json.dumps(document).encode())
    requests = [
        make_request(host=host, target=target)
        for host in ("h", "g", "h:80", "H:1")
        for target in ("/", "/b", "/a", "/ab", "/a/", "/a/b", "/a?b")
    ]
    reached = {
        found.name
        for item in requests
        if (found := router.route_for(item.host, item.path)) is not None
    }
    never = {
        place.split("/")[1]
        for _, place, message in find(document)
        if "never" in message
    }
    assert never == {item["name"] for item in items} - reached


# Guards against reporting only the first of several errors, and against errors that
# follow from an entry that cannot be decoded.
def test_all_errors_are_reported_at_once():
    document = change("routes/0/host", ...)
    document = change("routes/0/timeoutMs", "10", document)
    document = change("services/1/maxConnections", 0, document)
    document = change("tenants/0/name", 7, document)
    document = change("tenants/1/isolated", "no", document)
    assert [place for _, place, _ in find(document)] == [
        "services/desk/maxConnections",
        "routes/r-review/host",
        "routes/r-review/timeoutMs",
        "tenants/[0]/name",
        "tenants/org2/isolated",
    ]


# Guards against calling a configuration valid that the router rejects, and against an
# exception on unlikely values.
@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    path=st.sampled_from([path for path, *_ in FAULTS]),
    value=st.recursive(
        st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
        lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
        max_leaves=4,
    )
    | st.sampled_from([10**400, -1, 0, "\ud800", [{}], [[]], [None]]),
)
def test_what_the_router_rejects_is_an_error(path, value):
    document = change(path, value)
    found = find(document)
    try:
        decode_configuration(json.dumps(document).encode())
    except RecordUnreadable:
        assert "error" in [severity for severity, _, _ in found]


# Guards against a name that stands twice in an object, of which JSON keeps the last.
def test_repeated_members_are_errors():
    text = json.dumps(configuration_document())
    text = text.replace('"public": false', '"public": true, "public": false', 1)
    reader = ConfigurationReader()
    reader.read(read_document(text.encode()))
    assert [describe_place(item.place) for item in reader.findings] == [
        "routes[0]/public"
    ]


def run(capsys, *arguments):
    with pytest.raises(SystemExit) as ended:
        check_configuration.main([str(argument) for argument in arguments])
    return ended.value.code, capsys.readouterr().out


def write(path, document):
    path.write_text(json.dumps(document))
    return path


# Guards against exit codes on which scripts cannot rely.
@pytest.mark.parametrize(
    ("text", "arguments", "code"),
    [
        (json.dumps(configuration_document()), [], 0),
        (json.dumps(change("routes/1/maxAttempts", 2)), [], 0),
        (json.dumps(change("routes/1/host", 2)), [], 1),
        ("{", [], 2),
        ("[]", [], 2),
        ("{}", ["--against", "missing.json"], 2),
        ("{}", ["--unknown"], 2),
    ],
)
def test_exit_codes(tmp_path, capsys, text, arguments, code):
    path = tmp_path / "new.json"
    path.write_text(text)
    assert run(capsys, path, *arguments)[0] == code


# Guards against changes that are missing, or listed after weaker ones.
def test_changes_are_listed_by_effect(tmp_path, capsys):
    old = write(tmp_path / "old.json", configuration_document())
    document = configuration_document(version=8)
    for path, value in {
        "routes/0/priority": 3,
        "routes/0/timeoutMs": 5000,
        "routes/1/prefix": "/b/",
        "routes/2/public": True,
        "services/0/engine/slots": 32,
        "tenants/0/ratePerS": 5,
        "tenants/0/burst": 9,
        "tenants/1/apiKeys": ["k3"],
    }.items():
        document = change(path, value, document)
    new = write(tmp_path / "new.json", document)
    code, text = run(capsys, new, "--against", old, "--json")
    assert code == 0
    assert [tuple(item.values()) for item in json.loads(text)["changes"]] == [
        ("access", "tenants/org2/apiKeys", "1 key(s) removed"),
        ("access", "tenants/org2/apiKeys", "1 key(s) added"),
        ("access", "routes/r-look/public", "no -> yes"),
        ("routing", "routes/r-order", "removed: h.example/a/orders/"),
        ("routing", "routes/r-order", "added: h.example/b/"),
        ("limits", "tenants/org1/ratePerS", "none -> 5 requests/s, burst 9"),
        ("limits", "routes/r-review/timeoutMs", "10 s -> 5 s"),
        ("limits", "services/engines/engine.slots", "64 -> 32"),
        ("priority", "routes/r-review/priority", "1 -> 3"),
    ]


# Guards against a changed configuration under an old version, and against entries that
# are listed as removed because they cannot be decoded.
@pytest.mark.parametrize(
    ("path", "value", "code", "message"),
    [
        ("routes/0/priority", 3, 0, "version 7 does not follow version 7"),
        ("routes/0/priority", "3", 1, "the changes are not listed"),
    ],
)
def test_warnings_of_the_comparison(tmp_path, capsys, path, value, code, message):
    old = write(tmp_path / "old.json", configuration_document())
    new = write(tmp_path / "new.json", change(path, value))
    result = run(capsys, new, "--against", old)
    assert result[0] == code
    assert message in result[1]
    assert "removed" not in result[1]


# Guards against differences between a configuration and itself.
def test_a_configuration_does_not_differ_from_itself(tmp_path, capsys):
    path = write(tmp_path / "same.json", configuration_document())
    assert run(capsys, path, "--against", path) == (
        0,
        "valid: 0 error(s), 0 warning(s), 0 change(s)\n",
    )


# Guards against a page whose exit codes differ from those of the command.
def test_the_page_has_the_exit_codes():
    page = (Path(__file__).parent.parent / "docs" / "check.md").read_text()
    codes = {
        value
        for name, value in vars(check_configuration).items()
        if name.startswith("EXIT_")
    }
    assert {int(code) for code in re.findall(r"^\| (\d) \|", page, re.M)} == codes
