import asyncio

import pytest

from endivelug.drain import Drain, DrainStep, run_drain


# Guards against a shutdown that refuses requests while the load balancer still sends
# them, or that ends while requests are in flight.
@pytest.mark.parametrize(
    ("in_flight", "steps", "aborted"),
    [
        ([0, 0, 0, 0], ["notice", "finishing", "ended", "ended"], 0),
        ([2, 2, 1, 0], ["notice", "finishing", "finishing", "ended"], 0),
        ([2, 2, 2, 2], ["notice", "finishing", "finishing", "ended"], 2),
    ],
)
def test_steps(in_flight, steps, aborted):
    drain = Drain(notice_s=1.0, limit_s=2.0)
    assert drain.ready
    assert drain.accepting
    drain.begin(now=0.0)
    for second, (count, step) in enumerate(zip(in_flight, steps, strict=True)):
        drain.begin(now=float(second))
        assert drain.advance(now=float(second), in_flight=count).value == step
        assert not drain.ready
        assert drain.accepting == (step == "notice")
    assert drain.aborted == aborted


def test_drain_stops_accepting_once_and_hands_over_last():
    async def run():
        calls, remaining = [], [3]

        def in_flight():
            if drain.step is DrainStep.FINISHING:
                remaining[0] = max(0, remaining[0] - 1)
            return remaining[0]

        async def hand_over():
            calls.append(("hand over", remaining[0]))

        drain = Drain(notice_s=0.05, limit_s=5.0)
        loop = asyncio.get_running_loop()
        graceful = await run_drain(
            drain,
            clock=loop.time,
            in_flight=in_flight,
            stop_accepting=lambda: calls.append("stop"),
            hand_over=hand_over,
        )
        assert graceful
        assert calls == ["stop", ("hand over", 0)]

    asyncio.run(run())
