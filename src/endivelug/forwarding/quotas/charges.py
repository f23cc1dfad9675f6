"""What a call is charged to its organisation's quota."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True)
class QuotaCharge:
    """Units of a call.

    Attributes
    ----------
    units : int
        Units of each run.
    runs : int
        Runs that are charged.
    """

    organisation: str
    units: int
    runs: int = 1
