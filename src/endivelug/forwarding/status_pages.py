"""HTTP servers of one VM for the platform's readiness checks and for its operator."""

from collections.abc import Callable

from endivelug.forwarding.buffers.client_guard import ClientGuard
from endivelug.forwarding.crashes.suspect_pages import SuspectPages
from endivelug.forwarding.front_server import FrontServer, Handler
from endivelug.forwarding.node_metrics import NodeMetrics
from endivelug.forwarding.response_writer import Writer
from endivelug.forwarding.upstream_connection import Headers

# Connections to each of the two ports; the oldest idle one is closed for a new one.
MAX_CONNECTIONS = 16


class StatusPages:
    """Answers readiness checks, and requests for the metrics and the suspects.

    Parameters
    ----------
    is_ready : callable
        Whether the platform should send new connections to this VM.
    guard : ClientGuard
        Grants memory for requests.
    """

    def __init__(
        self,
        *,
        metrics: NodeMetrics,
        suspects: SuspectPages,
        is_ready: Callable[[], bool],
        guard: ClientGuard,
    ) -> None:
        self.metrics = metrics
        self.suspects = suspects
        self.is_ready = is_ready
        self.readiness_server = self._server(self._answer_ready, guard)
        self.metrics_server = self._server(self._answer_metrics, guard)

    def _server(self, handler: Handler, guard: ClientGuard) -> FrontServer:
        return FrontServer(
            handler=handler,
            log=guard.log,
            guard=guard,
            max_connections=lambda: MAX_CONNECTIONS,
        )

    def listen(self, *, ready: str, metrics: str) -> None:
        """Listen on the two addresses, each an IP address and port."""
        self.readiness_server.listen(ready)
        self.metrics_server.listen(metrics)

    async def close(self) -> None:
        """Stop listening and close every connection."""
        await self.readiness_server.close()
        await self.metrics_server.close()

    async def _answer_ready(
        self, method: str, target: str, headers: Headers, body: bytes, writer: Writer
    ) -> None:
        await writer.start(200 if self.is_ready() else 503, "", [], b"")

    async def _answer_metrics(
        self, method: str, target: str, headers: Headers, body: bytes, writer: Writer
    ) -> None:
        if self.suspects.serves(target):
            status, body = self.suspects.answer(method, target)
            await writer.start(status, "", [("Content-Type", "application/json")], body)
            return
        page = self.metrics.page()
        await writer.start(200, "", [("Content-Type", "text/plain")], page)
