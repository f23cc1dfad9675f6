"""Streams that may run only once and whose engine fails in the middle."""

import asyncio

import pytest
import uvloop

from forwarding_builders import configuration_document
from router_process import PROMPT, metrics_port, run_scenario, wait_until

__all__ = ["metrics_port"]

EVENTS = 4


def unrepeatable_streams():
    """Return a configuration whose streams may run only once."""
    document = configuration_document()
    for route in document["routes"]:
        if route["kind"] == "streaming":
            route.update(resumable=False, maxAttempts=1, priority=0)
    return document


async def send_events(exchange, first, last):
    await exchange.start_stream()
    for number in range(first, last + 1):
        await exchange.send_event(number)


def crash_after(upstream, events):
    """Return a script that crashes its engine after some events."""

    async def script(exchange):
        if "kv-from" in exchange.headers:
            await resume_from_copy(exchange)
            return
        await send_events(exchange, 1, events)
        await exchange.send(b"10\r\nid: 9\ndata: ha")
        upstream.crash()
        exchange.reset()

    return script


async def resume_from_copy(exchange):
    first = int(exchange.headers["last-event-id"]) + 1
    await send_events(exchange, first, EVENTS)
    await exchange.end_stream()


# Guards against losing short streams with their engine although another engine has a
# copy of the run (load: engines crash while they run many short streams).
@pytest.mark.parametrize("new_loop", [asyncio.new_event_loop, uvloop.new_event_loop])
def test_a_stream_continues_from_the_copy_of_its_run_after_a_crash(new_loop):
    async def scenario(system):
        for engine in system.engines:
            engine.script = crash_after(engine, 2)
        response = await system.request(headers=PROMPT)
        assert response.complete
        expected = "".join(f"id: {n}\ndata: piece{n}\n\n" for n in range(1, EVENTS + 1))
        assert response.body.decode() == expected
        first, second = sorted(
            system.attempts(), key=lambda exchange: "kv-from" in exchange.headers
        )
        copy_engine = next(e for e in system.engines if second in e.exchanges)
        assert first.headers["x-kv-backup"] == copy_engine.address
        assert second.headers["kv-from"] == f"{copy_engine.address}/q1"
        assert second.headers["last-event-id"] == "2"
        assert second.headers["x-expect-version"] == first.headers["x-expect-version"]

    run_scenario(
        scenario, engines=2, configuration=unrepeatable_streams(), new_loop=new_loop
    )


# Guards against avoiding an engine that is only quiet for a moment: it accepts
# connections, so it is not reported to the other VMs.
def test_a_quiet_engine_that_accepts_connections_is_not_silent_yet():
    async def scenario(system):
        async def pause(exchange):
            await send_events(exchange, 1, 1)
            await asyncio.sleep(0.55)
            await exchange.send_event(2)
            await exchange.end_stream()

        system.engines[0].script = pause
        watch = asyncio.create_task(system.node.silence_watch.run())
        response = await system.request(headers=PROMPT)
        watch.cancel()
        assert response.complete
        assert "instance-silent" not in system.log.events()
        assert system.engines[0].connections == 2

    run_scenario(scenario, configuration=unrepeatable_streams())


# Guards against a request that runs at two engines at once: an engine that has only
# lost the connection may still be running it.
def test_a_stream_does_not_continue_while_its_engine_may_still_run_it():
    async def scenario(system):
        async def lose_connection(exchange):
            await send_events(exchange, 1, 2)
            exchange.reset()

        for engine in system.engines:
            engine.script = lose_connection
        response = await system.request(headers=PROMPT)
        assert not response.complete
        assert len(system.attempts()) == 1

    run_scenario(scenario, engines=2, configuration=unrepeatable_streams())


# Guards against a second run from the beginning if the copy does not exist.
@pytest.mark.parametrize("status", [503])
def test_a_stream_without_a_copy_is_visibly_truncated(status):
    async def scenario(system):
        def make_script(engine):
            crash_script = crash_after(engine, 2)

            async def script(exchange):
                if "kv-from" in exchange.headers:
                    await exchange.respond(b"", status=status, X_Not_Executed="1")
                else:
                    await crash_script(exchange)

            return script

        for engine in system.engines:
            engine.script = make_script(engine)
        response = await system.request(headers=PROMPT)
        assert response.status == 200 and not response.complete
        await wait_until(lambda: len(system.attempts()) == 2)

    run_scenario(scenario, engines=2, configuration=unrepeatable_streams())


# Guards against copying the runs of long prompts, which costs more than the few runs
# that are lost.
def test_a_resumable_stream_gets_no_copy():
    async def scenario(system):
        async def whole(exchange):
            await send_events(exchange, 1, 1)
            await exchange.end_stream()

        for engine in system.engines:
            engine.script = whole
        await system.request(headers=PROMPT)
        assert "x-kv-backup" not in system.attempts()[0].headers

    run_scenario(scenario, engines=2)
