"""Remembers which generations were refused, so that their callers go first next time.

Load pattern: more work than the engines take, and callers that come back as asked meet
new ones. Those who waited as told go before new ones of their priority; the order of
requests that repeat at once does not change, because they come before they were asked.
"""

import hashlib
from dataclasses import dataclass, field

from endivelug.forwarding.calls import Call

# A caller that was refused comes back within this time or not at all.
REMEMBERED_S = 4.0
MAX_REMEMBERED = 2000
DIGEST_BYTES = 6


def request_digest(call: Call) -> str | None:
    """Return what a repeat of a request has in common with it, or None.

    Each try has an id of its own; the last part of a prompt belongs to one request or
    session.
    """
    if not call.request.prompt:
        return None
    owner = call.organisation.name if call.organisation else ""
    text = f"{owner}\0{call.route.name}\0{call.request.prompt[-1].part}"
    return hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()


@dataclass(slots=True, kw_only=True)
class RefusedCallers:
    """Refusals of this VM and of its peers.

    Attributes
    ----------
    back_at : dict of str to float
        Earliest time at which each refused request was asked to come back.
    """

    back_at: dict[str, float] = field(default_factory=dict)

    def refused(self, digest: str, *, back_at: float, now: float) -> None:
        """Note that a request was refused until a time."""
        self.back_at[digest] = back_at
        if len(self.back_at) > MAX_REMEMBERED:
            self._expire(now)

    def is_returning(self, digest: str, *, now: float) -> bool:
        """Return whether a request was refused and comes back as asked.

        Examples
        --------
        >>> refused = RefusedCallers()
        >>> refused.refused("q", back_at=10.5, now=10.0)
        >>> refused.is_returning("q", now=10.1), refused.is_returning("q", now=10.6)
        (False, True)
        """
        back_at = self.back_at.get(digest)
        return back_at is not None and back_at <= now < back_at + REMEMBERED_S

    def _expire(self, now: float) -> None:
        self.back_at = {
            digest: back_at
            for digest, back_at in self.back_at.items()
            if now < back_at + REMEMBERED_S
        }
        while len(self.back_at) > MAX_REMEMBERED:
            del self.back_at[next(iter(self.back_at))]
