import contextlib
import json
import socket
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st
from measurements._cluster import SECRET

from endivelug.explain import operator_token
from programs import FUZZ, KEYS, MAX_GROWTH_KB, chat_body, post, rss_kb, send_raw

LISTENERS = ("router", "admin", "agent", "agent-metrics")

HEAD = b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
RAW = {
    "tls hello": b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" + b"\x00" * 200,
    "zeros": b"\x00" * 5000,
    "only line ends": b"\r\n" * 5000,
    "bad version": b"GET /healthz HTTP/9.9\r\n\r\n",
    "no version": b"GET /healthz\r\n\r\n",
    "header over the limit": b"GET / HTTP/1.1\r\nX: " + b"a" * 300_000 + b"\r\n\r\n",
    "endless header": b"GET / HTTP/1.1\r\nX: " + b"a" * 2_000_000,
    "many headers": b"GET / HTTP/1.1\r\n" + b"X: y\r\n" * 100_000 + b"\r\n",
    "header without colon": b"GET / HTTP/1.1\r\nHost x\r\n\r\n",
    "header with control characters": b"GET / HTTP/1.1\r\nA: \x00\x01\x7f\r\n\r\n",
    "folded header": b"GET / HTTP/1.1\r\nHost: x\r\nA: b\r\n  c\r\n\r\n",
    "negative length": HEAD + b"Content-Length: -1\r\n\r\n",
    "length is no number": HEAD + b"Content-Length: ten\r\n\r\n",
    "length with unicode digits": HEAD + "Content-Length: \u0661\r\n\r\n".encode(),
    "two lengths": HEAD + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
    "length and chunks": HEAD
    + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "length over the limit": HEAD + b"Content-Length: 999999999999\r\n\r\n",
    "bad chunk": HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n",
    "negative chunk": HEAD + b"Transfer-Encoding: chunked\r\n\r\n-5\r\nabc\r\n",
    "huge chunk": HEAD + b"Transfer-Encoding: chunked\r\n\r\nffffffffffff\r\nabc",
    "unknown encoding": HEAD + b"Transfer-Encoding: gzip\r\n\r\nabc",
    "body shorter than its length": HEAD + b"Content-Length: 100\r\n\r\nabc",
    "header cut off": b"GET /healthz HTTP/1.1\r\nHost:",
    "path with control characters": b"GET /\x00\x01 HTTP/1.1\r\nHost: x\r\n\r\n",
    "path of invalid UTF-8": b"GET /services/%ff/%fe HTTP/1.1\r\nHost: x\r\n\r\n",
    "query of invalid UTF-8": b"GET /metrics?a=%ff&%c0 HTTP/1.1\r\nHost: x\r\n\r\n",
    "absolute target": b"GET http://10.0.0.1/metrics HTTP/1.1\r\nHost: x\r\n\r\n",
    "CONNECT": b"CONNECT 10.0.0.1:80 HTTP/1.1\r\nHost: x\r\n\r\n",
    "unknown method": b"BREW /healthz HTTP/1.1\r\nHost: x\r\n\r\n",
    "no host": b"GET /healthz HTTP/1.1\r\n\r\n",
    "hostile host": b"GET /healthz HTTP/1.1\r\nHost: a b\xff/\r\n\r\n",
    "upgrade without key": b"GET / HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\n"
    b"Upgrade: websocket\r\n\r\n",
}


# Guards against malformed HTTP that crashes or blocks a process, or whose response
# contains a traceback.
@pytest.mark.parametrize("listener", LISTENERS)
def test_malformed_http(system, listener):
    for name, data in RAW.items():
        for cut in (False, True):
            response = send_raw(system.address(listener), data, cut=cut)
            status = response.split(b" ", 2)[1:2]
            assert not status or status[0][:1] in b"1 2 4".split(), (name, response)
            assert b"Traceback" not in response, name


@pytest.mark.parametrize("listener", LISTENERS)
@FUZZ
@given(data=st.binary(max_size=300), line=st.booleans())
# Guards against bytes that crash a process and that are not among the cases of RAW.
def test_random_bytes(started, listener, data, line):
    start = b"GET /metrics HTTP/1.1\r\n" if line else b""
    response = send_raw(started.address(listener), start + data, read_s=0.02)
    assert b" 500 " not in response[:20]


