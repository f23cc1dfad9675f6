"""What upstreams state about a limit, and which VM knows what of it."""

import random

import pytest

from endivelug.forwarding.instance_load import Work
from endivelug.forwarding.stated_limits.known_limits import (
    EXPIRE_S,
    NOTICE_S,
    REPEAT_JITTER_S,
    REPEAT_S,
    KnownLimits,
    Source,
)
from endivelug.forwarding.stated_limits.stated_limits import StatedLimits
from endivelug.forwarding.stated_limits.statement import (
    MAX_LIMIT_PER_S,
    MIN_LIMIT_PER_S,
    Limited,
    LimitNews,
    Unlimited,
    Unusable,
    news_of,
    notice_name,
    statement_of,
)
from endivelug.forwarding.upstream_connection import ResponseHead
from endivelug.platform.header_format import HeaderFormat
from forwarding_builders import LogRecorder, ManualClock, make_instance, make_view

E1 = ("e1", 1000)
ALWAYS = float("inf")


def statement(value=None, status=200, **headers):
    pairs = [("x-request-id", "q1"), ("x-response-seal", "s")]
    pairs += [(name.replace("_", "-"), text) for name, text in headers.items()]
    if value is not None:
        pairs.append(("server-limit", value))
    head = ResponseHead(status=status, reason="", headers=pairs)
    return statement_of(HeaderFormat().response_info(head, instance="e1"))


def make_known():
    return KnownLimits(rng=random.Random(1))


def hear(known, per_s, *, now, sent_at=ALWAYS):
    said = Unlimited() if per_s is None else Limited(per_s=per_s)
    return known.hear(E1, said, sent_at=sent_at, now=now)


def learn(known, per_s, *, age_s, now):
    news = LimitNews(name="e1", started_ms=1000, per_s=per_s)
    return known.learn(news, age_s=age_s, now=now)


# Guards against an exception, or a limit that stops all requests, from any value.
@pytest.mark.parametrize(
    ("value", "per_s"),
    [
        ("1.4", 1.4),
        (" 20 ", 20.0),
        ("0", MIN_LIMIT_PER_S),
        ("999999999999", MAX_LIMIT_PER_S),
        *[
            (value, None)
            for value in ("-1", "nan", "inf", "1e3", "", "٣", "9" * 4000, "1,4", "two")
        ],
    ],
)
def test_any_stated_value_gives_a_usable_limit_or_none(value, per_s):
    match statement(value):
        case Limited(per_s=stated):
            assert stated == per_s
        case Unusable(fault=fault):
            assert per_s is None
            assert len(fault) < 100


# Guards against limits, or ends of them, that another instance or a refusal states.
@pytest.mark.parametrize(
    ("expected", "status", "headers"),
    [
        ((Limited, Unlimited), 200, {}),
        ((Limited, Unlimited), 200, {"x_instance_id": "e1"}),
        ((Limited, type(None)), 503, {"x_not_executed": "1"}),
        ((type(None), type(None)), 421, {}),
        ((type(None), type(None)), 200, {"x_instance_id": "e2"}),
    ],
)
def test_only_answers_of_the_instance_itself_count(expected, status, headers):
    stated = (statement("2", status, **headers), statement(None, status, **headers))
    assert tuple(map(type, stated)) == expected


# Guards against notices that cannot be read by the VM that gets them.
@pytest.mark.parametrize("per_s", [None, 1.4, 0.05, 123456.0])
def test_notices_carry_what_was_stated(per_s):
    news = LimitNews(name="a/e1", started_ms=1000, per_s=per_s)
    assert news_of(notice_name(news)) == news
    for text in ("", "1.4", "1.4/", "1.4/x/e1", "-1/1/e1", "1e99/1/e1", "1" * 99):
        assert news_of(text) is None


# Guards against an old word that brings back a limit after a newer one has ended it,
# whichever of them arrives first.
@pytest.mark.parametrize("late_first", [True, False])
def test_the_newest_word_counts(late_first):
    known = make_known()
    words = [(1.4, 3.0), (None, 1.0)]
    for per_s, age_s in words if late_first else reversed(words):
        learn(known, per_s, age_s=age_s, now=100.0)
    assert known.limit_of(E1) is None
    assert learn(known, 2.0, age_s=0.5, now=100.0).source is Source.PEER
    assert known.limit_of(E1) == 2.0


