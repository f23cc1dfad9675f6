"""State of one linked VM, from its reports and from what was sent to it."""

from collections import deque
from dataclasses import dataclass, field

from endivelug.forwarding.neighbour_sums import Load, RetryCount, SentAmounts
from endivelug.forwarding.row_store import StoreVersion
from endivelug.forwarding.shared_amounts import Amounts

# Number of a VM to which the sender of a report has given none: it is a relay, or the
# sender is not.
NO_MEMBER = -1


@dataclass(slots=True, kw_only=True)
class Neighbour:
    """State of one linked VM.

    Attributes
    ----------
    last_received_at : float
        Time of its last report, or of the opening of the link.
    is_relay : bool
        Whether it passes on the reports of others.
    reported : bool
        Whether it has sent a report on this link, so that ``is_relay`` is certain.
    vms : int
        Number of VMs that its reports cover, without this one.
    relays : frozenset of str
        Itself and the relays that it is linked to; empty if it is not a relay.
    registry_lost : bool
        Whether it cannot reach the registry of upstreams.
    follows_store : bool
        Whether it follows the store itself, and the store answers.
    rows_current_at : float
        Time at which its rows were last known to be current.
    lease_until : float
        Time until which it certainly holds the order lease.
    tables : dict of str to StoreVersion
        Versions of its tables.
    configuration : int
        Number of the configuration in force there; 0 before the first one.
    announcements : dict of (str, int) to float
        Versions of desired weights that it knows and this VM does not, and when they
        were announced.
    greeted, in_sync : bool
        Whether it was sent a first report without amounts, and a full report, after
        which it gets the changes.
    number : int
        Number that this VM, as its relay, has given to it.
    received_sequence : int
        Number of the last report whose amounts were applied; 0 before a full one.
    missed : bool
        Whether a report is missing before the last one, so that a full one is needed.
    own_number : int
        Number that it, as the relay of this VM, has given to this VM.
    stated_loads, stated_retries, stated_shared : dict
        Amounts as it stated them. The totals of a relay include those of this VM.
    sent_loads, sent_retries, sent_shared : SentAmounts
        What this VM has reported to it.
    unacknowledged : deque of (int, float)
        Numbers and times of the reports to it that it has not acknowledged, if it is
        the relay of this VM.
    """

    last_received_at: float
    is_relay: bool = False
    reported: bool = False
    vms: int = 1
    relays: frozenset[str] = frozenset()
    registry_lost: bool = False
    follows_store: bool = False
    rows_current_at: float = float("-inf")
    lease_until: float = 0.0
    tables: dict[str, StoreVersion] = field(default_factory=dict)
    configuration: int = 0
    announcements: dict[tuple[str, int], float] = field(default_factory=dict)
    greeted: bool = False
    in_sync: bool = False
    number: int = NO_MEMBER
    received_sequence: int = 0
    missed: bool = False
    own_number: int = NO_MEMBER
    stated_loads: dict[str, Load] = field(default_factory=dict)
    stated_retries: dict[str, RetryCount] = field(default_factory=dict)
    stated_shared: dict[str, Amounts] = field(default_factory=dict)
    sent_loads: SentAmounts[Load] = field(default_factory=SentAmounts)
    sent_retries: SentAmounts[RetryCount] = field(default_factory=SentAmounts)
    sent_shared: SentAmounts[Amounts] = field(default_factory=SentAmounts)
    unacknowledged: deque[tuple[int, float]] = field(default_factory=deque)

    def acknowledge(self, sequence: int) -> None:
        """Record that it has applied the reports up to a number."""
        while self.unacknowledged and self.unacknowledged[0][0] <= sequence:
            self.unacknowledged.popleft()

    def knows_reports_since(self, at: float) -> bool:
        """Return whether it has applied what this VM, as its member, sent before."""
        if self.own_number == NO_MEMBER or not self.unacknowledged:
            return True
        return self.unacknowledged[0][1] >= at
