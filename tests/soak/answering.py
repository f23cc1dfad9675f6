"""How an upstream of the soak answers."""

from dataclasses import dataclass

# Statuses of an upstream's own failures. The request has run, although some of them
# promise the opposite where a router sends them.
FAILURES = (500, 503, 429, 408)
FAILURE_BODY = b"failed"


@dataclass(slots=True, kw_only=True, frozen=True)
class Answering:
    """How an upstream answers while a fault lasts.

    Attributes
    ----------
    refused_share : float
        Share of the requests that it refuses and states that they did not run.
    broken_share, failed_share : float
        Shares of the requests that it runs and answers with a reset or with one of the
        ``failures``.
    copied_share : float
        Share of the answers that are sent once more, before the next one.
    nameless_share : float
        Share of the refusals that do not name their request.
    """

    refused_share: float = 0.0
    broken_share: float = 0.0
    failed_share: float = 0.0
    copied_share: float = 0.0
    nameless_share: float = 0.0
    failures: tuple[int, ...] = FAILURES
