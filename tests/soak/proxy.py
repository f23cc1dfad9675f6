"""Loopback proxy that can delay, reset, hold or block the connections through it."""

import asyncio
import contextlib
import random
import socket
import time
from dataclasses import dataclass
from enum import Enum


class Mode(Enum):
    """How a proxy treats connections.

    ``SILENT`` blocks both directions of open connections; ``NO_REQUESTS`` and
    ``NO_ANSWERS`` block one direction. No connection is made in these modes, and what
    is blocked is lost if the sender closes meanwhile. ``HOLD`` is a stopped process:
    connections are made, nothing is read or sent, and all of it arrives later.
    ``LOSE_CONNECTS`` loses new connects, which the kernel repeats after a second.
    """

    PASS = "pass"
    DELAY = "delay"
    REFUSE = "refuse"
    SILENT = "silent"
    NO_REQUESTS = "no-requests"
    NO_ANSWERS = "no-answers"
    HOLD = "hold"
    LOSE_CONNECTS = "lose-connects"


DELAY_S = 0.15
CHUNK_BYTES = 65536
BACKLOG = 100
BLOCK_CHECK_INTERVAL_S = 0.02
# Modes in which nobody can reach the target.
CUT_MODES = (Mode.REFUSE, Mode.SILENT, Mode.NO_REQUESTS, Mode.NO_ANSWERS)
# The kernel drops new connects while the queue of unaccepted connections is full.
LOSING_MODES = (Mode.SILENT, Mode.NO_REQUESTS, Mode.NO_ANSWERS, Mode.LOSE_CONNECTS)
FILLING_CONNECTIONS = 4


@dataclass(slots=True, kw_only=True)
class Cut:
    """A period in which a target could not be reached."""

    begin: float
    end: float = float("inf")


@dataclass(slots=True, kw_only=True, eq=False)
class _Path:
    """One connection through the proxy.

    ``answers_lost`` says that the caller's end is closed, at least for answers, while
    the target's end stays open.
    """

    caller: asyncio.StreamWriter
    target: asyncio.StreamWriter
    answers_lost: bool = False

    def reset(self) -> None:
        self.caller.transport.abort()
        self.target.transport.abort()


