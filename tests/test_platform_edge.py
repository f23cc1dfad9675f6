import pytest

from endivelug.forwarding.requests import SendOptions
from endivelug.forwarding.upstream_connection import ResponseHead
from endivelug.platform.header_format import BadRequest, HeaderFormat
from forwarding_builders import make_request

FORGED = [
    ("X-Tenant", "other"),
    ("X-Cache-Salt", "s"),
    ("X-Kv-Fetch", "10.0.0.1:1"),
    ("X-Kv-Save", "10.0.0.1:1"),
    ("X-Kv-Backup", "10.0.0.1:1"),
    ("Kv-From", "10.0.0.1:1/a"),
    ("X-Hold", "h"),
    ("X-Pin-Ms", "4000"),
    ("X-Expect-Instance", "e9"),
    ("X-Expect-Version", "1"),
    ("X-Request-Priority", "0"),
]


def decode(headers, **changes):
    values = {"method": "POST", "target": "/a/x?y=1", "now": 100.0, **changes}
    return HeaderFormat().decode_request(headers=headers, **values)


def response(status=200, **headers):
    pairs = [(name.replace("_", "-"), value) for name, value in headers.items()]
    return ResponseHead(status=status, reason="", headers=pairs)


# Guards against callers that set headers reserved for the router, and against
# forwarding the caller's key.
def test_headers_reserved_for_the_router_are_removed():
    request = decode(
        [
            ("Host", "h.example:80"),
            ("X-Request-Id", "q1"),
            ("X-Credential", "secret"),
            ("Connection", "keep-alive, X-Private"),
            ("X-Private", "1"),
            ("X-Custom", "kept"),
            *FORGED,
        ]
    )
    assert request.headers == [("X-Request-Id", "q1"), ("X-Custom", "kept")]
    assert request.key == "secret"
    sent = HeaderFormat().upstream_head(
        request, SendOptions(instance="e1", remaining_s=1.0)
    )
    names = {name.lower() for name, _ in sent.headers}
    assert not names & {name.lower() for name, _ in FORGED} - {"x-expect-instance"}
    assert ("X-Expect-Instance", "e1") in sent.headers
    assert "secret" not in dict(sent.headers).values()
    assert sent.target == "/a/x?y=1"


# Guards against sending upstreams a longer deadline than the request has left.
def test_the_remaining_time_is_sent():
    request = decode([("X-Request-Id", "q1"), ("X-Deadline-Ms", "2500")])
    assert request.deadline == pytest.approx(102.5)
    options = SendOptions(
        instance="e1", remaining_s=1.2345, weights=3, organisation="o"
    )
    headers = dict(HeaderFormat().upstream_head(request, options).headers)
    assert headers["X-Deadline-Ms"] == "1234"
    assert headers["X-Expect-Version"] == "3"
    assert headers["X-Tenant"] == "o"


# Guards against decoding the wrong prompt segments or token counts.
def test_the_prompt_is_decoded():
    request = decode(
        [
            ("X-Request-Id", "q1"),
            ("X-Model", "m"),
            ("X-Token-Usage", "1460,80"),
            ("X-Prompt-Prefix", "5c1e:800,91bd:410,e440:250"),
        ]
    )
    assert (request.prompt_tokens, request.output_tokens) == (1460, 80)
    assert [segment.tokens for segment in request.prompt] == [800, 410, 250]


# Guards against an unhandled exception on malformed headers.
@pytest.mark.parametrize(
    "headers",
    [
        [],
        [("X-Request-Id", "q"), ("X-Deadline-Ms", "soon")],
        [("X-Request-Id", "q"), ("X-Token-Usage", "a,b")],
        [("X-Request-Id", "q"), ("X-Prompt-Prefix", "a:b")],
    ],
)
def test_malformed_headers_are_refused(headers):
    with pytest.raises(BadRequest):
        decode(headers)


# Guards against passing the late response to another request to a caller.
def test_a_response_matches_the_request_that_it_names():
    header_format, request = HeaderFormat(), make_request(id="q1")
    assert header_format.matches_request(request, response(x_request_id="q1"))
    assert not header_format.matches_request(request, response(x_request_id="q2"))
    assert not header_format.matches_request(request, response())
    assert header_format.matches_request(request, response(503))


# Guards against treating a refusal as a run, and a run as a refusal.
@pytest.mark.parametrize(
    ("head", "not_run"),
    [
        (response(503, x_not_executed="1"), True),
        (response(421), True),
        (response(503), False),
        (response(500), False),
        (response(200, x_response_seal="s"), False),
    ],
)
def test_only_an_explicit_refusal_means_not_run(head, not_run):
    assert HeaderFormat().response_info(head, instance="e1").not_run is not_run


# Guards against passing hop-by-hop headers of the upstream to the caller.
def test_hop_by_hop_headers_are_not_passed_to_the_caller():
    head = response(
        x_response_seal="s",
        connection="close, x-hop",
        x_hop="1",
        keep_alive="timeout=5",
        content_length="3",
    )
    assert HeaderFormat().caller_headers(head) == [("x-response-seal", "s")]
    assert HeaderFormat().response_info(head, instance="e1").idle_s == 5.0