# Guards against callers that block others by holding connections with unfinished
# requests.
@pytest.mark.parametrize("listener", LISTENERS)
def test_slow_requests_do_not_block_others(system, listener):
    with contextlib.ExitStack() as stack:
        for number in range(100):
            connection = socket.create_connection(system.address(listener))
            stack.enter_context(connection)
            connection.sendall((HEAD + b"Content-Length: 9\r\n\r\n")[: 20 + number])
        began = time.monotonic()
        system.assert_healthy()
        assert time.monotonic() - began < 5


# Guards against a listener that reads a large body which none of its handlers expects.
@pytest.mark.parametrize("listener", ["admin", "agent-metrics"])
def test_operators_listeners_reject_a_large_body(system, listener):
    head = b"POST /metrics HTTP/1.1\r\nHost: x\r\nContent-Length: 50000000\r\n\r\n"
    response = send_raw(system.address(listener), head, read_s=2)
    # Refused by the Content-Length, before any of the body is read.
    assert b" 400 " in response[:20]


# Guards against unauthenticated callers that fill the router's memory with bodies.
def test_bodies_of_unauthenticated_callers_are_not_stored(system):
    before = rss_kb(system.router)
    head = HEAD + b"Authorization: Bearer x\r\nContent-Length: 4000000\r\n\r\n"
    with contextlib.ExitStack() as stack:
        for _ in range(30):
            connection = socket.create_connection(system.address("router"))
            stack.enter_context(connection)
            connection.sendall(head + b"x" * 3_900_000)
        # 117 MB were sent; buffers of the library may still hold a part.
        assert rss_kb(system.router) - before < MAX_GROWTH_KB
        # The refusal is sent only after the complete body, so that it is not lost.
        connection.sendall(b"x" * 100_000)
        connection.settimeout(5)
        response = connection.recv(65536)
        assert b" 401 " in response[:20]
        assert b"not-run" in response


DEEP = 100_000
USER = b'[{"role":"user","content":"x"}]'


def raw_body(*, model=b'"chat"', messages=USER, member=b'"x":1'):
    return b'{"model":%s,"messages":%s,%s}' % (model, messages, member)


BODIES = {
    "empty": b"",
    "not JSON": b"{",
    "invalid UTF-8": raw_body(messages=b'[{"role":"user","content":"\xff"}]'),
    "UTF-16": json.dumps(chat_body()).encode("utf-16")[:-1],
    "deep arrays": b"[" * DEEP,
    "deep objects": b'{"a":' * DEEP,
    "deep member": raw_body(member=b'"x":' + b"[" * DEEP + b"]" * DEEP),
    "long number": raw_body(member=b'"x":' + b"9" * 5000),
    "lone surrogate": raw_body(messages=rb'[{"role":"user","content":"\ud800"}]'),
    "surrogate in a role": raw_body(messages=rb'[{"role":"\uDFFF","content":""}]'),
    "surrogate in a model": raw_body(model=rb'"\ud800"'),
    "not a number": raw_body(member=b'"temperature":NaN'),
    "infinite": raw_body(member=b'"temperature":-Infinity'),
    "messages of wrong type": raw_body(messages=b'{"role":"user"}'),
    "content of wrong type": raw_body(messages=b'[{"role":"user","content":1}]'),
    "tokens as text": raw_body(member=b'"max_tokens":"4"'),
    "tokens negative": raw_body(member=b'"max_tokens":-4'),
    "tokens true": raw_body(member=b'"max_tokens":true'),
    "many messages": json.dumps({"model": "chat", "messages": [{}] * 100_000}).encode(),
    "cache of another": json.dumps(chat_body(cache_salt="x")).encode(),
    "model is a list": raw_body(model=b'["chat"]'),
}


