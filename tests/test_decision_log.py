import json
import os
import time

import eliot

from endivelug.forwarding.decision_log import BURST_LINES, DecisionLog
from forwarding_builders import ManualClock


def read_lines(descriptor):
    os.set_blocking(descriptor, False)
    try:
        data = os.read(descriptor, 1 << 20)
    except BlockingIOError:
        return []
    return [json.loads(line) for line in data.splitlines()]


def make_log(clock):
    # The first destination that is added to eliot gets the buffered messages of earlier
    # tests, so a temporary one is added to discard them.
    sink = [].append
    eliot.add_destinations(sink)
    eliot.remove_destination(sink)
    reading, writing = os.pipe()
    log = DecisionLog(descriptor=writing, clock=clock)
    eliot.add_destinations(log._write)
    return log, reading


# Guards against log lines that an operator cannot find by event or request id.
def test_a_line_has_its_event_and_fields():
    log, reading = make_log(ManualClock())
    try:
        log("sent", request="q1", instance="e1", weights=None)
        log.flush()
        (line,) = read_lines(reading)
        assert (line["message_type"], line["request"]) == ("sent", "q1")
        assert "weights" not in line
    finally:
        eliot.remove_destination(log._write)


# Guards against an unlimited number of lines at peak load, and against dropping lines
# without reporting it.
def test_the_rate_of_lines_is_limited_and_dropped_lines_are_reported():
    clock = ManualClock()
    log, reading = make_log(clock)
    try:
        for number in range(int(BURST_LINES) + 100):
            log("sent", request=str(number))
        assert log.dropped == 100
        clock.now += 1.0
        log("sent", request="next")
        log.flush()
        lines = read_lines(reading)
        reports = [
            line for line in lines if line["message_type"] == "log-lines-dropped"
        ]
        assert reports[0]["count"] == 100
    finally:
        eliot.remove_destination(log._write)


# Guards against a process that blocks because nobody reads its output.
def test_a_full_output_does_not_block():
    clock = ManualClock()
    log, _ = make_log(clock)
    try:
        start = time.monotonic()
        for number in range(20_000):
            clock.now += 0.01
            log("sent", request=str(number), text="x" * 100)
            log.flush()
        assert time.monotonic() - start < 10.0
        assert log.dropped_total > 0
    finally:
        eliot.remove_destination(log._write)
