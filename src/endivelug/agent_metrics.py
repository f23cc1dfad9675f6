"""Metrics endpoint of the agent.

Every label has a fixed set of values, which bounds the number of time series.
"""

from collections import Counter
from typing import TYPE_CHECKING

from aioprometheus import Gauge, Registry, render
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine

# Scrapes have no body; the library's default would accept 100 MB per connection.
MAX_HEADER_BYTES = 32 * 1024
MAX_BODY_BYTES = 32 * 1024
IDLE_CONNECTION_TIMEOUT_S = 120.0

if TYPE_CHECKING:
    from endivelug.agent import Agent


class AgentMetrics:
    """Serves the metrics of an agent and collects them on each request.

    Parameters
    ----------
    agent : Agent
        Agent whose state is reported.
    """

    def __init__(self, *, agent: "Agent") -> None:
        self.agent = agent
        self.registry = Registry()
        self.server: HTTPServer | None = None
        self.gauges: dict[str, Gauge] = {}

    def start(self, listen: str) -> None:
        """Serve ``/metrics`` on an address; all other paths respond with ``ok``."""
        host, _, port = listen.rpartition(":")
        self.server = HTTPServer(
            self._handle_request,
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=MAX_BODY_BYTES,
            max_buffer_size=MAX_HEADER_BYTES + MAX_BODY_BYTES,
            idle_connection_timeout=IDLE_CONNECTION_TIMEOUT_S,
            body_timeout=IDLE_CONNECTION_TIMEOUT_S,
        )
        self.server.listen(int(port), address=host.strip("[]"))

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self.server is not None:
            self.server.stop()
            await self.server.close_all_connections()

    def collect(self) -> None:
        """Set every gauge to its current value."""
        agent, orders = self.agent, self.agent.orders
        membership, index = agent.context.membership, agent.index.index
        states = Counter(entry.state for entry in agent.context.upstreams.entries())
        for state in ("live", "leaving", "dead"):
            self._set("endivelug_agent_upstreams", states[state], state=state)
        links = [*agent.server.links, *agent.mesh.links.values()]
        sent, received = agent.link_bytes()
        events = agent.index.subscriptions.values()
        for name, value in (
            ("endivelug_agent_live_agents", len(membership.live_agents())),
            ("endivelug_agent_remote_data_centres", len(agent.mesh.remote_links())),
            ("endivelug_agent_links", len(set(links))),
            ("endivelug_agent_link_sent_bytes", sent),
            ("endivelug_agent_link_received_bytes", received),
            ("endivelug_agent_messages_received", agent.messages_received()),
            ("endivelug_agent_messages_sent", agent.messages_sent()),
            ("endivelug_agent_probe_bytes", agent.probes.bytes),
            ("endivelug_agent_stale_signs_rejected", membership.stale_rejected),
            ("endivelug_agent_engines_owned", len(index.cached_keys)),
            ("endivelug_agent_cached_keys", index.key_count()),
            ("endivelug_agent_event_gaps", index.gaps),
            ("endivelug_agent_event_bytes", sum(e.received_bytes for e in events)),
            ("endivelug_agent_lookups", index.lookups),
            ("endivelug_agent_lookups_not_owned", index.lookups_not_owned),
            ("endivelug_agent_probes", agent.probes.probes),
            ("endivelug_agent_probes_failed", agent.probes.failures),
            ("endivelug_agent_revision", agent.context.revision_and_digest()[0]),
            ("endivelug_agent_connected", int(agent.local_state.connected())),
            ("endivelug_agent_order_lease", int(orders.holds_lease())),
            ("endivelug_agent_order_fencing", orders.lease.fencing),
            ("endivelug_agent_orders_sent", orders.counts.sent),
            ("endivelug_agent_orders_refused", orders.counts.refused),
            ("endivelug_agent_orders_unknown", orders.counts.unknown),
            ("endivelug_agent_orders_not_sent", orders.counts.not_sent),
        ):
            self._set(name, value)

    def _set(self, name: str, value: float, **labels: str) -> None:
        gauge = self.gauges.get(name)
        if gauge is None:
            doc = name.removeprefix("endivelug_agent_").replace("_", " ")
            gauge = Gauge(name, f"Present {doc}.", registry=self.registry)
            self.gauges[name] = gauge
        gauge.set(labels, value)

    def _handle_request(self, request: HTTPServerRequest) -> None:
        body, headers = b"ok\n", {"Content-Type": "text/plain"}
        if request.path == "/metrics":
            self.collect()
            body, headers = render(
                self.registry, request.headers.get_list("Accept") or ["text/plain"]
            )
        fields = HTTPHeaders(headers)
        fields["Content-Length"] = str(len(body))
        assert request.connection is not None
        request.connection.write_headers(
            ResponseStartLine("HTTP/1.1", 200, "OK"), fields, body
        )
        request.connection.finish()