# Guards against a malformed body that is not refused, or whose refusal does not say
# that the request did not run.
@pytest.mark.parametrize("name", BODIES)
def test_malformed_bodies(system, name):
    status, content = post(system, "/v1/chat/completions", BODIES[name], {})
    document = json.loads(content)
    assert (status // 100, document["run"]) == (4, "not-run"), document


# Guards against nesting that the parser accepts but the encoder for engines does not.
def test_nested_members_near_the_recursion_limit(system):
    for depth in (50, 300, 700, 900, 950, 980, 990, 1000, 2000):
        nested = "[" * depth + "]" * depth
        for member in ("tools", "x"):
            body = raw_body(member=f'"max_tokens":2,"{member}":{nested}'.encode())
            status, content = post(system, "/v1/chat/completions", body, {})
            assert status == 200 or json.loads(content)["run"] == "not-run", depth


EXPLAIN_BODIES = {
    "empty": b"",
    "deep": b"[" * DEEP,
    "no object": b"[]",
    "no request": b'{"organisation":"org-a"}',
    "unknown organisation": json.dumps(
        {"organisation": "x", "request": chat_body()}
    ).encode(),
    "organisation of wrong type": json.dumps(
        {"organisation": ["org-a"], "request": chat_body()}
    ).encode(),
    "lone surrogate": rb'{"organisation":"\ud800","request":{}}',
    "surrogate with a request": b'{"organisation":"\\ud800","request":'
    + json.dumps(chat_body()).encode()
    + b"}",
    "request is text": b'{"organisation":"org-a","request":"x"}',
}


# Guards against a malformed explain request that causes an internal error.
@pytest.mark.parametrize("name", EXPLAIN_BODIES)
def test_malformed_explain_requests(system, name):
    token = operator_token(SECRET)
    headers = {"Authorization": f"Bearer {token}"}
    status, _ = post(
        system, "/explain", EXPLAIN_BODIES[name], headers, listener="admin"
    )
    assert status in (400, 404)


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=9),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=9), inner, max_size=4)
    ),
    max_leaves=12,
)
MEMBER_NAMES = st.sampled_from(
    [
        *("messages", "model", "stream", "stream_options", "max_tokens", "n", "tools"),
        *("stop", "temperature", "max_completion_tokens", "tool_choice", "seed"),
    ]
)


@FUZZ
@given(members=st.dictionaries(MEMBER_NAMES, JSON_VALUES, max_size=4))
# Guards against members of unexpected types that cause an internal error.
def test_members_of_any_type(started, members):
    body = json.dumps({**chat_body(), **members}).encode()
    status, content = post(started, "/v1/chat/completions", body, {})
    assert status == 200 or json.loads(content)["run"] == "not-run", content


HEADERS = [
    {"X-Deadline-Seconds": value} for value in ("nan", "-1", "1e999", "0", "x" * 999)
]
HEADERS += [{"X-Work-Class": "\xff\xfe"}, {"Accept-Encoding": "\xff"}]
HEADERS += [{"Content-Type": "text/\xff; charset=\xfe"}, {"Expect": "100-continue"}]
HEADERS += [{"Content-Encoding": "gzip"}, {"Cookie": "a=\xff; ;;=="}]


# Guards against a header value that causes an internal error.
@pytest.mark.parametrize("headers", HEADERS, ids=lambda item: repr(item)[:30])
def test_malformed_headers(system, headers):
    body = json.dumps(chat_body()).encode()
    status, content = post(system, "/v1/chat/completions", body, headers)
    if status != 200:
        assert json.loads(content[content.index(b"{") :])["run"] == "not-run"


@pytest.mark.parametrize(
    "value",
    ["", "Bearer", "Bearer ", "Basic a", "Bearer \xff\xfe", "Bearer " + "k" * 20000],
    ids=range(6),
)
# Guards against a malformed Authorization header that is accepted or that crashes the
# process.
def test_malformed_authorization(system, value):
    status, content = post(system, "/v1/models", b"", {"Authorization": value})
    assert (status, json.loads(content)["run"]) == (401, "not-run")


SERVICE_PATHS = [
    "/services/orders/a%20HTTP/1.1%0d%0aX-Injected:%201%0d%0a%0d%0aGET%20/",
    "/services/orders/count%3Fkey=1",
    "/services/orders/count%23",
    "/services/orders/%ff%fe",
    "/services/orders/%00",
    "/services/orders/../../x",
    "/services/orders//10.0.0.1/x",
    "/services/orders/@10.0.0.1/x",
]


# Guards against a percent-encoded path that reaches the service as another request.
@pytest.mark.parametrize("path", SERVICE_PATHS)
def test_paths_of_services_are_forwarded_as_sent(system, path):
    head = f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
    head += f"Authorization: Bearer {KEYS['org-a']}\r\n\r\n"
    response = send_raw(system.address("router"), head.encode(), read_s=5)
    # The stand-in has no such resource, but a decoded path would match "count".
    assert response.split(b" ")[1] in (b"400", b"404"), response


# Guards against a long response after which the router refuses every request.
def test_long_responses_do_not_stop_admission(system):
    for _ in range(2):
        assert system.chat(max_tokens=1000)[0] == 200
        assert system.chat()[0] == 200
