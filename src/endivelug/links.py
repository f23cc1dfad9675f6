"""Authenticated WebSocket links between agents, routers and operator tools.

Both sides send ``Hello`` and then prove knowledge of the link secret with an
HMAC over both greetings. Each link has a bounded send queue.
"""

import asyncio
import random
import ssl
from collections.abc import Callable

from endivelug import codec
from endivelug._handshake import HANDSHAKE_TIMEOUT_S, Identity, handshake
from endivelug._link import (
    MAX_QUEUED_MESSAGES,
    Handler,
    Link,
    SyncHandler,
    SyncHandlers,
)
from endivelug._websocket import WebSocket, connect, listen
from endivelug.exceptions import EndivelugError, LinkClosed

__all__ = [
    "MAX_QUEUED_MESSAGES",
    "Handler",
    "Identity",
    "Link",
    "LinkKeeper",
    "LinkServer",
    "SyncHandler",
    "SyncHandlers",
    "open_link",
]

# WebSocket close code "policy violation" (RFC 6455).
NOT_AUTHENTICATED = 1008
# Short, because TCP retransmits with growing intervals: after a partition a new
# attempt connects sooner than an old one whose packets were lost.
CONNECT_TIMEOUT_S = 2.0
RECONNECT_MIN_S = 0.1
RECONNECT_MAX_S = 3.0


class LinkServer:
    """Server that accepts and authenticates links from peers.

    Parameters
    ----------
    identity : Identity
        Identity of this process.
    handler : callable
        Handler of messages on accepted links.
    sync_handlers : mapping of type to callable
        Synchronous handlers by message type; they take precedence over ``handler``.
    tls : ssl.SSLContext or None
        Server context; None for plain TCP.
    on_open, on_close : callable or None
        Called with each accepted link, before its first message and after it closed.
    """

    def __init__(
        self,
        *,
        identity: Identity,
        handler: Handler,
        sync_handlers: SyncHandlers | None = None,
        tls: ssl.SSLContext | None = None,
        on_open: Callable[[Link], None] | None = None,
        on_close: Callable[[Link], None] | None = None,
    ) -> None:
        self.sync_handlers = sync_handlers
        self.on_open = on_open
        self.on_close = on_close
        self.identity = identity
        self.handler = handler
        self.tls = tls
        self.links: set[Link] = set()
        self.rejected = 0
        self.server: asyncio.Server | None = None

    async def start(self, *, host: str, port: int) -> int:
        """Listen and return the bound port."""
        self.server = await listen(
            self._accept,
            host=host,
            port=port,
            tls=self.tls,
            max_size=codec.MAX_MESSAGE_BYTES,
            opening_timeout_s=HANDSHAKE_TIMEOUT_S,
        )
        return int(next(iter(self.server.sockets)).getsockname()[1])

    async def stop(self) -> None:
        """Close the listener and every link."""
        if self.server is not None:
            self.server.close()
        await asyncio.gather(*(link.close() for link in list(self.links)))

    async def _accept(self, socket: WebSocket) -> None:
        try:
            peer = await handshake(socket, self.identity, side=b"server")
        except (EndivelugError, TimeoutError):
            self.rejected += 1
            await socket.close(NOT_AUTHENTICATED)
            return
        link = Link(
            socket=socket,
            peer=peer,
            handler=self.handler,
            sync_handlers=self.sync_handlers,
        )
        self.links.add(link)
        if self.on_open is not None:
            self.on_open(link)
        try:
            await link.run()
        finally:
            self.links.discard(link)
            if self.on_close is not None:
                self.on_close(link)


async def open_link(
    *,
    address: str,
    identity: Identity,
    handler: Handler,
    sync_handlers: SyncHandlers | None = None,
    tls: ssl.SSLContext | None = None,
) -> Link:
    """Connect to a peer; the caller must run ``Link.run`` on the result.

    Parameters
    ----------
    address : str
        IP address and port.
    identity : Identity
        Identity of this process.
    handler : callable
        Handler of messages from the peer.
    sync_handlers : mapping of type to callable
        Synchronous handlers by message type; they take precedence over ``handler``.
    tls : ssl.SSLContext or None
        Client context; None for plain TCP.

    Raises
    ------
    LinkClosed
        If no connection could be made, or the peer did not reply in time.
    PeerNotAuthenticated, PeerProtocolError
        If the handshake failed.
    """
    scheme = "ws" if tls is None else "wss"
    socket = await connect(
        f"{scheme}://{address}/",
        tls=tls,
        max_size=codec.MAX_MESSAGE_BYTES,
        timeout_s=CONNECT_TIMEOUT_S,
    )
    try:
        peer = await handshake(socket, identity, side=b"client")
    except TimeoutError as error:
        socket.close_soon()
        raise LinkClosed(f"{address} did not answer; retry later") from error
    except BaseException:
        # Also on cancellation: the peer may already consider the link open and
        # would wait for replies that are never sent.
        socket.abort()
        raise
    return Link(
        socket=socket,
        peer=peer,
        handler=handler,
        sync_handlers=sync_handlers,
        address=address,
    )


class LinkKeeper:
    """Keeps one outgoing link open; reconnects with exponential backoff and jitter.

    Parameters
    ----------
    address : str
        IP address and port of the peer.
    on_open : callable or None
        Called with each new link, before its first message is handled.
    on_close : callable or None
        Called with each link after it closed.
    on_failure : callable or None
        Called with the error text of each failed attempt.
    rng : random.Random
        Source of the backoff jitter.
    """

    def __init__(
        self,
        *,
        address: str,
        identity: Identity,
        handler: Handler,
        rng: random.Random,
        sync_handlers: SyncHandlers | None = None,
        tls: ssl.SSLContext | None = None,
        on_open: Callable[[Link], None] | None = None,
        on_close: Callable[[Link], None] | None = None,
        on_failure: Callable[[str], None] | None = None,
    ) -> None:
        self.on_failure = on_failure
        self.address = address
        self.on_close = on_close
        self.identity = identity
        self.handler = handler
        self.sync_handlers = sync_handlers
        self.rng = rng
        self.tls = tls
        self.on_open = on_open
        self.link: Link | None = None

    async def run(self) -> None:
        """Keep the link open until cancelled."""
        loop = asyncio.get_running_loop()
        delay_s = RECONNECT_MIN_S
        try:
            while True:
                try:
                    self.link = await open_link(
                        address=self.address,
                        identity=self.identity,
                        handler=self.handler,
                        sync_handlers=self.sync_handlers,
                        tls=self.tls,
                    )
                    opened_at = loop.time()
                    if self.on_open is not None:
                        self.on_open(self.link)
                    try:
                        await self.link.run()
                        # Reset the backoff only after the link was open for a while;
                        # otherwise a peer that closes each link at once would be
                        # dialled again without a growing delay.
                        if loop.time() - opened_at > RECONNECT_MAX_S:
                            delay_s = RECONNECT_MIN_S
                    finally:
                        if self.on_close is not None:
                            self.on_close(self.link)
                except EndivelugError as error:
                    if self.on_failure is not None:
                        self.on_failure(str(error))
                self.link = None
                await asyncio.sleep(self.rng.uniform(0.5, 1.0) * delay_s)
                delay_s = min(delay_s * 2, RECONNECT_MAX_S)
        finally:
            if self.link is not None:
                await self.link.close()

    def require_link(self) -> Link:
        """Return the open link.

        Raises
        ------
        LinkClosed
            If the link is down.
        """
        if self.link is None or self.link.closed.is_set():
            raise LinkClosed(f"no link to {self.address}; use a fallback")
        return self.link
