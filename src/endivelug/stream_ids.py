"""Signed stream ids that let any router resume a stream."""

import base64
import binascii
import hashlib
import hmac
from dataclasses import astuple, dataclass

import cbor2

from endivelug.exceptions import StreamTokenInvalid

SIGNATURE_BYTES = 16
MAX_STREAM_ID_CHARACTERS = 1024


@dataclass(slots=True, kw_only=True)
class StreamAddress:
    """Location of a stream and the data needed to resume it.

    Attributes
    ----------
    organisation : str
        Organisation that may read the stream.
    engine, address : str
        Name and ``ip:port`` of the engine.
    incarnation : int
        Incarnation of the engine that runs the stream.
    engine_stream_id : str
        Id of the stream at the engine.
    completion_id : str
        Completion id in the caller's events.
    offset : int
        Caller's event number minus the engine's event number.
    wants_usage : bool
        Whether the caller requested the usage event.
    """

    organisation: str
    engine: str
    address: str
    incarnation: int
    engine_stream_id: str
    completion_id: str
    offset: int
    wants_usage: bool


class StreamIdSigner:
    """Signs and verifies stream ids.

    Parameters
    ----------
    secret : bytes
        Secret that all routers of the deployment share.

    Examples
    --------
    >>> signer = StreamIdSigner(secret=b"secret")
    >>> stream = StreamAddress(organisation="o", engine="e", address="127.0.0.1:1",
    ...     incarnation=1, engine_stream_id="s", completion_id="c", offset=0,
    ...     wants_usage=False)
    >>> signer.verify(signer.sign(stream), organisation="o") == stream
    True
    """

    def __init__(self, *, secret: bytes) -> None:
        # The key is derived for this purpose only, so that signatures made with the
        # secret for other purposes are not accepted as stream ids.
        self._key = hashlib.blake2b(b"stream id", key=secret[:64]).digest()

    def sign(self, stream: StreamAddress) -> str:
        """Encode and sign a stream address as a URL-safe stream id."""
        content = cbor2.dumps(astuple(stream))
        signed = self._signature(content) + content
        return base64.urlsafe_b64encode(signed).decode().rstrip("=")

    def verify(self, stream_id: str, *, organisation: str) -> StreamAddress:
        """Verify a stream id and return the address that it contains.

        Raises
        ------
        StreamTokenInvalid
            If the id is forged, damaged or of another organisation. The message does
            not say which, so that ids cannot be probed.
        """
        remedy = "the stream id is invalid; send the id exactly as received"
        try:
            if len(stream_id) > MAX_STREAM_ID_CHARACTERS:
                raise ValueError("stream id is too long")
            padded = stream_id + "=" * (-len(stream_id) % 4)
            signed = base64.b64decode(padded, altchars=b"-_", validate=True)
            signature, content = signed[:SIGNATURE_BYTES], signed[SIGNATURE_BYTES:]
            if not hmac.compare_digest(signature, self._signature(content)):
                raise ValueError("invalid signature")
            values = cbor2.loads(content)
            names = StreamAddress.__slots__
            stream = StreamAddress(**dict(zip(names, values, strict=True)))
        except (ValueError, TypeError, binascii.Error, cbor2.CBORDecodeError):
            raise StreamTokenInvalid(remedy) from None
        if not hmac.compare_digest(stream.organisation.encode(), organisation.encode()):
            raise StreamTokenInvalid(remedy)
        return stream

    def _signature(self, content: bytes) -> bytes:
        key, size = self._key, SIGNATURE_BYTES
        return hashlib.blake2b(content, key=key, digest_size=size).digest()
