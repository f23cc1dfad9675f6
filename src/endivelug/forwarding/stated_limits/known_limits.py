"""Which limits hold: the newest word of each upstream, from answers here or at peers.

Load pattern: most VMs hear from a limited upstream only now and then, and answers that
state a limit cross those that state none. So every word has the time at which a VM got
it, the newest counts at all VMs, and only what a VM was told itself is passed on.
"""

import random
from dataclasses import dataclass, field
from enum import Enum

from endivelug.forwarding.stated_limits.statement import (
    Limited,
    LimitNews,
    Statement,
    Unlimited,
    Unusable,
)

# A limit is dropped this long after the last word of it. It has to outlast several
# requests at the lowest limit, whose answers confirm or end it.
EXPIRE_S = 300.0
# Lifetime of a notice. A receiver tells the age of the word from what is left of it.
NOTICE_S = 4.0
# While answers go on stating a limit it is announced again at this interval, with a
# random addition: of several VMs the first one spares the others.
REPEAT_S = 2.0
REPEAT_JITTER_S = 1.0
# Once a limit has ended, older words of it may arrive for this long.
ENDED_KEPT_S = 10.0
# Incarnations of which a word is kept; beyond that the oldest is dropped.
MAX_KNOWN = 1024

Incarnation = tuple[str, int]


class Source(Enum):
    """Where a word comes from; the values are written to the log."""

    ANSWER = "answer"
    PEER = "peer"
    EXPIRED = "expired"
    REPLACED = "replaced"


@dataclass(slots=True, kw_only=True, frozen=True)
class LimitChange:
    """A limit began, has another value, or ended (``per_s`` is None)."""

    incarnation: Incarnation
    per_s: float | None
    before: float | None
    age_s: float
    source: Source


@dataclass(slots=True, kw_only=True)
class _Word:
    """Newest word on one incarnation.

    Attributes
    ----------
    per_s : float or None
        The limit; None once it has ended.
    stated_at : float
        When a VM got this word.
    heard_at : float
        When this VM was last told so by the upstream itself.
    repeat_at : float
        Time from which this VM announces it again if it has been told so since.
    """

    per_s: float | None
    stated_at: float
    heard_at: float = float("-inf")
    repeat_at: float = float("-inf")


@dataclass(slots=True, kw_only=True)
class KnownLimits:
    """Newest words by incarnation.

    Attributes
    ----------
    words : dict of (str, int) to _Word
        Also of limits that ended a short while ago.
    """

    rng: random.Random
    words: dict[Incarnation, _Word] = field(default_factory=dict)

    def limit_of(self, incarnation: Incarnation) -> float | None:
        """Return the limit of an incarnation, or None."""
        word = self.words.get(incarnation)
        return None if word is None else word.per_s

    def hear(
        self,
        incarnation: Incarnation,
        statement: Statement,
        *,
        sent_at: float,
        now: float,
    ) -> LimitChange | None:
        """Apply what a response states; return what it changes.

        Parameters
        ----------
        sent_at : float
            When the request was sent. A response that contradicts the newest word
            counts only if it was sent after that; it may have been written before.
        """
        word = self.words.get(incarnation)
        match statement:
            case Limited(per_s=per_s):
                if word is not None and word.per_s is None and sent_at < word.stated_at:
                    return None
                return self._apply(
                    incarnation, per_s, stated_at=now, source=Source.ANSWER, now=now
                )
            case Unlimited():
                if word is None or word.per_s is None or sent_at < word.stated_at:
                    return None
                return self._apply(
                    incarnation, None, stated_at=now, source=Source.ANSWER, now=now
                )
            case Unusable():
                return None

    def learn(self, news: LimitNews, *, age_s: float, now: float) -> LimitChange | None:
        """Apply what another VM was told; return what it changes."""
        stated_at = now - max(0.0, age_s)
        incarnation = (news.name, news.started_ms)
        word = self.words.get(incarnation)
        if word is not None and stated_at <= word.stated_at:
            return None
        return self._apply(
            incarnation, news.per_s, stated_at=stated_at, source=Source.PEER, now=now
        )

    def due_news(self, *, now: float) -> list[tuple[LimitNews, float]]:
        """Return what this VM has to announce, with the age of each word."""
        due = []
        for (name, started_ms), word in self.words.items():
            is_own = word.heard_at >= word.stated_at
            is_fresh = now < word.heard_at + NOTICE_S
            if is_own and is_fresh and now >= word.repeat_at:
                word.repeat_at = now + self._interval_s()
                news = LimitNews(name=name, started_ms=started_ms, per_s=word.per_s)
                due.append((news, now - word.heard_at))
        return due

    def expire(self, registered: dict[str, int], *, now: float) -> list[LimitChange]:
        """Drop what is outdated; return the limits that end.

        Parameters
        ----------
        registered : dict of str to int
            Start times by the names of the registered upstreams.
        """
        changes = []
        for incarnation, word in list(self.words.items()):
            name, started_ms = incarnation
            age_s = now - word.stated_at
            if word.per_s is None:
                if age_s >= ENDED_KEPT_S:
                    del self.words[incarnation]
                continue
            replaced = registered.get(name) != started_ms
            if not replaced and age_s < EXPIRE_S:
                continue
            del self.words[incarnation]
            source = Source.REPLACED if replaced else Source.EXPIRED
            changes.append(
                LimitChange(
                    incarnation=incarnation,
                    per_s=None,
                    before=word.per_s,
                    age_s=age_s,
                    source=source,
                )
            )
        return changes

    def _apply(
        self,
        incarnation: Incarnation,
        per_s: float | None,
        *,
        stated_at: float,
        source: Source,
        now: float,
    ) -> LimitChange | None:
        word = self.words.get(incarnation)
        before = None if word is None else word.per_s
        if word is None:
            if len(self.words) >= MAX_KNOWN:
                del self.words[next(iter(self.words))]
            word = self.words[incarnation] = _Word(per_s=per_s, stated_at=stated_at)
        word.per_s, word.stated_at = per_s, stated_at
        if source is Source.ANSWER:
            word.heard_at = stated_at
            if per_s != before:
                word.repeat_at = now
        else:
            word.repeat_at = now + self._interval_s()
        if per_s == before:
            return None
        return LimitChange(
            incarnation=incarnation,
            per_s=per_s,
            before=before,
            age_s=now - stated_at,
            source=source,
        )

    def _interval_s(self) -> float:
        return REPEAT_S + self.rng.random() * REPEAT_JITTER_S
