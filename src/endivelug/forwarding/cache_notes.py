"""Keeps what each attempt says about cached parts, here and at the peers."""

from collections.abc import Callable

from endivelug.forwarding.calls import Call, Delivered, Ending
from endivelug.forwarding.cluster_view import ClusterView
from endivelug.forwarding.placing import Placement
from endivelug.forwarding.prompt_cache import PromptPart

# An engine that reads a shared part is waited for this long beyond the expected time.
READING_MIN_S = 0.5
# Tells peers that an engine ended without having read the parts.
STOPPED_READING = -1.0

# Called with a holder, a namespace, parts, and for how long it reads them (0: it keeps
# them, negative: it stopped).
Tell = Callable[[str, str, list[PromptPart], float], None]


class CacheNotes:
    """Notes of sends and their endings.

    Parameters
    ----------
    tell : callable
        Tells the peers.
    """

    def __init__(
        self, *, view: ClusterView, tell: Tell, clock: Callable[[], float]
    ) -> None:
        self.view = view
        self.tell = tell
        self.clock = clock

    def sending(self, placement: Placement) -> None:
        """Tell everyone which shared parts an engine begins to read."""
        if placement.namespace is None or not placement.reads:
            return
        name, parts = placement.instance.name, list(placement.reads)
        reading_s = READING_MIN_S + 2 * placement.expected_s
        self.view.caches.begin_reading(
            name,
            namespace=placement.namespace,
            parts=parts,
            until=self.clock() + reading_s,
        )
        self.tell(name, placement.namespace, parts, reading_s)

    def ended(self, call: Call, placement: Placement, ending: Ending | None) -> None:
        """Note what an attempt left in the caches."""
        if placement.namespace is None:
            return
        if isinstance(ending, Delivered) and placement.save_to is not None:
            # The engine sends the parts to the store once it has read them.
            self.held(placement.save_to, placement.namespace, call)
        if isinstance(ending, Delivered) or not placement.reads:
            return
        name, parts = placement.instance.name, list(placement.reads)
        self.view.caches.stop_reading(name, namespace=placement.namespace, parts=parts)
        self.tell(name, placement.namespace, parts, STOPPED_READING)

    def held(self, holder: str, namespace: str, call: Call) -> None:
        """Note that a holder keeps the parts of a call."""
        parts = call.request.prompt
        known = self.view.caches.held_tokens(holder, namespace=namespace, parts=parts)
        self.view.caches.note(holder, namespace=namespace, parts=parts)
        if known < sum(part.tokens for part in parts):
            self.tell(holder, namespace, parts, 0.0)
