"""Fencing numbers of leases in a table that may come back from an older copy."""

from endivelug.transactions import TableVersion

# Low bits of a fencing number, which hold a revision of the table; the era is above
# them. A number stays below 2^53, up to which JSON readers keep integers exact. 39 bits
# last 30 years at 500 revisions a second, the others for one restoration a day as long.
FENCING_REVISION_BITS = 39
MAX_FENCING_ERA = 2 ** (53 - FENCING_REVISION_BITS) - 1


def next_fencing(last: int, version: TableVersion) -> int:
    """Return the fencing number with which to acquire the lease.

    In a table that may be restored, the number is above the revision that was read
    before the acquisition. A later acquisition reads the revision of this one or a
    later one, so the numbers of an era rise whatever the row says, and those of the
    next era are above them.

    Parameters
    ----------
    last : int
        Fencing number in the row; 0 if it does not exist.
    version : TableVersion
        Version of the table that was stated with the read of the row.
    """
    if version.era == 0:
        return last + 1
    floor = (version.era << FENCING_REVISION_BITS) + version.revision
    if fencing_era(last) == version.era:
        floor = max(floor, last)
    return floor + 1


def fencing_era(fencing: int) -> int:
    """Return the era of the table in which a fencing number was given."""
    return fencing >> FENCING_REVISION_BITS
