"""Upstreams and callers that send tiny parts, up to without end."""

import asyncio
import time

import pytest

from endivelug.exceptions import UpstreamBroken
from endivelug.forwarding.event_stream import EventSplitter
from endivelug.forwarding.response_parser import (
    MAX_OTHER_RESPONSES,
    STEP_PARTS,
    BodyData,
    BodyEnd,
)
from endivelug.forwarding.upstream_connection import RequestHead, UpstreamConnection
from endless_upstreams import (
    CHUNKS_WITHOUT_END,
    EMPTY_EVENTS,
    INTERIM_ANSWER,
    NO_HTTP,
    ONE_BYTE_CHUNK,
    OTHER_ANSWER,
    STREAM_WITHOUT_END,
    EndlessForOne,
    EndlessUpstream,
)
from router_process import PROMPT, metrics_port, run_scenario

__all__ = ["metrics_port"]


class RecordingTransport(asyncio.Transport):
    """Transport that sends nothing and remembers whether reading is paused."""

    def __init__(self):
        super().__init__()
        self.paused = False
        self.aborted = False

    def write(self, data):
        pass

    def pause_reading(self):
        self.paused = True

    def resume_reading(self):
        self.paused = False

    def is_closing(self):
        return self.aborted

    def abort(self):
        self.aborted = True

    def get_write_buffer_size(self):
        return 0


def make_connection():
    """Return a connection that waits for the response to q1, and its transport."""
    transport = RecordingTransport()
    connection = UpstreamConnection(clock=time.monotonic)
    connection.connection_made(transport)
    connection.send(
        RequestHead(method="GET", target="/", headers=[("Host", "h")]),
        b"",
        accepts=lambda head: head.get("x-request-id") == "q1",
    )
    return connection, transport


# Guards against parsing all that one read brings in a single turn of the event loop,
# which stops a router for seconds.
def test_tiny_chunks_of_one_read_are_parsed_in_many_turns():
    chunks = 4000

    async def run():
        connection, transport = make_connection()
        head = CHUNKS_WITHOUT_END.replace(b"ID", b"q1")
        connection.data_received(head + ONE_BYTE_CHUNK * chunks + b"0\r\n\r\n")
        assert transport.paused
        body = bytearray()
        turns = 0
        while True:
            reading = asyncio.ensure_future(connection.next_event())
            while not reading.done():
                await asyncio.sleep(0)
                turns += 1
            match reading.result():
                case BodyData(data=data):
                    assert len(data) <= STEP_PARTS
                    body += data
                case BodyEnd():
                    break
        assert len(body) == chunks
        assert turns > chunks / STEP_PARTS
        assert not transport.paused

    asyncio.run(run())


# Guards against interim answers and answers to other requests without end, which cost
# processor time and can't be followed by the own answer.
@pytest.mark.parametrize("other", [INTERIM_ANSWER, OTHER_ANSWER])
def test_other_answers_without_end_end_the_attempt(other):
    async def run():
        connection, _ = make_connection()
        connection.data_received(other * 10 * MAX_OTHER_RESPONSES)
        with pytest.raises(UpstreamBroken, match="too many answers"):
            async with asyncio.timeout(5):
                await connection.next_event()

    asyncio.run(run())


# Guards against rejecting the own answer because some others come before it.
def test_the_own_answer_follows_some_other_ones():
    async def run():
        connection, _ = make_connection()
        own = OTHER_ANSWER.replace(b"other", b"q1")
        connection.data_received((OTHER_ANSWER + INTERIM_ANSWER) * 30 + own)
        async with asyncio.timeout(5):
            head = await connection.next_event()
        assert head.get("x-request-id") == "q1"
        assert connection.reusable

    asyncio.run(run())


# Guards against work after the end of an attempt on what is still unparsed.
def test_an_aborted_connection_parses_nothing_more():
    async def run():
        connection, _ = make_connection()
        head = CHUNKS_WITHOUT_END.replace(b"ID", b"q1")
        connection.data_received(head + ONE_BYTE_CHUNK * 40000)
        connection.abort()
        connection.connection_lost(None)
        await asyncio.sleep(0.05)
        received = 0
        with pytest.raises(UpstreamBroken):
            while True:
                event = await connection.next_event()
                received += len(event.data) if isinstance(event, BodyData) else 0
        assert received <= STEP_PARTS

    asyncio.run(run())


