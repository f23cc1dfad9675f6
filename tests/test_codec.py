import cbor2
import pytest

from endivelug import codec, messages
from endivelug.exceptions import PeerProtocolError


@pytest.mark.parametrize(
    "message",
    [
        messages.ConfigDelta(first=3, last=4, digest=9, bodies=[b"x", b"y"]),
        messages.LookupReply(
            request=b"12345678",
            views=[
                messages.EngineView(
                    engine="e1",
                    incarnation=1,
                    depth=2,
                    interactive_tokens=3,
                    batch_tokens=4,
                    streams=5,
                    preferred_count=1,
                    known=True,
                    recent_tokens=0,
                )
            ],
        ),
        messages.LocalState(agents=[], upstreams=[], connected=True),
    ],
)
def test_round_trip(message):
    assert codec.decode(codec.encode(message, correlation=5)) == (5, message)


# Guards against a malformed message that crashes the receiver.
@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff\xff",
        cbor2.dumps({"a": 1}),
        cbor2.dumps([9]),
        cbor2.dumps([999, 0]),
        cbor2.dumps([9, 0]),
        cbor2.dumps([9, 0, "seven"]),
        cbor2.dumps([9, 0, True]),
        cbor2.dumps([5, 0, b"r", [[1]]]),
    ],
)
def test_malformed_message_is_a_protocol_error(data):
    with pytest.raises(PeerProtocolError):
        codec.decode(data)


# Guards against tags that take seconds to decode: cbor2 compiles the regular expression
# of tag 35.
@pytest.mark.parametrize("tag", [0, 30, 35, 258, 12345])
def test_tags_are_refused(tag):
    with pytest.raises(PeerProtocolError, match="tag"):
        codec.decode(cbor2.dumps([17, cbor2.CBORTag(tag, "a" * 100)]))
