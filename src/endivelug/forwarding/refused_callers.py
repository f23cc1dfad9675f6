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
    text = f"{owner}\0{call.route.name}\0{call.request.prompt[-1].segment_id}"
    return hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()


@dataclass(slots=True, kw_only=True)
class RefusedCallers:
    """Refusals by this VM and by its peers.

    Attributes
    ----------
    retry_at : dict of str to float
        Earliest time, by request digest, at which the caller was asked to retry.
    """

    retry_at: dict[str, float] = field(default_factory=dict)

    def record_refusal(self, digest: str, *, retry_at: float, now: float) -> None:
        """Record that a request was refused and may be retried from ``retry_at``."""
        self.retry_at[digest] = retry_at
        if len(self.retry_at) > MAX_REFUSALS:
            self._expire(now)

    def is_returning(self, digest: str, *, now: float) -> bool:
        """Return whether a request was refused and waited for its retry time.

        Examples
        --------
        >>> refused = RefusedCallers()
        >>> refused.record_refusal("q", retry_at=10.5, now=10.0)
        >>> refused.is_returning("q", now=10.1), refused.is_returning("q", now=10.6)
        (False, True)
        """
        retry_at = self.retry_at.get(digest)
        return retry_at is not None and retry_at <= now < retry_at + RETRY_WINDOW_S

    def _expire(self, now: float) -> None:
        self.retry_at = {
            digest: retry_at
            for digest, retry_at in self.retry_at.items()
            if now < retry_at + RETRY_WINDOW_S
        }
        while len(self.retry_at) > MAX_REFUSALS:
            del self.retry_at[next(iter(self.retry_at))]
