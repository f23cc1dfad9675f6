"""How long one attempt at an upstream may take before the request goes elsewhere.

Load pattern: an upstream that went silent keeps every request that was sent to it. A
request that may run again leaves it early enough to be answered by another upstream; a
request that may run only once waits until its deadline, because its answer may come.
"""

from endivelug.forwarding.calls import Call

# A safe call is given up after this part of the time that is left.
SAFE_SHARE = 0.45
SAFE_MIN_S = 0.25
# A stream that may be resumed leaves an engine from which nothing came for this long
# beyond the expected wait.
SILENT_ENGINE_S = 1.0
# Longest pause within a stream, in target pauses.
PAUSE_FACTOR = 2.5
PAUSE_MIN_S = 1.2
# Time for the last answer to reach the caller.
ANSWER_MARGIN_S = 0.03
CONNECT_S = 0.35
CONNECT_SHARE = 0.3


def connect_limit_s(call: Call, *, now: float) -> float:
    """Return how long a connection attempt may take."""
    return max(0.02, min(CONNECT_S, CONNECT_SHARE * (call.deadline - now)))


def first_byte_at(call: Call, *, expected_s: float, now: float) -> float:
    """Return until when to wait for the first byte of an answer."""
    last = call.deadline - ANSWER_MARGIN_S
    if not call.repeatable or call.runs >= call.route.max_attempts:
        return last
    left_s = call.deadline - now
    if call.route.streaming:
        # The engine's silence decides earlier; this bounds a stuck request.
        return min(last, now + max(2.0, 4 * expected_s, 0.5 * left_s))
    return min(last, now + max(SAFE_MIN_S, SAFE_SHARE * left_s))


def silence_limit_s(call: Call, *, expected_s: float) -> float | None:
    """Return after which silence of the whole engine a stream leaves it, or None."""
    if not (call.route.streaming and call.route.resumable):
        return None
    if call.runs >= call.route.max_attempts:
        return None
    return SILENT_ENGINE_S + expected_s


def next_event_at(call: Call, *, now: float) -> float:
    """Return until when to wait for the next part of an answer that has begun."""
    last = call.deadline - ANSWER_MARGIN_S
    if not call.repeatable or call.runs >= call.route.max_attempts:
        return last
    pause_s = max(PAUSE_MIN_S, PAUSE_FACTOR * call.route.gap_target_s)
    return min(last, now + pause_s)
