"""Streams that may run once and go on elsewhere while their engine runs them."""

import asyncio
import contextlib

from endivelug.forwarding.attempt import SILENCE_CHECK_INTERVAL_S
from forwarding_builders import registration_document
from router_process import PROMPT, metrics_port, run_scenario, wait_until
from test_stream_recovery import resume_from_copy, send_events, unrepeatable_streams
from unanswered_connections import FullListener

__all__ = ["metrics_port"]


def break_connections(system, before_reset):
    """Make each engine reset the connection of its run, which it goes on with."""

    def make_script(engine):
        async def script(exchange):
            if "kv-from" in exchange.headers:
                await resume_from_copy(exchange)
                return
            await send_events(exchange, 1, 2)
            await before_reset(engine)
            exchange.reset()

        return script

    for engine in system.engines:
        engine.script = make_script(engine)


def has_started(load):
    return any(work.started for work in load.work.values())


# Guards against a stream that goes on elsewhere because one packet was lost: the first
# packet of a connection is sent again after a second only. The engine still runs it.
def test_one_unanswered_connection_attempt_does_not_show_that_an_engine_has_ended():
    async def scenario(system):
        listeners = []

        async def before_reset(engine):
            listeners.append(FullListener(engine))

        break_connections(system, before_reset)
        with contextlib.ExitStack() as stack:
            response = asyncio.create_task(system.request(headers=PROMPT))
            while not listeners:
                await asyncio.sleep(0.01)
            stack.callback(listeners[0].close)
            await listeners[0].wait_for_attempt()
            listeners[0].accept_again()
            assert not (await response).complete
        assert len(system.attempts()) == 1

    run_scenario(scenario, engines=2, configuration=unrepeatable_streams())


# Guards against a stream that leaves an engine which stops: it refuses connections, is
# quiet for a while, and finishes its runs.
def test_a_stream_stays_at_a_quiet_engine_that_refuses_connections():
    async def scenario(system):
        def make_script(engine):
            async def script(exchange):
                if "kv-from" in exchange.headers:
                    await resume_from_copy(exchange)
                    return
                await send_events(exchange, 1, 2)
                engine.crash()
                await wait_until(lambda: "instance-silent" in system.log.events())
                # A stream looks in this interval whether to leave its engine.
                await asyncio.sleep(2 * SILENCE_CHECK_INTERVAL_S)
                await exchange.send_event(3)
                await exchange.end_stream()

            return script

        for engine in system.engines:
            engine.script = make_script(engine)
        watch = asyncio.create_task(system.node.silence_watch.run())
        response = await system.request(headers={**PROMPT, "X-Deadline-Ms": "9000"})
        watch.cancel()
        assert response.complete
        assert len(system.attempts()) == 1

    run_scenario(scenario, engines=2, configuration=unrepeatable_streams())


# Guards against a stream that goes on elsewhere because its engine, which stops and
# refuses connections, has lost the connection of a run that it finishes.
def test_an_engine_that_stops_has_not_ended():
    async def scenario(system):
        async def stop(engine):
            name = f"i{system.engines.index(engine)}"
            document = registration_document(address=engine.address, state="draining")
            system.store.put("servers", name, document)
            registry = system.node.view.registry
            await wait_until(lambda: registry.get(name).draining)
            engine.crash()

        break_connections(system, stop)
        response = await system.request(headers=PROMPT)
        assert not response.complete
        assert len(system.attempts()) == 1

    run_scenario(scenario, engines=2, configuration=unrepeatable_streams())


# Guards against the same where nothing else tells that the engine stops: it resets one
# connection and keeps the others open.
def test_an_engine_that_keeps_other_connections_open_has_not_ended():
    async def scenario(system):
        async def stop_listening(engine):
            engine.crash()

        break_connections(system, stop_listening)
        kept = [
            await system.node.pool.open(engine.address, timeout_s=1.0)
            for engine in system.engines
        ]
        response = await system.request(headers=PROMPT)
        assert not response.complete
        assert len(system.attempts()) == 1
        assert not any(connection.closed for connection in kept)
        (checked,) = [f for event, f in system.log.lines if event == "run-checked"]
        assert (checked["closed_by_engine"], checked["ended"]) == (True, False)

    run_scenario(scenario, engines=2, configuration=unrepeatable_streams())


# Guards against the same where the entry of the engine was removed just after the
# registry was back: some engines stop without any other sign.
def test_an_engine_whose_entry_was_removed_provisionally_has_not_ended():
    async def scenario(system):
        registry = system.node.view.registry

        async def stop(engine):
            name = f"i{system.engines.index(engine)}"
            registry.record_registry_lost()
            system.store.remove("servers", name)
            await wait_until(lambda: not registry.entries[name].registered)
            engine.crash()

        break_connections(system, stop)
        response = await system.request(headers=PROMPT)
        assert not response.complete
        assert len(system.attempts()) == 1

    run_scenario(scenario, engines=2, configuration=unrepeatable_streams())


# Guards against the same where the router left the connection itself, because what came
# on it is not valid.
def test_an_engine_that_sent_an_invalid_answer_has_not_ended():
    async def scenario(system):
        def make_script(engine):
            async def script(exchange):
                if "kv-from" in exchange.headers:
                    await resume_from_copy(exchange)
                    return
                await send_events(exchange, 1, 2)
                loads = system.node.view.loads.loads.values()
                await wait_until(lambda: any(has_started(load) for load in loads))
                engine.crash()
                await exchange.send(b"not the length of a chunk\r\n")
                await asyncio.sleep(30)

            return script

        for engine in system.engines:
            engine.script = make_script(engine)
        response = await system.request(headers=PROMPT)
        assert (response.status, response.complete) == (200, False)
        assert len(system.attempts()) == 1

    run_scenario(scenario, engines=2, configuration=unrepeatable_streams())


# Guards against a stream that is lost with an engine that this VM does not reach any
# more, and that has closed nothing.
def test_a_stream_goes_on_elsewhere_if_its_engine_is_cut_off():
    async def scenario(system):
        with contextlib.ExitStack() as stack:

            def make_script(engine):
                async def script(exchange):
                    if "kv-from" in exchange.headers:
                        await resume_from_copy(exchange)
                        return
                    await send_events(exchange, 1, 2)
                    stack.callback(FullListener(engine).close)
                    await asyncio.sleep(30)

                return script

            for engine in system.engines:
                engine.script = make_script(engine)
            watch = asyncio.create_task(system.node.silence_watch.run())
            headers = {**PROMPT, "X-Deadline-Ms": "9000"}
            response = await system.request(headers=headers)
            watch.cancel()
        assert response.complete
        assert "instance-silent" in system.log.events()

    run_scenario(scenario, engines=2, configuration=unrepeatable_streams())
