"""Outcomes of a caller's request, and the problem documents of refused ones.

Each outcome states whether the request ran. Problem documents follow RFC 9457.
"""

from dataclasses import dataclass
from typing import Any

PROBLEM_TYPE_BASE = "https://endivelug.invalid/problems/"


@dataclass(slots=True, kw_only=True)
class NotRun:
    """The request was refused and did not run.

    Attributes
    ----------
    kind : str
        Machine-readable kind, for example ``deadline-unreachable``.
    status : int
        HTTP status.
    remedy : str
        What the caller can do.
    retry_after_s : float or None
        Seconds after which a retry can succeed; None if a retry cannot help.
    earlier_unknown : bool
        Whether an earlier request with the same idempotency key may have run.
    """

    kind: str
    status: int
    remedy: str
    retry_after_s: float | None = None
    earlier_unknown: bool = False


@dataclass(slots=True, kw_only=True)
class InProgress:
    """A request with the same idempotency key is still running.

    Attributes
    ----------
    remedy : str
        What the caller can do.
    retry_after_s : float
        Seconds after which a retry may get the outcome.
    """

    remedy: str = "repeat the request with the same Idempotency-Key to get its outcome"
    retry_after_s: float = 1.0


@dataclass(slots=True, kw_only=True)
class MayHaveRun:
    """The request was dispatched and its outcome is unknown.

    Attributes
    ----------
    kind : str
        Machine-readable kind, for example ``upstream-broken``.
    remedy : str
        What the caller can do.
    """

    kind: str
    remedy: str = "check the effect at the service before sending a new key"


@dataclass(slots=True, kw_only=True)
class Ran:
    """The request ran; this is the upstream's response.

    Attributes
    ----------
    status : int
        HTTP status of the response.
    content_type : str
        Media type of the body.
    body : bytes or None
        Response body; None if it was not stored.
    replayed : bool
        Whether this is the recorded response to an earlier request with the same key.
    """

    status: int
    content_type: str
    body: bytes | None
    replayed: bool = False


Refusal = NotRun | InProgress | MayHaveRun
Outcome = Refusal | Ran


def problem_document(refusal: Refusal) -> tuple[int, dict[str, Any]]:
    """Return the HTTP status and problem document of a refusal.

    Parameters
    ----------
    refusal : NotRun, InProgress or MayHaveRun
        The outcome to describe.

    Returns
    -------
    status : int
        HTTP status of the response to the caller.
    document : dict
        Members of the ``application/problem+json`` body.

    Examples
    --------
    >>> status, document = problem_document(MayHaveRun(kind="upstream-broken"))
    >>> status, document["run"]
    (502, 'may-have-run')
    """
    match refusal:
        case NotRun():
            status, kind, run = refusal.status, refusal.kind, "not-run"
            retry_after_s = refusal.retry_after_s
        case InProgress():
            status, kind, run = 409, "in-progress", "in-progress"
            retry_after_s = refusal.retry_after_s
        case MayHaveRun():
            status, kind, run = 502, refusal.kind, "may-have-run"
            retry_after_s = None
    document: dict[str, Any] = {
        "type": PROBLEM_TYPE_BASE + kind,
        "title": kind.replace("-", " "),
        "status": status,
        "run": run,
        "remedy": refusal.remedy,
    }
    if isinstance(refusal, NotRun) and refusal.earlier_unknown:
        document["earlier_run"] = "unknown"
    if retry_after_s is not None:
        document["retry_after_s"] = round(retry_after_s, 3)
    return status, document
