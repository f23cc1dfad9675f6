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
    # eliot keeps messages of earlier tests for the first destination that is added.
    sink = [].append
    eliot.add_destinations(sink)
    eliot.remove_destination(sink)
    reading, writing = os.pipe()
    log = DecisionLog(descriptor=writing, clock=clock)
    eliot.add_destinations(log._write)
    return log, reading


# Guards against log lines that an operator cannot search by request.
def test_a_line_has_its_kind_and_fields():
    log, reading = make_log(ManualClock())
    try:
        log("sent", request="q1", instance="e1", weights=None)
        log.flush()
        (line,) = read_lines(reading)
        assert (line["message_type"], line["request"]) == ("sent", "q1")
        assert "weights" not in line
    finally:
        eliot.remove_destination(log._write)


# Guards against a flood of lines at the worst load, and lines that vanish unseen.
def test_lines_are_bounded_and_the_dropped_ones_are_told():
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
        told = [line for line in lines if line["message_type"] == "log-lines-dropped"]
        assert told[0]["count"] == 100
    finally:
        eliot.remove_destination(log._write)


# Guards against a process that stops because nobody reads its output.
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
