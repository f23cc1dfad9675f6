"""Loopback proxy that can delay, reset or block the connections through it."""

import asyncio
import contextlib
from enum import Enum


class Mode(Enum):
    """How a proxy treats connections.

    ``SILENT`` blocks both directions of open connections; ``NO_REQUESTS`` and
    ``NO_ANSWERS`` block one direction.
    """

    PASS = "pass"
    DELAY = "delay"
    REFUSE = "refuse"
    SILENT = "silent"
    NO_REQUESTS = "no-requests"
    NO_ANSWERS = "no-answers"


DELAY_S = 0.15
CHUNK_BYTES = 65536


class Proxy:
    """Forwards connections to one address, according to its mode.

    Attributes
    ----------
    target : str
        IP address and port; connections are refused while it is empty.
    mode : Mode
        Applies to open and new connections at once.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.mode = Mode.PASS
        self.address = ""
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free loopback port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def reset(self) -> None:
        """Abort all connections."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def close(self) -> None:
        """Stop listening and abort all connections."""
        if self.server is not None:
            self.server.close()
        self.reset()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode is Mode.REFUSE or not self.target:
            writer.transport.abort()
            return
        host, _, port = self.target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, target_writer}
        self.writers |= pair
        copy_tasks = [
            asyncio.create_task(self._copy(reader, target_writer, Mode.NO_REQUESTS)),
            asyncio.create_task(self._copy(target_reader, writer, Mode.NO_ANSWERS)),
        ]
        try:
            await asyncio.wait(copy_tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in copy_tasks:
                task.cancel()
            for end in pair:
                end.transport.abort() if self.mode is Mode.SILENT else end.close()
            self.writers -= pair

    async def _copy(
        self,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
        blocking_mode: Mode,
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await source.read(CHUNK_BYTES):
                while self.mode in (Mode.SILENT, blocking_mode):
                    # The blocked bytes are lost if the connection ends meanwhile.
                    await asyncio.sleep(0.05)
                if self.mode is Mode.DELAY:
                    await asyncio.sleep(DELAY_S)
                sink.write(data)
                await sink.drain()