# Guards against an answer that was written before a limit began, and ends it.
def test_an_answer_to_an_earlier_request_ends_no_limit():
    known = make_known()
    assert hear(known, 1.4, now=100.0).before is None
    assert hear(known, None, now=100.2, sent_at=99.9) is None
    assert known.limit_of(E1) == 1.4
    assert hear(known, None, now=100.3, sent_at=100.1).per_s is None
    assert hear(known, 1.4, now=100.4, sent_at=100.2) is None
    assert hear(known, 1.4, now=100.5, sent_at=100.4).per_s == 1.4


# Guards against VMs that pass on each other's words, so that an old one never ends, and
# against a VM that got the word long ago and tells it as new.
def test_only_what_a_vm_was_told_itself_is_announced_with_its_age():
    known = make_known()
    learn(known, 1.4, age_s=0.1, now=100.0)
    assert known.due_news(now=110.0) == []
    hear(known, 1.4, now=110.0)
    ((news, age_s),) = known.due_news(now=111.0)
    assert (news.per_s, age_s) == (1.4, 1.0)
    assert known.due_news(now=111.0 + REPEAT_S + REPEAT_JITTER_S) == []


# Guards against each VM that gets answers announcing the limit every time.
def test_a_word_of_another_vm_spares_the_own_announcement():
    known = make_known()
    hear(known, 1.4, now=100.0)
    assert len(known.due_news(now=100.0)) == 1
    hear(known, 1.4, now=101.5)
    learn(known, 1.4, age_s=0.0, now=101.6)
    hear(known, 1.4, now=102.0)
    assert known.due_news(now=101.6 + REPEAT_S - 0.1) == []
    assert len(known.due_news(now=101.6 + REPEAT_S + REPEAT_JITTER_S)) == 1


# Guards against a limit without any word that lasts for ever, and against one that
# outlives its upstream or ends because there is little traffic.
@pytest.mark.parametrize(
    ("registered", "after_s", "source"),
    [
        ({"e1": 1000}, EXPIRE_S - 1.0, None),
        ({"e1": 1000}, EXPIRE_S, Source.EXPIRED),
        ({"e1": 2000}, 1.0, Source.REPLACED),
        ({}, 1.0, Source.REPLACED),
    ],
)
def test_a_limit_ends_with_its_upstream_or_after_a_long_silence(
    registered, after_s, source
):
    known = make_known()
    hear(known, 1.4, now=100.0)
    changes = known.expire(registered, now=100.0 + after_s)
    assert [change.source for change in changes] == ([source] if source else [])
    assert (known.limit_of(E1) is None) == (source is not None)


# Guards against limits that begin, change or end without a line, against a line for
# each answer, and against state for upstreams that state nothing.
def test_changes_are_logged_once():
    clock, log = ManualClock(), LogRecorder()
    limits = StatedLimits(view=make_view(clock, log), clock=clock, rng=random.Random(1))
    sent = []
    limits.send_notice = lambda name, for_s: sent.append((name, for_s))
    instance = make_instance()
    work = Work(request="1", sent_at=clock.now + 2.2)
    limits.view.loads.add_work("e1", work)

    def answer(value):
        pairs = [("x-request-id", "q1"), ("x-response-seal", "s")]
        pairs += [("server-limit", value)] if value else []
        head = ResponseHead(status=200, reason="", headers=pairs)
        info = HeaderFormat().response_info(head, instance="e1")
        limits.record_head(instance, info, request="1")

    answer(None)
    assert not limits.known.words
    for value in ("1.4", "1.4", "x", "x", "2", "3", None, None):
        answer(value)
        clock.now += 0.4
    events = [
        (event, fields.get("limit"), fields.get("source"))
        for event, fields in log.lines
        if event.startswith("limit-")
    ]
    assert events == [
        ("limit-stated", 1.4, "answer"),
        ("limit-unusable", None, None),
        ("limit-stated", 2.0, "answer"),
        ("limit-ended", 3.0, "answer"),
    ]
    assert sent[0] == ("1.4/1000/e1", NOTICE_S)
    assert limits.count() == 0
    limits.apply_notice("5/1000/e1", NOTICE_S - 0.5)
    assert log.lines[-1][1]["source"] == "peer"
    assert log.lines[-1][1]["age_s"] == pytest.approx(0.5)