class Proxy:
    """Forwards connections to one address, according to its mode.

    Attributes
    ----------
    target : str
        IP address and port; connections are aborted while it is empty.
    mode : Mode
        Applies to open and new connections at once; ``set_mode`` changes it.
    cuts : list of Cut
        Periods in which the target could not be reached.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.mode = Mode.PASS
        self.address = ""
        self.cuts: list[Cut] = []
        self.paths: set[_Path] = set()
        self.listener: socket.socket | None = None
        self.accepting: asyncio.Task[None] | None = None
        self.serving: set[asyncio.Task[None]] = set()
        self.fillers: list[socket.socket] = []

    async def start(self) -> None:
        """Listen on a free loopback port."""
        self.listen()

    def listen(self) -> None:
        """Listen at the address, which is chosen by the first call."""
        if self.listener is not None:
            return
        host, _, port = (self.address or "127.0.0.1:0").rpartition(":")
        listener = socket.socket()
        listener.setblocking(False)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, int(port)))
        listener.listen(BACKLOG)
        self.listener = listener
        self.address = f"127.0.0.1:{listener.getsockname()[1]}"
        self._apply_mode()

    def stop_listening(self) -> None:
        """Refuse new connections; open ones go on."""
        self._stop_accepting()
        if self.listener is not None:
            self.listener.close()
            self.listener = None

    def set_mode(self, mode: Mode) -> None:
        """Change the mode, and note periods in which the target cannot be reached."""
        now = time.monotonic()
        if self.cuts and mode not in CUT_MODES:
            self.cuts[-1].end = min(self.cuts[-1].end, now)
        elif mode in CUT_MODES and self.mode not in CUT_MODES:
            self.cuts.append(Cut(begin=now))
        self.mode = mode
        self._apply_mode()

    def reset(self) -> None:
        """Abort both ends of all connections."""
        for path in list(self.paths):
            path.reset()

    def reset_caller_ends(self, rng: random.Random, share: float) -> None:
        """Abort the callers' ends of some connections; the target does not notice."""
        for path in list(self.paths):
            if rng.random() < share:
                path.answers_lost = True
                path.caller.transport.abort()

    def half_close(self, rng: random.Random, share: float) -> None:
        """End one direction of some connections."""
        for path in list(self.paths):
            if rng.random() >= share:
                continue
            end = rng.choice((path.caller, path.target))
            path.answers_lost = path.answers_lost or end is path.caller
            with contextlib.suppress(OSError, RuntimeError):
                end.write_eof()

    async def close(self) -> None:
        """Stop listening and abort all connections."""
        self.stop_listening()
        self.reset()
        for task in list(self.serving):
            task.cancel()

    def _apply_mode(self) -> None:
        if self.listener is None:
            return
        loses_connects = self.mode in LOSING_MODES
        if loses_connects and not self.fillers:
            self._stop_accepting()
            self._fill_backlog(self.listener)
        elif not loses_connects and self.accepting is None:
            for filler in self.fillers:
                filler.close()
            self.fillers.clear()
            self.listener.listen(BACKLOG)
            self.accepting = asyncio.create_task(self._accept(self.listener))

    def _stop_accepting(self) -> None:
        if self.accepting is not None:
            self.accepting.cancel()
            self.accepting = None
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()

    def _fill_backlog(self, listener: socket.socket) -> None:
        listener.listen(0)
        for _ in range(FILLING_CONNECTIONS):
            filler = socket.socket()
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect(listener.getsockname())
            self.fillers.append(filler)

    async def _accept(self, listener: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            accepted, _ = await loop.sock_accept(listener)
            task = asyncio.create_task(self._serve(accepted))
            self.serving.add(task)
            task.add_done_callback(self.serving.discard)

    async def _serve(self, accepted: socket.socket) -> None:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(sock=accepted)
            try:
                await self._connect_and_copy(reader, writer)
            finally:
                writer.transport.abort()

    async def _connect_and_copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode is Mode.REFUSE or not self.target:
            return
        host, _, port = self.target.rpartition(":")
        target_reader, target_writer = await asyncio.open_connection(host, int(port))
        path = _Path(caller=writer, target=target_writer)
        self.paths.add(path)
        requests = asyncio.create_task(
            self._copy(reader, path, path.target, Mode.NO_REQUESTS)
        )
        answers = asyncio.create_task(
            self._copy(target_reader, path, path.caller, Mode.NO_ANSWERS)
        )
        try:
            await asyncio.wait((requests, answers), return_when="FIRST_COMPLETED")
            if path.answers_lost:
                await answers
        finally:
            requests.cancel()
            answers.cancel()
            self.paths.discard(path)
            if self.mode is Mode.SILENT:
                path.reset()
            else:
                writer.close()
                target_writer.close()
                await asyncio.gather(
                    writer.wait_closed(),
                    target_writer.wait_closed(),
                    return_exceptions=True,
                )

    async def _copy(
        self,
        source: asyncio.StreamReader,
        path: _Path,
        sink: asyncio.StreamWriter,
        blocking_mode: Mode,
    ) -> None:
        received: asyncio.Queue[bytes] = asyncio.Queue()
        receiver = asyncio.create_task(_receive(source, received))
        try:
            while data := await received.get():
                while self.mode in (Mode.SILENT, Mode.HOLD, blocking_mode):
                    if receiver.done() and self.mode is not Mode.HOLD:
                        return
                    await asyncio.sleep(BLOCK_CHECK_INTERVAL_S)
                if self.mode is Mode.DELAY:
                    await asyncio.sleep(DELAY_S)
                if path.answers_lost and sink is path.caller:
                    continue
                sink.write(data)
                with contextlib.suppress(ConnectionError):
                    await sink.drain()
        finally:
            receiver.cancel()


async def _receive(
    source: asyncio.StreamReader, received: asyncio.Queue[bytes]
) -> None:
    """Read until the end, also while delivery is blocked, as a kernel does."""
    with contextlib.suppress(ConnectionError):
        while data := await source.read(CHUNK_BYTES):
            received.put_nowait(data)
    received.put_nowait(b"")
