"""Keeps what each attempt says about cached parts, here and at the peers."""

from collections.abc import Callable, Iterable

from endivelug.forwarding.calls import AttemptOutcome, Call, Delivered
from endivelug.forwarding.cluster_view import ClusterView
from endivelug.forwarding.placement import Placement
from endivelug.forwarding.prompt_cache import PromptSegment

# An engine that reads a shared part is waited for this long beyond the expected time.
READING_MIN_S = 0.5
# Smaller parts are read in less time than peers need to hear of them. The last part of
# a prompt belongs to one request and is not told.
TOLD_TOKENS = 256
# Tells peers that an engine ended without having read the parts.
STOPPED_READING = -1.0

# Called with a holder, a namespace, parts, and for how long it reads them (0: it keeps
# them, negative: it stopped).
Tell = Callable[[str, str, list[PromptSegment], float], None]


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
        parts = _worth_telling(placement.uncached_segments)
        if placement.namespace is None or not parts:
            return
        name = placement.instance.name
        reading_s = READING_MIN_S + 2 * placement.expected_s
        self.view.caches.begin_prefill(
            name,
            namespace=placement.namespace,
            segments=parts,
            until=self.clock() + reading_s,
        )
        self.tell(name, placement.namespace, parts, reading_s)

    def ended(
        self, call: Call, placement: Placement, ending: AttemptOutcome | None
    ) -> None:
        """Note what an attempt left in the caches."""
        if placement.namespace is None:
            return
        if isinstance(ending, Delivered) and placement.save_to is not None:
            # The engine sends the parts to the store once it has read them.
            self.held(placement.save_to, placement.namespace, call)
        parts = _worth_telling(placement.uncached_segments)
        if isinstance(ending, Delivered) or not parts:
            return
        name = placement.instance.name
        self.view.caches.cancel_prefill(
            name, namespace=placement.namespace, segments=parts
        )
        self.tell(name, placement.namespace, parts, STOPPED_READING)

    def held(self, holder: str, namespace: str, call: Call) -> None:
        """Note that a holder keeps the parts of a call."""
        parts = call.request.prompt
        self.view.caches.record_use(holder, namespace=namespace, segments=parts)
        told = _worth_telling(parts[:-1])
        if told:
            # Told on each use, so that peers know which parts were used last.
            self.tell(holder, namespace, told, 0.0)


def _worth_telling(parts: Iterable[PromptSegment]) -> list[PromptSegment]:
    return [part for part in parts if part.tokens >= TOLD_TOKENS]
