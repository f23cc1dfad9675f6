import contextlib
import dataclasses
import time
import typing

import cbor2
import pytest
from hypothesis import given
from hypothesis import strategies as st
from measurements._cluster import SECRET, fetch
from websockets.exceptions import ConnectionClosed
from websockets.sync.client import connect

from endivelug import codec, messages
from endivelug._handshake import _compute_proof
from programs import FUZZ

HELLO_FRAMES = {
    "text": "hello",
    "empty": b"",
    "not CBOR": b"\xff\xff\xff",
    "other type": codec.encode(messages.StatusRequest()),
    "a proof first": codec.encode(messages.Proof(hmac=b"x" * 32)),
    "unknown type": cbor2.dumps([999, 0]),
    "type is text": cbor2.dumps(["1", 0]),
    "fields missing": cbor2.dumps([1, 0, 1, "vm"]),
    "wrong field": cbor2.dumps([1, 0, 1, "vm", "dc1", "agent", "1", b"n" * 16]),
    "a map": cbor2.dumps({1: 2}),
    "deep": b"\x81" * 100_000,
    "array over the end": b"\x9b\x00\x00\x00\x7f\xff\xff\xff\xff",
    "bytes over the end": b"\x5b\x00\x00\x00\x7f\xff\xff\xff\xff",
    "cycle": bytes.fromhex("d81c82d81d0000"),
    "large pattern": cbor2.dumps(cbor2.CBORTag(35, "a" * 4_000_000)),
    "many arrays": b"\x9a\x00\x0f\xff\x00" + b"\x80" * 0x0FFF00,
    "over the limit": b"\x00" * (codec.MAX_MESSAGE_BYTES + 1),
    "old protocol": codec.encode(
        messages.Hello(
            protocol=0,
            vm="v",
            data_centre="d",
            role="agent",
            incarnation=1,
            nonce=b"n" * 16,
        )
    ),
}


def is_closed(peer):
    """Return whether the agent closes the link."""
    try:
        while True:
            peer.recv(timeout=8)
    except ConnectionClosed:
        return True
    except TimeoutError:
        return False


# Guards against an unauthenticated peer whose malformed greeting makes the agent spend
# time or memory on decoding it.
@pytest.mark.parametrize("name", HELLO_FRAMES)
def test_malformed_greetings(system, name):
    with contextlib.suppress(ConnectionClosed):
        url = f"ws://{system.vm.agent_address}/"
        with connect(url, compression=None, proxy=None) as peer:
            peer.send(HELLO_FRAMES[name])
            began = time.monotonic()
            # Decoding a greeting slowly would block every link of the agent.
            assert fetch(f"{system.vm.agent_url}/healthz")[0] == 200
            assert time.monotonic() - began < 1
            assert is_closed(peer)


# Guards against a peer without the secret that authenticates with a proof from another
# link, or with the agent's own messages sent back.
@pytest.mark.parametrize("attack", ["wrong secret", "replayed", "reflected", "empty"])
def test_replayed_and_reflected_proofs_are_refused(system, attack):
    with system.link() as earlier_link:
        replayed = _compute_proof(
            SECRET.encode(), b"client", earlier_link.hello_frame, earlier_link.greeting
        )
    url = f"ws://{system.vm.agent_address}/"
    with connect(url, compression=None, proxy=None) as peer:
        greeting = b""
        if attack == "reflected":
            greeting = peer.recv(timeout=5)
            peer.send(greeting)
        else:
            peer.send(earlier_link.hello_frame)
            greeting = peer.recv(timeout=5)
        proof = {
            "wrong secret": _compute_proof(
                b"other", b"client", earlier_link.hello_frame, greeting
            ),
            "replayed": replayed,
            "empty": b"",
        }.get(attack)
        with contextlib.suppress(ConnectionClosed):
            if proof is None:
                peer.send(peer.recv(timeout=5))
            else:
                peer.send(codec.encode(messages.Proof(hmac=proof)))
            peer.send(codec.encode(messages.StatusRequest(), correlation=5))
        assert is_closed(peer)


LINK_FRAMES = {
    name: frame for name, frame in HELLO_FRAMES.items() if "protocol" not in name
} | {
    "reply to nothing": codec.encode(messages.StatusRequest(), correlation=-5),
    "huge correlation": cbor2.dumps([17, 2**200]),
    "huge number": cbor2.dumps([16, 0, 2**70]),
    "invalid UTF-8": cbor2.dumps([6, 0, b"r", 0, "batch", 1, [], 1.0]).replace(
        b"\x00e", b"\x61\xff", 1
    ),
}


# Guards against a faulty but authenticated peer that crashes or blocks the agent.
@pytest.mark.parametrize("name", LINK_FRAMES)
def test_malformed_messages_of_a_peer(system, name):
    with contextlib.suppress(ConnectionClosed), system.link() as peer:
        peer.socket.send(LINK_FRAMES[name])
        began = time.monotonic()
        assert fetch(f"{system.vm.agent_url}/healthz")[0] == 200
        assert time.monotonic() - began < 1
        peer.ask(messages.StatusRequest())


def values(annotation):
    """Return a strategy for values of the given type, with extreme values included."""
    if typing.get_origin(annotation) is list:
        return st.lists(values(typing.get_args(annotation)[0]), max_size=4)
    if dataclasses.is_dataclass(annotation):
        return records(annotation)
    integers = [0, 1, -1, 2**31, 2**63 - 1, -(2**63), 2**64 - 1]
    return {
        int: st.sampled_from(integers),
        float: st.sampled_from([0.0, -1.0, 1e308, float("inf"), float("nan")]),
        bool: st.booleans(),
        bytes: st.sampled_from([b"", b"\x00", b"r" * 8, b"\xff" * 2000]),
        str: st.sampled_from(["", "e1", "ghost", "batch", "\x00", "x" * 3000, "é"]),
    }[annotation]


def records(kind):
    """Return a strategy for instances of a data class."""
    hints = typing.get_type_hints(kind)
    fields = {item.name: values(hints[item.name]) for item in dataclasses.fields(kind)}
    return st.builds(kind, **fields)


@pytest.mark.parametrize("kind", typing.get_args(messages.Message))
@FUZZ
@given(data=st.data())
# Guards against well-formed messages with extreme values that crash the agent.
def test_messages_of_any_value(started, kind, data):
    message = data.draw(records(kind))
    assert started.agent.poll() is None, started.logs()[-3000:]
    with contextlib.suppress(ConnectionClosed), started.link() as peer:
        peer.socket.send(codec.encode(message, correlation=data.draw(st.booleans())))
        assert isinstance(peer.ask(messages.StatusRequest()), messages.Status)
    assert started.agent.poll() is None, started.logs()[-3000:]


def test_the_system_works_after_messages_of_any_value(system):
    system.assert_healthy()
