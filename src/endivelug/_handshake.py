"""Authentication of a new link: both sides prove that they know the link secret."""

import asyncio
import hashlib
import hmac
import random
from dataclasses import dataclass

from endivelug import codec
from endivelug._websocket import WebSocket
from endivelug.exceptions import PeerNotAuthenticated, PeerProtocolError
from endivelug.messages import PROTOCOL_VERSION, Hello, Proof

HANDSHAKE_TIMEOUT_S = 5.0
# A greeting is about 100 bytes; the limit applies until the peer is authenticated.
MAX_GREETING_BYTES = 4096


@dataclass(slots=True, kw_only=True)
class Identity:
    """Identity and secret with which a process authenticates on a link.

    Attributes
    ----------
    role : str
        ``agent``, ``router`` or ``operator``.
    incarnation : int
        Start time of the process in microseconds.
    secret : bytes
        Link secret, the same on every VM.
    """

    vm: str
    data_centre: str
    role: str
    incarnation: int
    secret: bytes


def _compute_proof(secret: bytes, side: bytes, own: bytes, peer: bytes) -> bytes:
    # The input contains the side to prevent a reflection attack: a peer that returns
    # the proof it received is not authenticated.
    return hmac.digest(secret, side + own + peer, hashlib.sha256)


async def _receive_limited(socket: WebSocket) -> bytes:
    data = await socket.recv()
    if len(data) > MAX_GREETING_BYTES:
        raise PeerProtocolError("the greeting is too long; close the link")
    return data


async def handshake(socket: WebSocket, identity: Identity, *, side: bytes) -> Hello:
    """Exchange greetings and proofs; return the greeting of the peer.

    Parameters
    ----------
    side : bytes
        Side of this process: ``client`` or ``server``.

    Raises
    ------
    PeerNotAuthenticated, PeerProtocolError
        If the peer has another secret, speaks another protocol or sends a message
        that is malformed or too long.
    LinkClosed, TimeoutError
        If the peer closed the connection or did not reply in time.
    """
    nonce = random.SystemRandom().randbytes(16)
    own = codec.encode(
        Hello(
            protocol=PROTOCOL_VERSION,
            vm=identity.vm,
            data_centre=identity.data_centre,
            role=identity.role,
            incarnation=identity.incarnation,
            nonce=nonce,
        )
    )
    other_side = b"server" if side == b"client" else b"client"
    async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
        socket.send(own)
        greeting = await _receive_limited(socket)
        _, hello = codec.decode(greeting)
        if not isinstance(hello, Hello) or hello.protocol != PROTOCOL_VERSION:
            raise PeerProtocolError(
                f"peer does not speak protocol {PROTOCOL_VERSION}; upgrade it"
            )
        proof = Proof(hmac=_compute_proof(identity.secret, side, own, greeting))
        socket.send(codec.encode(proof))
        _, peer_proof = codec.decode(await _receive_limited(socket))
    expected = _compute_proof(identity.secret, other_side, greeting, own)
    if not isinstance(peer_proof, Proof) or not hmac.compare_digest(
        peer_proof.hmac, expected
    ):
        raise PeerNotAuthenticated(
            f"{hello.vm} failed authentication; set the same [links] secret on both"
        )
    return hello
