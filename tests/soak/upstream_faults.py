"""Faults of upstreams and of the paths to them."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable

from .answering import Answering
from .disturbances import path_to
from .fault_log import FaultLog
from .proxy import Mode, Proxy
from .upstreams import ABSENT_S, DRAIN_S, SoakUpstream
from .world import Environment

# Share of the resets of connections beside which connects are lost.
LOST_CONNECT_SHARE = 0.4
MODES = [mode for mode in Mode if mode is not Mode.PASS]
RETRIED_ANSWERINGS = (
    Answering(refused_share=1.0),
    Answering(refused_share=0.4),
    Answering(broken_share=1.0),
    Answering(broken_share=0.4),
)
ANSWERINGS = (
    *RETRIED_ANSWERINGS,
    Answering(failed_share=0.5),
    Answering(copied_share=0.7, refused_share=0.3, nameless_share=0.5),
)


async def disturb(proxy: Proxy, mode: Mode, seconds: float, rng: random.Random) -> None:
    """Set the mode of a proxy for some seconds, and sometimes reset it at their end."""
    proxy.set_mode(mode)
    if mode is Mode.REFUSE:
        proxy.reset()
    await asyncio.sleep(seconds)
    proxy.set_mode(Mode.PASS)
    if rng.random() < 0.5:
        proxy.reset()


class UpstreamFaults:
    """Faults of upstreams.

    Parameters
    ----------
    undisturbed : callable
        Returns whether all routers follow an undisturbed store.
    """

    def __init__(
        self,
        *,
        environment: Environment,
        rng: random.Random,
        log: FaultLog,
        undisturbed: Callable[[], bool],
    ) -> None:
        self.environment = environment
        self.rng = rng
        self.log = log
        self.undisturbed = undisturbed
        self.faults: list[Callable[[], Awaitable[None]]] = [
            self.crash,
            self.replace,
            self.disturb_path,
            self.hold,
            self.reset_connections,
            self.reset_connections,
            self.half_close_connections,
            self.stop_listening,
            self.change_answers,
            self.change_answers_of_service,
        ]

    def _random_upstream(self) -> SoakUpstream:
        return self.rng.choice(self.environment.upstreams)

    def _log(self, name: str, upstream: SoakUpstream, seconds: float) -> None:
        self.log.add(name, "upstreams", seconds + 1.0, upstream.instance)
        now = time.monotonic()
        component = path_to(upstream.proxy.address)
        self.log.disturbances.add(component, now, now + seconds)

    async def crash(self) -> None:
        upstream, seconds = self._random_upstream(), self.rng.uniform(0.2, 2.0)
        self._log("crash", upstream, seconds)
        if upstream.alive:
            await upstream.restart(seconds)

    async def replace(self) -> None:
        upstream = self._random_upstream()
        if not upstream.alive or upstream.state != "ready":
            return
        self.log.add("replaced", "upstreams", 6.0, upstream.instance)
        ends_at = time.monotonic() + DRAIN_S
        component = path_to(upstream.proxy.address)
        self.log.disturbances.add(component, ends_at, ends_at + ABSENT_S)
        await upstream.replace(undisturbed=self.undisturbed())

    async def disturb_path(self) -> None:
        mode = self.rng.choice(MODES)
        await self._disturb(self._random_upstream(), mode, self.rng.uniform(0.3, 3.0))

    async def hold(self) -> None:
        """Stop an upstream's process in effect; what was sent to it arrives later."""
        seconds = self.rng.uniform(0.3, 4.0)
        await self._disturb(self._random_upstream(), Mode.HOLD, seconds)

    async def _disturb(
        self, upstream: SoakUpstream, mode: Mode, seconds: float
    ) -> None:
        self._log(f"path {mode.value}", upstream, seconds)
        await disturb(upstream.proxy, mode, seconds, self.rng)

    async def reset_connections(self) -> None:
        """Reset connections one by one, of which the upstream notices nothing."""
        upstream = self._random_upstream()
        self._log("resets", upstream, 1.0)
        if self.rng.random() < LOST_CONNECT_SHARE:
            await self._reset_and_lose_connects(upstream)
            return
        for _ in range(self.rng.randint(1, 6)):
            upstream.proxy.reset_caller_ends(self.rng, 0.4)
            await asyncio.sleep(self.rng.uniform(0.02, 0.3))

    async def _reset_and_lose_connects(self, upstream: SoakUpstream) -> None:
        """Reset connections while the next connects are lost for a moment."""
        upstream.proxy.set_mode(Mode.LOSE_CONNECTS)
        upstream.proxy.reset_caller_ends(self.rng, 0.7)
        await asyncio.sleep(self.rng.uniform(0.05, 0.5))
        upstream.proxy.set_mode(Mode.PASS)

    async def half_close_connections(self) -> None:
        upstream = self._random_upstream()
        self._log("half-closes", upstream, 1.0)
        for _ in range(self.rng.randint(1, 6)):
            upstream.proxy.half_close(self.rng, 0.4)
            await asyncio.sleep(self.rng.uniform(0.02, 0.3))

    async def stop_listening(self) -> None:
        """Refuse connections and finish what runs, of which some connections break."""
        upstream, seconds = self._random_upstream(), self.rng.uniform(0.2, 2.0)
        self._log("stops listening", upstream, seconds)
        upstream.proxy.stop_listening()
        await asyncio.sleep(seconds / 2)
        upstream.proxy.reset_caller_ends(self.rng, 0.3)
        await asyncio.sleep(seconds / 2)
        if upstream.alive:
            upstream.proxy.listen()

    async def change_answers(self) -> None:
        await self._change_answers([self._random_upstream()])

    async def change_answers_of_service(self) -> None:
        service = self._random_upstream().service
        upstreams = self.environment.upstreams
        await self._change_answers(
            [item for item in upstreams if item.service == service]
        )

    async def cause_retries(self, seconds: float) -> None:
        """Let all upstreams of both services refuse or break requests."""
        answering = self.rng.choice(RETRIED_ANSWERINGS)
        await self._answer(answering, self.environment.upstreams, seconds)

    async def refuse_all(self, seconds: float) -> None:
        """Let all upstreams refuse all requests."""
        answering = Answering(refused_share=1.0)
        await self._answer(answering, self.environment.upstreams, seconds)

    async def lose_connects(self, seconds: float) -> None:
        """Lose new connects to one engine, whose open connections go on."""
        engines = [item for item in self.environment.upstreams if item.engine]
        await self._disturb(self.rng.choice(engines), Mode.LOSE_CONNECTS, seconds)

    async def _change_answers(self, upstreams: list[SoakUpstream]) -> None:
        answering, seconds = self.rng.choice(ANSWERINGS), self.rng.uniform(1.0, 8.0)
        await self._answer(answering, upstreams, seconds)

    async def _answer(
        self, answering: Answering, upstreams: list[SoakUpstream], seconds: float
    ) -> None:
        for upstream in upstreams:
            self._log(f"{answering}", upstream, seconds)
            upstream.answering = answering
        await asyncio.sleep(seconds)
        for upstream in upstreams:
            upstream.answering = Answering()
