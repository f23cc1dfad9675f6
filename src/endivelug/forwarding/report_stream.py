"""What one audience of a VM's reports has not been told yet.

A VM sends the same reports to all neighbours of an audience, so each is encoded once.
Members get the totals of all VMs, and relays those of this VM and its members.
"""

from collections import deque
from dataclasses import dataclass, field

from endivelug.forwarding.neighbour import NO_MEMBER
from endivelug.forwarding.peer_messages import EngineWeights, HeldPart, NoticeKind
from endivelug.forwarding.prompt_cache import PromptSegment
from endivelug.forwarding.row_store import StoreVersion

# Prompt segments and notices in one report; further ones follow in the next.
MAX_SEGMENTS = 200
MAX_NOTICES = 200


@dataclass(slots=True, kw_only=True, frozen=True)
class PendingNotice:
    """A notice that expires, and the member that sent it or ``NO_MEMBER``."""

    name: str
    kind: NoticeKind
    until: float
    origin: int = NO_MEMBER


@dataclass(slots=True, kw_only=True, frozen=True)
class Standing:
    """State of this VM that every report has.

    Attributes
    ----------
    relay : bool
        Whether this VM passes on the reports of others.
    relays : tuple of str
        This VM and the relays that it is linked to; empty if it is not a relay.
    registry_lost : bool
        Whether this VM cannot reach the registry of upstreams.
    follows_store : bool
        Whether this VM follows the store itself, and the store answers.
    rows_age_s : int
        Time since the rows were last known to be current, in whole seconds, because the
        age matters only beyond a second.
    holds_lease : bool
        Whether this VM certainly holds the order lease.
    store_era : int
        Newest era that the store named to this VM; 0 before the first answer.
    configuration : int
        Number of the configuration in force; 0 before the first one.
    """

    relay: bool
    relays: tuple[str, ...]
    registry_lost: bool
    follows_store: bool
    rows_age_s: int
    holds_lease: bool = False
    store_era: int = 0
    configuration: int = 0


@dataclass(slots=True, kw_only=True)
class ReportStream:
    """Changes since the last report to an audience.

    Attributes
    ----------
    sequence : int
        Number of the last report.
    sent_at : float
        Time of the last report.
    loads, retries, shared : set of str
        Keys of the amounts that have changed.
    announced : set of (str, int)
        Announced versions of weights of which the audience knows the age.
    tables : dict of str to StoreVersion
        Table versions in the last report.
    standing : Standing or None
        State of this VM in the last report.
    """

    sequence: int = 0
    sent_at: float = float("-inf")
    loads: set[str] = field(default_factory=set)
    retries: set[str] = field(default_factory=set)
    shared: set[str] = field(default_factory=set)
    notices: deque[PendingNotice] = field(default_factory=deque)
    weights: list[EngineWeights] = field(default_factory=list)
    segments: deque[HeldPart] = field(default_factory=deque)
    announced: set[tuple[str, int]] = field(default_factory=set)
    tables: dict[str, StoreVersion] = field(default_factory=dict)
    standing: Standing | None = None

    @property
    def has_changes(self) -> bool:
        """Whether amounts, notices, weights or segments are waiting to be sent."""
        return bool(
            self.loads
            or self.retries
            or self.shared
            or self.notices
            or self.weights
            or self.segments
        )

    def take_notices(self) -> list[PendingNotice]:
        """Remove and return the notices of the next report."""
        count = min(MAX_NOTICES, len(self.notices))
        return [self.notices.popleft() for _ in range(count)]

    def take_segments(self) -> list[HeldPart]:
        """Remove and return the prompt segments of the next report."""
        count = min(MAX_SEGMENTS, len(self.segments))
        return [self.segments.popleft() for _ in range(count)]

    def clear(self) -> None:
        """Drop everything that waits to be sent, because nobody listens."""
        self.loads.clear()
        self.retries.clear()
        self.shared.clear()
        self.notices.clear()
        self.weights.clear()
        self.segments.clear()


def segment_changes(
    cache: str, namespace: str, segments: list[PromptSegment], *, prefill_s: float
) -> list[HeldPart]:
    """Return the messages for prompt segments that a cache holds or prefills."""
    return [
        HeldPart(
            holder=cache,
            namespace=namespace,
            part=segment.segment_id,
            tokens=segment.tokens,
            prefill_s=prefill_s,
        )
        for segment in segments
    ]
