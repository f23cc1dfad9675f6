"""State and services shared by the chat calls of one router."""

import json
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from endivelug.admission_gate import AdmissionGate
from endivelug.chat_request import ChatRequest
from endivelug.ejection import Ejector
from endivelug.engine_client import EngineClient
from endivelug.metrics import RouterMetrics
from endivelug.placement import Objective, Placement
from endivelug.retries import RetryPolicy
from endivelug.router_engines import RouterEngines
from endivelug.router_links import RouterLinks
from endivelug.shares import ShareClient
from endivelug.stream_ids import StreamIdSigner


@dataclass(slots=True, kw_only=True)
class ChatRouting:
    """State and services shared by the chat calls of one router.

    Attributes
    ----------
    secret : bytes
        Deployment secret that keys the namespace digests.
    computed_fraction : dict of str to float
        Moving average of the share of prompt tokens that engines computed, by class.
    """

    engines: RouterEngines
    ejector: Ejector
    gate: AdmissionGate
    shares: ShareClient
    links: RouterLinks
    client: EngineClient
    stream_id_signer: StreamIdSigner
    retry: RetryPolicy
    metrics: RouterMetrics
    objective: Objective
    secret: bytes
    lookup_timeout_s: float
    rng: random.Random
    clock: Callable[[], float] = time.monotonic
    placements: dict[str, Placement] = field(default_factory=dict)
    computed_fraction: dict[str, float] = field(default_factory=dict)

    def placement(self, model: str) -> Placement:
        """Return the placement of a model; created on first use."""
        if model not in self.placements:
            self.placements[model] = Placement(
                objective=self.objective, started_at=self.clock()
            )
        placement = self.placements[model]
        placement.routers = max(1, len(self.links.owners))
        placement.demand.scale = float(placement.routers)
        return placement


def engine_group(model: str, version: str) -> str:
    """Return the engine group of a model's weights version."""
    return f"{model}={version}"


def prompt_messages(request: ChatRequest) -> list[dict[str, Any]]:
    """Return the messages that make up the engine's prompt, root first.

    Tool definitions come before the messages in the prompt template.
    """
    tools = request.extra.get("tools")
    tool_messages = [{"role": "tools", "content": json.dumps(tools)}] if tools else []
    return [*tool_messages, *request.messages]


def prompt_root(messages: list[dict[str, Any]]) -> str:
    """Return role and first 1,024 characters of a prompt, which identify its root."""
    first = messages[0]
    return f"{first.get('role')}:{str(first.get('content'))[:1024]}"
