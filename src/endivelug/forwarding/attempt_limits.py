"""Time limits of one attempt at an upstream, after which the request is sent elsewhere.

Load pattern: an upstream that hangs holds every request that was sent to it. A request
that may run again leaves it early enough to be answered by another upstream. A request
that may run only once waits until its deadline, because its response may still
arrive.
"""

from endivelug.forwarding.calls import Call

# Time limit of an attempt at a safe call, as a share of the time until the deadline,
# and the shortest such limit.
SAFE_ATTEMPT_SHARE = 0.45
SAFE_ATTEMPT_MIN_S = 0.25
# A resumable stream leaves an engine that has sent nothing at all for this long beyond
# the expected time to the first event.
ENGINE_SILENCE_MARGIN_S = 1.0
# Longest pause within a stream, as a multiple of the route's target pause, and the
# shortest such limit.
PAUSE_FACTOR = 2.5
PAUSE_MIN_S = 1.2
# Time before the caller's deadline at which attempts end, so that the response of the
# router still reaches the caller.
RESPONSE_MARGIN_S = 0.03
# Shortest time that a generation or a plain call needs once it is sent; a call stops
# waiting for an instance when less than this is left.
MIN_GENERATION_S = 0.4
MIN_PLAIN_S = 0.1
# Longest time for a connection attempt, also as a share of the time until the deadline.
CONNECT_TIMEOUT_S = 0.35
CONNECT_SHARE = 0.3


def connect_timeout_s(call: Call, *, now: float) -> float:
    """Return the time limit of a connection attempt."""
    return max(0.02, min(CONNECT_TIMEOUT_S, CONNECT_SHARE * (call.deadline - now)))


def first_byte_deadline(call: Call, *, expected_s: float, now: float) -> float:
    """Return the time until which to wait for the first byte of a response."""
    last = call.deadline - RESPONSE_MARGIN_S
    if not call.repeatable or call.runs >= call.route.max_attempts:
        return last
    remaining_s = call.deadline - now
    if call.route.streaming:
        # A silent engine is detected earlier; this limit covers a single stuck request.
        return min(last, now + max(2.0, 4 * expected_s, 0.5 * remaining_s))
    return min(last, now + max(SAFE_ATTEMPT_MIN_S, SAFE_ATTEMPT_SHARE * remaining_s))


def silence_timeout_s(call: Call, *, expected_s: float) -> float | None:
    """Return how long the whole engine may be silent before a stream leaves it.

    None means that the stream stays, because it may not run again.
    """
    if not (call.route.streaming and call.route.resumable):
        return None
    if call.runs >= call.route.max_attempts:
        return None
    return ENGINE_SILENCE_MARGIN_S + expected_s


def next_event_deadline(call: Call, *, now: float) -> float:
    """Return the time until which to wait for more of a response that has begun.

    Once the caller has a part of it, no other response can take its place.
    """
    last = call.deadline - (0.0 if call.streaming else RESPONSE_MARGIN_S)
    if not call.repeatable or call.runs >= call.route.max_attempts:
        return last
    pause_s = max(PAUSE_MIN_S, PAUSE_FACTOR * call.route.gap_target_s)
    return min(last, now + pause_s)
