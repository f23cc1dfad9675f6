"""Limits how long a configuration is used without confirmation that it is current.

A revocation is effective everywhere once each data centre either applied it or stopped
accepting requests. So a data centre may accept requests only while it can know that no
newer revision is in force elsewhere: the table confirmed its revision, or every other
data centre did. One other data centre is not enough, because a network partition may
isolate both together.
"""

import math
from collections.abc import Iterable

from endivelug.messages import Contact

# Name of the platform among the contacts; no data centre has an empty name.
PLATFORM = ""


class Staleness:
    """Times of the last contact with the platform and with each other data centre.

    Times are in seconds of the caller's clock. The caller must record a contact only
    if the other side had no newer revision than the one in force.

    Parameters
    ----------
    data_centre : str
        Name of the own data centre.
    stale_limit_s : float
        Seconds for which the configuration is used after the last contact.

    Examples
    --------
    >>> staleness = Staleness(data_centre="a", stale_limit_s=7200.0)
    >>> staleness.record_contact(PLATFORM, 100.0)
    >>> staleness.is_stale(["b"], now=7299.0), staleness.is_stale(["b"], now=7301.0)
    (False, True)
    """

    def __init__(self, *, data_centre: str, stale_limit_s: float) -> None:
        self.data_centre = data_centre
        self.stale_limit_s = stale_limit_s
        self._contacted_at: dict[str, float] = {}

    def record_contact(self, name: str, at: float) -> None:
        """Record a contact; one older than the last known contact has no effect."""
        if name != self.data_centre:
            self._contacted_at[name] = max(at, self._contacted_at.get(name, -math.inf))

    def merge_contacts(self, contacts: Iterable[Contact], *, now: float) -> None:
        """Record the contacts that a peer announced."""
        for contact in contacts:
            self.record_contact(contact.name, now - max(0.0, contact.age_s))

    def contacts(self, *, now: float) -> list[Contact]:
        """Return the contacts with their ages, to announce them to a peer."""
        return [
            Contact(name=name, age_s=max(0.0, now - at))
            for name, at in sorted(self._contacted_at.items())
        ]

    def platform_age_s(self, *, now: float) -> float:
        """Return the seconds since the platform confirmed the configuration."""
        return now - self._contacted_at.get(PLATFORM, -math.inf)

    def confirmed_at(self, other_data_centres: Iterable[str]) -> float:
        """Return the time at which the configuration was last known to be the newest.

        Parameters
        ----------
        other_data_centres : iterable of str
            Names of all other data centres of the deployment.
        """
        contact_times = [
            self._contacted_at.get(name, -math.inf) for name in other_data_centres
        ]
        platform = self._contacted_at.get(PLATFORM, -math.inf)
        return max(platform, min(contact_times, default=-math.inf))

    def stale_at(self, other_data_centres: Iterable[str]) -> float:
        """Return the time from which new requests must be refused.

        It is minus infinity if there was no sufficient contact yet.
        """
        return self.confirmed_at(other_data_centres) + self.stale_limit_s

    def is_stale(self, other_data_centres: Iterable[str], *, now: float) -> bool:
        """Return whether new requests must be refused."""
        return now > self.stale_at(other_data_centres)
