import json

import pytest

from endivelug.chat_request import RequestInvalid, parse_chat_request

MESSAGE = {"role": "user", "content": "x"}


def body(**members):
    return json.dumps({"model": "m", "messages": [MESSAGE], **members}).encode()


def test_content_parts_and_extra_members():
    parts = [{"type": "text", "text": "a"}, {"type": "text", "text": "b"}]
    request = parse_chat_request(
        body(messages=[{"role": "user", "content": parts}], temperature=0)
    )
    assert request.messages == [{"role": "user", "content": "ab"}]
    assert request.extra == {"temperature": 0}


# Guards against a malformed body that reaches an engine or raises another exception,
# and against callers that set members reserved for the router, such as cache_salt.
@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"[]",
        b"[" * 100000,
        b"\xff",
        body(model=3),
        body(messages=[]),
        body(messages=["x"]),
        body(messages=[{"role": "user", "content": [{"type": "image_url"}]}]),
        body(messages=[{"role": "user"}]),
        body(stream="yes"),
        body(stream_options=[1]),
        body(max_tokens=True),
        body(max_tokens=0),
        body(n=2),
        body(cache_salt="other"),
        body(priority=0),
    ],
)
def test_malformed_body_is_refused(data):
    with pytest.raises(RequestInvalid):
        parse_chat_request(data)


@pytest.mark.parametrize(
    ("member", "remedy"),
    [
        (b'"x":NaN', "JSON"),
        (b'"x":-Infinity', "JSON"),
        (rb'"x":"\ud800"', "surrogates"),
        (b'"x":' + b"[" * 200 + b"]" * 200, "nested"),
    ],
)
# Guards against values that the parser accepts but the encoder for engines does not:
# the refusal would come after admission and say that the request may have run.
def test_values_that_cannot_be_encoded_are_refused(member, remedy):
    body = b'{"model":"m","messages":[{"role":"user","content":"x"}],' + member + b"}"
    with pytest.raises(RequestInvalid, match=remedy):
        parse_chat_request(body)
