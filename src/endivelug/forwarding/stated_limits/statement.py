"""What the head of a response states about a limit, and how the VMs tell each other."""

from dataclasses import dataclass

from endivelug.forwarding.peer_messages import incarnation_name, incarnation_of
from endivelug.forwarding.requests import ResponseInfo

# Limits below this count as this, also 0: the requests that are still sent find out
# whether the limit holds on.
MIN_LIMIT_PER_S = 0.05
# Limits above this count as this. No upstream reaches it.
MAX_LIMIT_PER_S = 1_000_000.0
# Digits of a limit in a notice; more only make it longer.
NOTICE_DIGITS = 6
MAX_NOTICE_LENGTH = 32


@dataclass(slots=True, kw_only=True, frozen=True)
class Limited:
    """The upstream takes so many requests a second from all VMs together.

    Attributes
    ----------
    fault : str or None
        What is wrong with the value, which is brought within bounds.
    """

    per_s: float
    fault: str | None = None


@dataclass(slots=True, kw_only=True, frozen=True)
class Unlimited:
    """The upstream served a request and stated no limit."""


@dataclass(slots=True, kw_only=True, frozen=True)
class Unusable:
    """The upstream stated something that is no limit; what was known holds on."""

    fault: str


Statement = Limited | Unlimited | Unusable


def statement_of(info: ResponseInfo) -> Statement | None:
    """Return what a response states, or None if it says nothing of the instance.

    Any answer of the instance may state a limit. Only one to a request that ran shows
    that there is none: a refusal may come from a part that does not know of it.

    Examples
    --------
    >>> def statement(**stated):
    ...     info = ResponseInfo(not_run=False, signed=True, weights=None, idle_s=None,
    ...                         **stated)
    ...     return statement_of(info)
    >>> statement(limit_per_s=1.4)
    Limited(per_s=1.4, fault=None)
    >>> statement(limit_per_s=0.0)
    Limited(per_s=0.05, fault='0.0 is out of range')
    >>> statement(), statement(own=False)
    (Unlimited(), None)
    """
    if not info.own or not info.identified:
        return None
    if info.invalid_limit is not None:
        return Unusable(fault=f"{info.invalid_limit!r} is no number")
    if info.limit_per_s is None:
        return Unlimited() if info.signed and not info.not_run else None
    per_s = min(max(info.limit_per_s, MIN_LIMIT_PER_S), MAX_LIMIT_PER_S)
    if per_s != info.limit_per_s:
        return Limited(per_s=per_s, fault=f"{info.limit_per_s} is out of range")
    return Limited(per_s=per_s)


@dataclass(slots=True, kw_only=True, frozen=True)
class LimitNews:
    """What a VM was told by an upstream; ``per_s`` is None if it has no limit."""

    name: str
    started_ms: int
    per_s: float | None


def notice_name(news: LimitNews) -> str:
    """Return the name of the notice with which a VM passes on what it was told.

    Examples
    --------
    >>> notice_name(LimitNews(name="e1", started_ms=1000, per_s=1.4))
    '1.4/1000/e1'
    >>> news_of('-/1000/e1')
    LimitNews(name='e1', started_ms=1000, per_s=None)
    >>> news_of('nan/1000/e1'), news_of('1.4/e1')
    (None, None)
    """
    stated = "-" if news.per_s is None else f"{news.per_s:.{NOTICE_DIGITS}g}"
    return f"{stated}/{incarnation_name(news.name, news.started_ms)}"


def news_of(notice: str) -> LimitNews | None:
    """Return what a notice of another VM says, or None if it cannot be used."""
    stated, _, rest = notice.partition("/")
    incarnation = incarnation_of(rest)
    if incarnation is None or len(stated) > MAX_NOTICE_LENGTH:
        return None
    name, started_ms = incarnation
    if stated == "-":
        return LimitNews(name=name, started_ms=started_ms, per_s=None)
    try:
        per_s = float(stated)
    except ValueError:
        return None
    if not MIN_LIMIT_PER_S <= per_s <= MAX_LIMIT_PER_S:
        return None
    return LimitNews(name=name, started_ms=started_ms, per_s=per_s)
