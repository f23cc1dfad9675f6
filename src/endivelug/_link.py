"""Authenticated connection to a peer, with a bounded send queue."""

import asyncio
from collections import OrderedDict
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

from endivelug import codec
from endivelug._websocket import WebSocket
from endivelug.exceptions import (
    EndivelugError,
    LinkBusy,
    LinkClosed,
    PeerProtocolError,
)
from endivelug.messages import (
    ConfigHead,
    Failure,
    Heartbeat,
    Hello,
    LocalState,
    Message,
)

MAX_QUEUED_MESSAGES = 256
MAX_QUEUED_BYTES = 4 * 1024 * 1024
# Messages of one peer that are handled concurrently; at the limit reading pauses.
MAX_HANDLER_TASKS = 256
# WebSocket close code (RFC 6455).
PROTOCOL_ERROR = 1002
# A new message of one of these types replaces a queued one of the same type.
SUPERSEDED_TYPES = (Heartbeat, ConfigHead, LocalState)

Handler = Callable[["Link", Message], Awaitable[Message | None]]
# Synchronous handlers, by message type. They avoid creating a task per message.
SyncHandler = Callable[["Link", Any], Message | None]
SyncHandlers = Mapping[type, SyncHandler]


class Link:
    """Authenticated connection to a peer.

    Parameters
    ----------
    socket : WebSocket
        Open connection on which the handshake has succeeded.
    peer : Hello
        Greeting of the peer.
    handler : callable
        Called with (link, message) for each message that is not a reply; its result
        is sent as the reply if the message is a request.
    sync_handlers : mapping of type to callable
        Synchronous handlers by message type; they take precedence over ``handler``.
    address : str
        Address that was dialled; empty for an accepted link.
    """

    def __init__(
        self,
        *,
        socket: WebSocket,
        peer: Hello,
        handler: Handler,
        sync_handlers: SyncHandlers | None = None,
        address: str = "",
    ) -> None:
        self.socket = socket
        self.peer = peer
        self.handler = handler
        self.sync_handlers = sync_handlers or {}
        self.address = address
        self.closed = asyncio.Event()
        self.sent_bytes = 0
        self.received_bytes = 0
        self.dropped = 0
        self.sent = 0
        self.received = 0
        self._running = False
        self._last_heartbeat_data: bytes | None = None
        self._last_heartbeat: Message
        self._queue: OrderedDict[object, bytes] = OrderedDict()
        self._queued_bytes = 0
        self._next_correlation = 0
        self._replies: dict[int, asyncio.Future[Message]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def dialled(self) -> bool:
        """Whether this process opened the link."""
        return self.address != ""

    async def run(self) -> None:
        """Send and receive until the connection closes."""
        self._running = True
        try:
            self.socket.on_writable = self._flush_queue
            self._flush_queue()
            self.socket.set_receiver(self._receive)
            await self.socket.closed
        finally:
            self.closed.set()
            for task in self._tasks:
                task.cancel()
            for reply in self._replies.values():
                if not reply.done():
                    reply.set_exception(
                        LinkClosed(f"link to {self.peer.vm} closed; use a fallback")
                    )
            await self.socket.close()

    def send(self, message: Message, *, encoded: bytes | None = None) -> None:
        """Queue a one-way message.

        Parameters
        ----------
        message : Message
            The message.
        encoded : bytes or None
            Encoding of the message if the caller has it, to encode a broadcast
            only once.

        Raises
        ------
        LinkClosed
            If the link is closed.
        LinkBusy
            If the send queue is full.
        """
        queue_key: object = object()
        if isinstance(message, SUPERSEDED_TYPES):
            queue_key = type(message)
        self._enqueue(queue_key, codec.encode(message) if encoded is None else encoded)

    async def request(self, message: Message, *, timeout_s: float) -> Message:
        """Send a request and return its reply.

        Parameters
        ----------
        message : Message
            The request.
        timeout_s : float
            Seconds to wait for the reply.

        Raises
        ------
        TimeoutError
            If no reply arrived in time; a late reply is dropped.
        LinkClosed, LinkBusy
            As for ``send``.
        """
        self._next_correlation += 1
        correlation = self._next_correlation
        reply: asyncio.Future[Message] = asyncio.get_running_loop().create_future()
        self._replies[correlation] = reply
        try:
            self._enqueue(object(), codec.encode(message, correlation=correlation))
            async with asyncio.timeout(timeout_s):
                return await reply
        finally:
            del self._replies[correlation]

    async def close(self) -> None:
        """Close the connection."""
        await self.socket.close()

    def _enqueue(self, queue_key: object, data: bytes) -> None:
        if self.closed.is_set():
            raise LinkClosed(f"link to {self.peer.vm} is closed; use a fallback")
        if self._running and not self._queue and self.socket.writable:
            self._transmit(data)
            return
        replaced = self._queue.get(queue_key)
        if replaced is not None:
            self._queued_bytes -= len(replaced)
        elif (
            len(self._queue) >= MAX_QUEUED_MESSAGES
            or self._queued_bytes + len(data) > MAX_QUEUED_BYTES
        ):
            self.dropped += 1
            raise LinkBusy(f"send queue to {self.peer.vm} is full; use a fallback")
        self._queue[queue_key] = data
        self._queued_bytes += len(data)

    def _transmit(self, data: bytes) -> None:
        self.socket.send(data)
        self.sent += 1
        self.sent_bytes += len(data)

    def _flush_queue(self) -> None:
        """Send queued messages while the connection is writable."""
        try:
            while self._queue and self.socket.writable:
                _, data = self._queue.popitem(last=False)
                self._queued_bytes -= len(data)
                self._transmit(data)
        except LinkClosed:
            self.closed.set()

    def _receive(self, data: bytes) -> None:
        self.received += 1
        self.received_bytes += len(data)
        if data == self._last_heartbeat_data:
            # Most heartbeats equal the previous one, so that decoding can be skipped.
            correlation, message = 0, self._last_heartbeat
        else:
            try:
                correlation, message = codec.decode(data)
            except PeerProtocolError:
                self.socket.close_soon(PROTOCOL_ERROR)
                return
            if type(message) is Heartbeat and not correlation:
                self._last_heartbeat_data, self._last_heartbeat = data, message
        if correlation < 0:
            reply = self._replies.get(-correlation)
            if reply is not None and not reply.done():
                reply.set_result(message)
            return
        sync_handler = self.sync_handlers.get(type(message))
        if sync_handler is not None:
            result = sync_handler(self, message)
            if correlation and result is not None:
                self._reply(correlation, result)
            return
        task = asyncio.create_task(self._handle(correlation, message))
        self._tasks.add(task)
        task.add_done_callback(self._remove_task)
        if len(self._tasks) == MAX_HANDLER_TASKS:
            self.socket.pause_reading()

    def _remove_task(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if len(self._tasks) == MAX_HANDLER_TASKS - 1:
            self.socket.resume_reading()

    async def _handle(self, correlation: int, message: Message) -> None:
        try:
            reply = await self.handler(self, message)
        except EndivelugError as error:
            reply = Failure(kind=type(error).__name__, remedy=str(error))
        self._reply(correlation, reply)

    def _reply(self, correlation: int, reply: Message | None) -> None:
        if correlation and reply is not None:
            try:
                self._enqueue(object(), codec.encode(reply, correlation=-correlation))
            except (LinkBusy, LinkClosed):
                self.dropped += 1
