"""Upstreams that answer many requests at once without end, against a real process."""

import asyncio

import pytest

from endless_upstreams import (
    BLOCK,
    BODY_WITHOUT_END,
    CHUNKS_WITHOUT_END,
    ENDLESS_EVENTS,
    ERROR_WITHOUT_END,
    HEADERS_WITHOUT_END,
    LONG_ANSWER,
    NO_HTTP,
    STREAM_WITHOUT_END,
    EndlessUpstream,
    FaultyFor,
)
from misbehaving_clients import Callers, running_process
from platform_standins import response_bytes
from router_process import PROMPT

MEMORY_MB = 150
CALLERS = 60
CHUNK = b"10000\r\n" + BLOCK + b"\r\n"


# Guards against a process that runs out of memory, with the requests of all its
# clients, because it keeps what a faulty upstream sends to many requests at once, or
# what many callers do not read.
@pytest.mark.parametrize(
    ("script", "target", "reads"),
    [
        (EndlessUpstream(BODY_WITHOUT_END), "/look/it", True),
        (EndlessUpstream(ERROR_WITHOUT_END), "/look/it", True),
        (EndlessUpstream(CHUNKS_WITHOUT_END, CHUNK), "/look/it", True),
        (EndlessUpstream(HEADERS_WITHOUT_END, b"A: b\r\n" * 1000), "/look/it", True),
        (EndlessUpstream(NO_HTTP), "/look/it", True),
        (EndlessUpstream(response_bytes("ID")), "/look/it", True),
        (EndlessUpstream(STREAM_WITHOUT_END, CHUNK), "/a/x", True),
        (EndlessUpstream(STREAM_WITHOUT_END, ENDLESS_EVENTS), "/a/x", False),
        (LONG_ANSWER, "/look/it", False),
    ],
    ids=[
        "body",
        "error-body",
        "chunks",
        "head",
        "no-http",
        "after-the-answer",
        "event",
        "unread-events",
        "unread-answers",
    ],
)
def test_many_answers_at_once_leave_room_for_other_requests(
    tmp_path, script, target, reads
):
    async def scenario():
        async with running_process(tmp_path, memory_mb=MEMORY_MB) as running:
            running.desk.script = running.engine.script = FaultyFor("many", script)
            callers = Callers(running, target=target, headers=PROMPT, reads=reads)
            try:
                await callers.send("many", CALLERS)
                await running.check_bounds(memory_mb=MEMORY_MB)
            finally:
                await callers.close()

    asyncio.run(scenario())
