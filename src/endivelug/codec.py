"""CBOR encoding of messages: one array ``[type, correlation, fields...]``."""

import dataclasses
from collections.abc import Callable
from typing import Any, NoReturn, get_args, get_origin, get_type_hints

import cbor2

from endivelug import messages
from endivelug.exceptions import PeerProtocolError
from endivelug.forwarding import peer_messages

# The largest messages are parts of a snapshot (256 KiB) and deltas (512 KiB); 1 MiB
# of empty arrays takes under 0.6 s to decode, 4 MiB took 2.2 s.
MAX_MESSAGE_BYTES = 1024 * 1024
# A message holds lists of records that hold lists of names.
MAX_DEPTH = 6
# Tags that cbor2 decodes by itself. No message has any, and some are expensive: a
# regular expression (35) of 4 MB takes 6 s to compile. Bignums (2, 3) are left,
# because cbor2 writes integers over 64 bits as such.
DECODED_TAGS = frozenset(
    {0, 1, 4, 5, 25, 28, 29, 30, 35, 36, 37, 52, 54}
    | {100, 256, 258, 260, 261, 1004, 43000, 55799}
)

Reader = Callable[[Any], Any]


def _refuse_tag(*_: Any) -> NoReturn:
    raise PeerProtocolError("a message has no CBOR tags; close the link")


_TAGS = {tag: _refuse_tag for tag in DECODED_TAGS}


def _scalar_reader(kind: type) -> Reader:
    accepted = (int, float) if kind is float else (kind,)

    def read(value: Any) -> Any:
        # bool is a subclass of int; type() keeps the two apart on the wire.
        if type(value) not in accepted:
            raise PeerProtocolError(
                f"expected {kind.__name__}, got {type(value).__name__}; "
                "run the same protocol version on both VMs"
            )
        return value

    return read


def _reader(annotation: Any) -> Reader:
    if get_origin(annotation) is list:
        kind = get_args(annotation)[0]
        read_item = _reader(kind)

        def read_list(value: Any) -> list[Any]:
            if not isinstance(value, list):
                raise PeerProtocolError("expected an array; upgrade the older VM")
            if set(map(type, value)) == {kind}:
                return value
            return [read_item(item) for item in value]

        return read_list
    if dataclasses.is_dataclass(annotation):
        return _record_reader(annotation)
    return _scalar_reader(annotation)


def _fields(kind: Any) -> list[tuple[str, Reader]]:
    hints = get_type_hints(kind)
    return [
        (field.name, _reader(hints[field.name])) for field in dataclasses.fields(kind)
    ]


def _record_reader(kind: Any) -> Reader:
    fields = _fields(kind)
    names = tuple(name for name, _ in fields)
    hints = get_type_hints(kind)
    # One comparison in C checks the types of all fields, one more each list of
    # scalars; records with lists of records go field by field.
    shape = tuple(get_origin(hints[name]) or hints[name] for name in names)
    items = [
        (place, {get_args(hints[name])[0]})
        for place, name in enumerate(names)
        if shape[place] is list
    ]
    plain = not any(dataclasses.is_dataclass(item) for _, (item,) in items)

    def read(value: Any) -> Any:
        if not isinstance(value, list) or len(value) != len(fields):
            raise PeerProtocolError(
                f"expected {len(fields)} fields of {kind.__name__}; "
                "run the same protocol version on both VMs"
            )
        if plain and tuple(map(type, value)) == shape:
            for place, item in items:
                if not item.issuperset(map(type, value[place])):
                    break
            else:
                return kind(**dict(zip(names, value, strict=True)))
        return kind(
            **{
                name: read_field(item)
                for (name, read_field), item in zip(fields, value, strict=True)
            }
        )

    return read


def _writer(kind: Any) -> Callable[[Any], list[Any]]:
    fields = dataclasses.fields(kind)
    if not fields:
        return lambda record: []
    names = tuple(field.name for field in fields)
    hints = get_type_hints(kind)
    # Lists of records are the only values that CBOR cannot write as they are.
    nested = [
        place
        for place, name in enumerate(names)
        if any(map(dataclasses.is_dataclass, get_args(hints[name])))
    ]

    def write(record: Any) -> list[Any]:
        values = [getattr(record, name) for name in names]
        for place in nested:
            values[place] = [_WRITERS[type(item)](item) for item in values[place]]
        return values

    return write


_KINDS = get_args(messages.Message)
_READERS: dict[int, Reader] = {kind.TYPE: _record_reader(kind) for kind in _KINDS}
_WRITERS: dict[type, Callable[[Any], list[Any]]] = {
    kind: _writer(kind)
    for kind in (
        *_KINDS,
        messages.EngineView,
        messages.AgentEntry,
        messages.UpstreamEntry,
        messages.VmStatus,
        messages.AgentAddress,
        messages.ListedUpstream,
        messages.Contact,
        *peer_messages.RECORDS,
    )
}


def encode(message: messages.Message, *, correlation: int = 0) -> bytes:
    """Encode a message.

    Parameters
    ----------
    message : Message
        The message.
    correlation : int
        Positive on a request and its reply, 0 on a one-way message. A reply
        carries the negated number of its request.

    Returns
    -------
    bytes
        One CBOR array.

    Examples
    --------
    >>> decode(encode(messages.ConfigRequest(held=7), correlation=3))
    (3, ConfigRequest(held=7, snapshot=0, part=0))
    """
    return bytes(
        cbor2.dumps([message.TYPE, correlation, *_WRITERS[type(message)](message)])
    )


def decode(data: bytes) -> tuple[int, messages.Message]:
    """Decode a message and check the type of every field.

    Parameters
    ----------
    data : bytes
        One CBOR array.

    Returns
    -------
    correlation : int
        Correlation number.
    message : Message
        The message.

    Raises
    ------
    PeerProtocolError
        Where the bytes are not a well-formed message of a known type.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise PeerProtocolError("the message is over 1 MiB; split it into parts")
    try:
        array = cbor2.loads(
            data, tag_hook=_refuse_tag, semantic_decoders=_TAGS, max_depth=MAX_DEPTH
        )
    except Exception as error:
        raise PeerProtocolError(f"not CBOR ({error}); close the link") from error
    if (
        not isinstance(array, list)
        or len(array) < 2
        or type(array[0]) is not int
        or type(array[1]) is not int
    ):
        raise PeerProtocolError("not a message array; close the link")
    read = _READERS.get(array[0])
    if read is None:
        raise PeerProtocolError(
            f"unknown message type {array[0]}; upgrade the older VM"
        )
    message: messages.Message = read(array[2:])
    return array[1], message
