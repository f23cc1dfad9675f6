"""CBOR codec of messages: each is an array ``[type, correlation, fields...]``."""

import dataclasses
from collections.abc import Callable, Sequence
from operator import attrgetter
from typing import Any, NoReturn, get_args, get_origin, get_type_hints

import cbor2

from endivelug import messages
from endivelug.exceptions import PeerProtocolError
from endivelug.forwarding import peer_messages

# The largest messages are parts of a snapshot (256 KiB) and deltas (512 KiB). Decoding
# 1 MiB of empty arrays takes under 0.6 s; 4 MiB took 2.2 s.
MAX_MESSAGE_BYTES = 1024 * 1024
# Messages contain lists of records, which contain lists of names.
MAX_DEPTH = 6
# Tags that cbor2 decodes itself, and which are rejected here. No message uses them, and
# some are expensive: a regular expression (35) of 4 MB takes 6 s to compile. Bignums
# (2, 3) are allowed, because cbor2 encodes integers over 64 bits with these tags.
REJECTED_TAGS = frozenset(
    {0, 1, 4, 5, 25, 28, 29, 30, 35, 36, 37, 52, 54}
    | {100, 256, 258, 260, 261, 1004, 43000, 55799}
)

Reader = Callable[[Any], Any]
Writer = Callable[[Any], Sequence[Any]]


def _reject_tag(*_: Any) -> NoReturn:
    raise PeerProtocolError("messages must not contain CBOR tags; close the link")


_TAG_DECODERS = {tag: _reject_tag for tag in REJECTED_TAGS}


def _make_scalar_reader(scalar_type: type) -> Reader:
    accepted = (int, float) if scalar_type is float else (scalar_type,)

    def read(value: Any) -> Any:
        # Not isinstance: bool is a subclass of int and must not pass as one.
        if type(value) not in accepted:
            raise PeerProtocolError(
                f"expected {scalar_type.__name__}, got {type(value).__name__}; "
                "run the same protocol version on both VMs"
            )
        return value

    return read


def _make_reader(annotation: Any) -> Reader:
    if get_origin(annotation) is list:
        item_type = get_args(annotation)[0]
        read_item = _make_reader(item_type)
        if dataclasses.is_dataclass(item_type):
            return _make_records_reader(item_type, read_item)

        def read_list(value: Any) -> list[Any]:
            if not isinstance(value, list):
                raise PeerProtocolError("expected an array; upgrade the older VM")
            if set(map(type, value)) == {item_type}:
                return value
            return [read_item(item) for item in value]

        return read_list
    if dataclasses.is_dataclass(annotation):
        return _make_record_reader(annotation)
    return _make_scalar_reader(annotation)


def _make_records_reader(record_type: Any, read_record: Reader) -> Reader:
    """Return a reader of lists of records."""
    hints = get_type_hints(record_type)
    names = tuple(field.name for field in dataclasses.fields(record_type))
    only_scalars = not any(get_origin(hints[name]) for name in names)
    column_types = [{hints[name]} for name in names]

    def read_records(value: Any) -> list[Any]:
        if not isinstance(value, list):
            raise PeerProtocolError("expected an array; upgrade the older VM")
        # Fast path: most lists are loads, whose types are checked by column in C.
        if (
            only_scalars
            and set(map(type, value)) == {list}
            and set(map(len, value)) == {len(names)}
            and column_types
            == [set(map(type, column)) for column in zip(*value, strict=True)]
        ):
            return [
                record_type(**dict(zip(names, item, strict=True))) for item in value
            ]
        return [read_record(item) for item in value]

    return read_records


def _field_readers(record_type: Any) -> list[tuple[str, Reader]]:
    hints = get_type_hints(record_type)
    return [
        (field.name, _make_reader(hints[field.name]))
        for field in dataclasses.fields(record_type)
    ]


def _make_record_reader(record_type: Any) -> Reader:
    fields = _field_readers(record_type)
    names = tuple(name for name, _ in fields)
    hints = get_type_hints(record_type)
    # Fast path: one comparison in C checks the types of all fields, and one more per
    # list checks its items. Records with lists of records are read field by field.
    field_types = tuple(get_origin(hints[name]) or hints[name] for name in names)
    list_items = [
        (index, {get_args(hints[name])[0]})
        for index, name in enumerate(names)
        if field_types[index] is list
    ]
    only_scalars = not any(dataclasses.is_dataclass(item) for _, (item,) in list_items)

    def read(value: Any) -> Any:
        if not isinstance(value, list) or len(value) != len(fields):
            raise PeerProtocolError(
                f"expected {len(fields)} fields of {record_type.__name__}; "
                "run the same protocol version on both VMs"
            )
        if only_scalars and tuple(map(type, value)) == field_types:
            for index, item_types in list_items:
                if not item_types.issuperset(map(type, value[index])):
                    break
            else:
                return record_type(**dict(zip(names, value, strict=True)))
        return record_type(
            **{
                name: read_field(item)
                for (name, read_field), item in zip(fields, value, strict=True)
            }
        )

    return read


def _make_writer(record_type: Any) -> Writer:
    fields = dataclasses.fields(record_type)
    if not fields:
        return lambda record: []
    names = tuple(field.name for field in fields)
    hints = get_type_hints(record_type)
    # Only lists of records need conversion; cbor2 encodes all other values directly.
    nested = [
        index
        for index, name in enumerate(names)
        if any(map(dataclasses.is_dataclass, get_args(hints[name])))
    ]

    if not nested and len(names) > 1:
        return attrgetter(*names)

    def write(record: Any) -> list[Any]:
        values = [getattr(record, name) for name in names]
        for index in nested:
            values[index] = [_WRITERS[type(item)](item) for item in values[index]]
        return values

    return write


_MESSAGE_TYPES = get_args(messages.Message)
_READERS: dict[int, Reader] = {
    message_type.TYPE: _make_record_reader(message_type)
    for message_type in _MESSAGE_TYPES
}
_WRITERS: dict[type, Writer] = {
    record_type: _make_writer(record_type)
    for record_type in (
        *_MESSAGE_TYPES,
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
        Message to encode.
    correlation : int
        Correlation number: positive on a request, the negated number of the request
        on its reply, 0 on a one-way message.

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
        Correlation number, as in ``encode``.
    message : Message
        Decoded message.

    Raises
    ------
    PeerProtocolError
        If the bytes are not a well-formed message of a known type.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise PeerProtocolError("the message is over 1 MiB; split it into parts")
    try:
        array = cbor2.loads(
            data,
            tag_hook=_reject_tag,
            semantic_decoders=_TAG_DECODERS,
            max_depth=MAX_DEPTH,
        )
    except Exception as error:
        raise PeerProtocolError(
            f"message is not valid CBOR ({error}); close the link"
        ) from error
    if (
        not isinstance(array, list)
        or len(array) < 2
        or type(array[0]) is not int
        or type(array[1]) is not int
    ):
        raise PeerProtocolError(
            "message is not an array of type, correlation and fields; close the link"
        )
    read = _READERS.get(array[0])
    if read is None:
        raise PeerProtocolError(
            f"unknown message type {array[0]}; upgrade the older VM"
        )
    message: messages.Message = read(array[2:])
    return array[1], message
