"""Bounds on the descriptors of callers and of connections to upstreams."""

from dataclasses import dataclass

# Largest part of the descriptors that callers may use.
CALLERS_PART = 0.75
# Part that neither callers nor their requests use: peers, the store, control calls, and
# the ports of the operators.
RESERVE_PART = 1 / 16
MIN_RESERVE = 48


@dataclass(slots=True, kw_only=True, frozen=True)
class DescriptorBounds:
    """Bounds of one process.

    Attributes
    ----------
    max_fds : int
        Descriptors that the process may open; 0 if it is not stated.

    Examples
    --------
    >>> bounds = DescriptorBounds(max_fds=1638)
    >>> bounds.max_callers(upstreams=100), bounds.max_callers(upstreams=800)
    (1228, 736)
    """

    max_fds: int

    def max_callers(self, *, upstreams: int) -> int:
        """Return how many connections of callers may be open; 0 for any number."""
        if self.max_fds <= 0:
            return 0
        free = self._usable - upstreams
        return max(1, min(free, int(self.max_fds * CALLERS_PART)))

    def upstream_fits(self, *, callers: int, upstreams: int) -> bool:
        """Return whether one more connection to an upstream may be opened."""
        return self.max_fds <= 0 or callers + upstreams < self._usable

    @property
    def _usable(self) -> int:
        return self.max_fds - max(MIN_RESERVE, int(self.max_fds * RESERVE_PART))