# Guards against answers without end in tiny parts of one upstream that keep requests
# to sound upstreams waiting beyond their time limit.
@pytest.mark.parametrize(
    ("target", "start", "block"),
    [
        ("/look/it", CHUNKS_WITHOUT_END, ONE_BYTE_CHUNK * 10000),
        ("/look/it", NO_HTTP[:0], INTERIM_ANSWER * 2000),
        ("/look/it", NO_HTTP[:0], OTHER_ANSWER * 1000),
        ("/a/x", STREAM_WITHOUT_END, ONE_BYTE_CHUNK * 10000),
        ("/a/x", STREAM_WITHOUT_END, EMPTY_EVENTS * 16),
    ],
)
def test_answers_without_end_leave_turns_to_other_requests(target, start, block):
    async def scenario(system):
        for upstream in (system.engines[0], system.desks[0]):
            upstream.script = EndlessForOne("q1", EndlessUpstream(start, block))
        headers = {"X-Deadline-Ms": "1000"}
        if target == "/a/x":
            headers |= PROMPT
        endless = [
            asyncio.ensure_future(
                system.request(target, headers=headers, disconnect_after_s=1.5)
            )
            for _ in range(4)
        ]
        for number in range(20):
            sound = {"X-Request-Id": f"s{number}", "X-Deadline-Ms": "1000"}
            started = time.monotonic()
            response = await system.request("/look/it", headers=sound)
            assert response.status == 200
            assert time.monotonic() - started < 1.5
            await asyncio.sleep(0.05)
        await asyncio.gather(*endless)

    run_scenario(scenario)


# Guards against searching what was received of a stream from its start for each event.
def test_tiny_events_are_split_in_time_that_grows_with_their_number():
    splitter = EventSplitter()
    started = time.monotonic()
    assert len(splitter.feed(b"\n\n" * 200_000)) == 200_000
    for _ in range(10_000):
        splitter.feed(b"x" * 64)
    assert time.monotonic() - started < 5.0


# Guards against missing the end of an event that arrives in pieces.
@pytest.mark.parametrize("end", [b"\n\n", b"\r\n\r\n"])
def test_an_end_of_an_event_that_arrives_in_pieces_is_found(end):
    splitter = EventSplitter()
    events = [b"id: 7\ndata: a" + end, b"id: 8\ndata: b" + end]
    found = [splitter.feed(bytes([byte])) for byte in b"".join(events)]
    assert [item for item in found if item] == [[event] for event in events]
    assert splitter.last_id == "8"
    assert not splitter.partial


async def begin_chunked_request(system):
    """Send the head of a request with a body in chunks; return its connection."""
    host, port = system.node.settings.front.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        b"POST /look/it HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: q1\r\n"
        b"X-Credential: k1\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    return reader, writer


# Guards against reading a body of tiny chunks in one turn of the event loop: one caller
# that sends such a body keeps all others waiting.
def test_a_body_in_tiny_chunks_leaves_turns_to_other_requests():
    async def scenario(system):
        _, writer = await begin_chunked_request(system)
        writer.write(ONE_BYTE_CHUNK * 200_000)
        for number in range(10):
            sound = {"X-Request-Id": f"s{number}", "X-Deadline-Ms": "1000"}
            started = time.monotonic()
            response = await system.request("/look/it", headers=sound)
            assert response.status == 200
            assert time.monotonic() - started < 1.5
            await asyncio.sleep(0.05)
        writer.transport.abort()

    run_scenario(scenario)


# Guards against losing a part of a body that arrives in many chunks.
def test_a_body_in_many_chunks_is_passed_on_whole():
    async def scenario(system):
        reader, writer = await begin_chunked_request(system)
        writer.write(ONE_BYTE_CHUNK * 1000 + b"0\r\n\r\n")
        assert b" 200 " in await reader.readline()
        writer.close()
        (attempt,) = system.attempts()
        assert attempt.body == b"x" * 1000

    run_scenario(scenario)
