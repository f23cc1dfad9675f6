"""Records refused generations, so that returning callers precede new ones.

Load pattern: engines are overloaded, and refused callers that retry compete with new
ones. Callers that waited for the ``Retry-After`` time precede new callers of the same
priority. Requests that are repeated earlier gain nothing.
"""

import hashlib
from dataclasses import dataclass, field

from endivelug.forwarding.calls import Call

# A refused caller that has not retried this long after the ``Retry-After`` time is
# assumed not to return.
RETRY_WINDOW_S = 4.0
MAX_REFUSALS = 2000
DIGEST_BYTES = 6


def request_digest(call: Call) -> str | None:
    """Return a digest that is the same for each retry of a request, or None.

    The request id can't be used, because each retry has a new one. The last segment of
    a prompt identifies one request or session. None means that there is no prompt.
    """
    if not call.request.prompt:
        return None
    owner = call.organisation.name if call.organisation else ""
    text = f"{owner}\0{call.route.name}\0{call.request.prompt[-1].part}"
    return hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()


@dataclass(slots=True, kw_only=True)
class RefusedCallers:
    """Refusals by this VM and by its peers.

    Attributes
    ----------
    back_at : dict of str to float
        Earliest time, by request digest, at which the caller was asked to retry.
    """

    back_at: dict[str, float] = field(default_factory=dict)

    def refused(self, digest: str, *, back_at: float, now: float) -> None:
        """Record that a request was refused and may be retried from ``back_at``."""
        self.back_at[digest] = back_at
        if len(self.back_at) > MAX_REFUSALS:
            self._expire(now)

    def is_returning(self, digest: str, *, now: float) -> bool:
        """Return whether a request was refused and waited for its retry time.

        Examples
        --------
        >>> refused = RefusedCallers()
        >>> refused.refused("q", back_at=10.5, now=10.0)
        >>> refused.is_returning("q", now=10.1), refused.is_returning("q", now=10.6)
        (False, True)
        """
        back_at = self.back_at.get(digest)
        return back_at is not None and back_at <= now < back_at + RETRY_WINDOW_S

    def _expire(self, now: float) -> None:
        self.back_at = {
            digest: back_at
            for digest, back_at in self.back_at.items()
            if now < back_at + RETRY_WINDOW_S
        }
        while len(self.back_at) > MAX_REFUSALS:
            del self.back_at[next(iter(self.back_at))]
