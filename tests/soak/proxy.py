"""A loopback proxy whose connections can be delayed, reset, cut one way or silenced."""

import asyncio
import contextlib
from enum import Enum


class Mode(Enum):
    """What happens to the bytes of a proxy's connections."""

    PASS = "pass"
    DELAY = "delay"
    REFUSE = "refuse"
    SILENT = "silent"
    NO_REQUESTS = "no-requests"
    NO_ANSWERS = "no-answers"


DELAY_S = 0.15
CHUNK_BYTES = 65536


class Proxy:
    """Forwards connections to one address.

    Attributes
    ----------
    target : str
        IP address and port; an empty one refuses connections.
    mode : Mode
        Applied to bytes of old and new connections from now on.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.mode = Mode.PASS
        self.address = ""
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port of loopback."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def reset(self) -> None:
        """Break every connection."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def close(self) -> None:
        """Stop listening and break every connection."""
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
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, far_writer}
        self.writers |= pair
        ways = [
            asyncio.create_task(self._copy(reader, far_writer, Mode.NO_REQUESTS)),
            asyncio.create_task(self._copy(far_reader, writer, Mode.NO_ANSWERS)),
        ]
        try:
            await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for way in ways:
                way.cancel()
            for end in pair:
                end.transport.abort() if self.mode is Mode.SILENT else end.close()
            self.writers -= pair

    async def _copy(
        self, source: asyncio.StreamReader, sink: asyncio.StreamWriter, cut: Mode
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await source.read(CHUNK_BYTES):
                while self.mode in (Mode.SILENT, cut):
                    # Held bytes are lost when the connection ends meanwhile.
                    await asyncio.sleep(0.05)
                if self.mode is Mode.DELAY:
                    await asyncio.sleep(DELAY_S)
                sink.write(data)
                await sink.drain()
