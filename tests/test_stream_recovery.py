"""Streams that may not run twice and whose engine is lost in the middle."""

import pytest

from forwarding_builders import configuration_document
from test_forwarding_path import PROMPT, metrics_port, play, until

__all__ = ["metrics_port"]

EVENTS = 4


def short_streams():
    """Return a configuration whose streams may not run twice."""
    document = configuration_document()
    for route in document["routes"]:
        if route["kind"] == "streaming":
            route.update(resumable=False, maxAttempts=1, priority=0)
    return document


async def stream(exchange, first, last):
    await exchange.start_stream()
    for number in range(first, last + 1):
        await exchange.event(number)


def crash_after(upstream, events):
    """Return a script whose engine crashes after some events."""

    async def script(exchange):
        if "kv-from" in exchange.headers:
            await go_on(exchange)
            return
        await stream(exchange, 1, events)
        await exchange.send(b"10\r\nid: 9\ndata: ha")
        upstream.crash()
        exchange.close()

    return script


async def go_on(exchange):
    first = int(exchange.headers["last-event-id"]) + 1
    await stream(exchange, first, EVENTS)
    await exchange.end_stream()


# Guards against short streams that are lost with their engine, where another one holds
# a copy of the run (load: engines crash while they run many short streams).
def test_a_stream_goes_on_from_the_copy_of_its_run_when_the_engine_is_gone():
    async def use(system):
        for engine in system.engines:
            engine.script = crash_after(engine, 2)
        answer = await system.ask(headers=PROMPT)
        assert answer.complete
        expected = "".join(f"id: {n}\ndata: piece{n}\n\n" for n in range(1, EVENTS + 1))
        assert answer.body.decode() == expected
        first, second = sorted(
            system.runs(), key=lambda exchange: "kv-from" in exchange.headers
        )
        holder = next(e for e in system.engines if second in e.exchanges)
        assert first.headers["x-kv-backup"] == holder.address
        assert second.headers["kv-from"] == f"{holder.address}/q1"
        assert second.headers["last-event-id"] == "2"
        assert second.headers["x-expect-version"] == first.headers["x-expect-version"]

    play(use, engines=2, configuration=short_streams())


# Guards against a request that runs at two engines: one that only lost the connection
# may still work on it.
def test_a_stream_does_not_go_on_while_its_engine_may_still_run_it():
    async def use(system):
        async def reset(exchange):
            await stream(exchange, 1, 2)
            exchange.close()

        for engine in system.engines:
            engine.script = reset
        answer = await system.ask(headers=PROMPT)
        assert not answer.complete
        assert len(system.runs()) == 1

    play(use, engines=2, configuration=short_streams())


# Guards against a second run from the beginning where the copy is not there.
@pytest.mark.parametrize("status", [503])
def test_a_stream_without_a_copy_is_visibly_broken(status):
    async def use(system):
        def script_of(engine):
            crash = crash_after(engine, 2)

            async def script(exchange):
                if "kv-from" in exchange.headers:
                    await exchange.answer(b"", status=status, X_Not_Executed="1")
                else:
                    await crash(exchange)

            return script

        for engine in system.engines:
            engine.script = script_of(engine)
        answer = await system.ask(headers=PROMPT)
        assert answer.status == 200 and not answer.complete
        await until(lambda: len(system.runs()) == 2)

    play(use, engines=2, configuration=short_streams())


# Guards against copies of long prompts, which cost more than the few lost runs.
def test_a_resumable_stream_gets_no_copy():
    async def use(system):
        async def whole(exchange):
            await stream(exchange, 1, 1)
            await exchange.end_stream()

        for engine in system.engines:
            engine.script = whole
        await system.ask(headers=PROMPT)
        assert "x-kv-backup" not in system.runs()[0].headers

    play(use, engines=2)
