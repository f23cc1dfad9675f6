"""Answers that are nested too deeply, to the programs with the product's interface."""

import asyncio

import pytest

from endivelug._sse import SseParser
from endivelug.exceptions import TableUnavailable, UpstreamBroken
from endivelug.table import Table
from endivelug.vm_list import VmListClient, VmListUnavailable
from platform_standins import running_upstream

NESTED = b"[" * 60_000


def run_with_nested_answers(scenario):
    async def run():
        async with running_upstream() as upstream, asyncio.timeout(10):
            upstream.script = lambda exchange: exchange.respond(NESTED)
            await scenario(f"http://{upstream.address}")

    asyncio.run(run())


# Guards against an agent that stops following the list of VMs after one such answer.
def test_a_nested_list_of_vms_is_an_outage_of_it():
    async def scenario(url):
        with pytest.raises(VmListUnavailable):
            await VmListClient(url=url).fetch()

    run_with_nested_answers(scenario)


# Guards against a read of the table that ends in an unforeseen error.
def test_a_nested_answer_of_the_table_is_an_outage_of_it():
    async def scenario(url):
        with pytest.raises(TableUnavailable):
            await Table(url=url).get("key")

    run_with_nested_answers(scenario)


# Guards against a caller without an answer after one such event of an engine.
def test_a_nested_event_breaks_the_stream():
    parser = SseParser(expected_number=0, stream_id="s")
    with pytest.raises(UpstreamBroken):
        list(parser.feed(b"id: 0\ndata: " + NESTED + b"\n\n"))
