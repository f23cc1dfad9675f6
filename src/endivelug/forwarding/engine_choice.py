"""Selects the engine for a generation request.

Load pattern: long prompts with a shared prefix compete with short prompts for a few
engines. Prefilling a shared prefix again takes longer than waiting behind a few
requests, and a long prefill delays every request queued behind it. The engine with the
lowest cost, which is mainly the expected time to the first event, is chosen. An engine
that lacks memory or has a long backlog is skipped; the request then waits at the
router, where a more urgent request can still overtake it.
"""

from collections import Counter
from dataclasses import dataclass

from endivelug.forwarding.wait_reasons import NoPlacement, WaitReason

# Latency of a request whose whole prompt is cached: scheduling, transfer, first step.
BASE_LATENCY_S = 0.04
# Prefill rate of an engine that is assumed until one has been measured.
DEFAULT_PREFILL_TOKENS_PER_S = 40_000.0
# Weight of a new sample in the moving average of the prefill rate.
RATE_SAMPLE_WEIGHT = 0.1
# Shorter prefills are too noisy a sample of the prefill rate.
RATE_SAMPLE_MIN_TOKENS = 1500
# Share of an engine's memory that requests may reserve; the rest absorbs outputs that
# grow beyond their estimate.
MAX_MEMORY_SHARE = 0.92
# Prefilling uncached tokens uses capacity that other requests wait for. This multiple
# of the prefill time is added to the cost, on top of the delay of the request itself.
PREFILL_COST_WEIGHT = 1.0
# Added cost of an engine in another data centre, and of weights older than desired.
REMOTE_COST_S = 0.03
OLD_WEIGHTS_COST_S = 0.4
# Longest accepted backlog as a share of the request's target; beyond it the request
# waits in the router's queue.
MAX_BACKLOG_SHARE = 0.6
# A prompt with this many uncached tokens is long. It is sent only to an engine that has
# almost nothing else to prefill: each prefill delays the next token of every stream of
# the engine, and several in a row pause a stream for longer than its target.
LONG_PROMPT_TOKENS = 2500
LONG_PROMPT_MAX_BACKLOG_S = 0.02
# Where a part of it is cached, a long prompt accepts as much backlog as it has waited,
# or it would starve where short ones never leave an engine without any. The limit, a
# share of its target, is half of that for short prompts, because its own prefill takes
# the rest. Elsewhere it would take the time of several short ones.
LONG_PROMPT_MAX_BACKLOG_SHARE = 0.3
# A prefill delays every running request of the engine by its duration. This share of
# the added delay counts as cost, which keeps long and short prompts on separate
# engines.
INTERFERENCE_WEIGHT = 0.15
# Cost reduction for the preferred engine, which all routers compute alike, so that a
# prompt that is cached nowhere gets prefilled on one engine: a minimum, and a multiple
# of the prefill time of the prompt's shared segments, which is what a second prefill
# would waste.
PREFERRED_BONUS_S = 0.08
PREFERRED_BONUS_WEIGHT = 1.0
# A backlog up to this length is always accepted, so that engines never sit idle.
ALWAYS_ACCEPTED_BACKLOG_S = 0.15


# Not frozen: it is built for each engine and placement, and building a frozen data
# class takes twice as long.
@dataclass(slots=True, kw_only=True)
class EngineState:
    """State of one engine at the time of the choice.

    Attributes
    ----------
    requests, backlog_tokens, memory_tokens : int
        Running requests, uncached prompt tokens of those without a first event, and
        reserved memory, each summed over the requests of all VMs.
    cached_tokens : int
        Leading tokens of the prompt that are in the engine's cache.
    fetch_tokens : int
        Leading tokens of the prompt that the best copy source has cached.
    fetch_s : float
        Time to copy those that the engine lacks.
    current : bool
        Whether the engine has the desired weights.
    preferred : bool
        Whether this is the preferred engine of the prompt.
    prefilling_elsewhere : bool
        Whether another engine is prefilling a shared segment that this one lacks.
    """

    name: str
    local: bool
    current: bool
    requests: int
    backlog_tokens: int
    memory_tokens: int
    slots: int
    cache_tokens: int
    cached_tokens: int
    fetch_tokens: int
    fetch_s: float
    slowdown: float
    preferred: bool = False
    prefilling_elsewhere: bool = False


@dataclass(slots=True, kw_only=True, frozen=True)
class Prompt:
    """Size of one request in tokens, and its target time to the first event.

    Attributes
    ----------
    shared_tokens : int
        Leading tokens that other prompts share and that no cache is known to have.
    waited_s : float
        Time since the request arrived.
    accepts_backlog : bool
        Whether a long prompt that has waited accepts backlog where it is cached.
    """

    prompt_tokens: int
    output_tokens: int
    target_s: float
    shared_tokens: int = 0
    waited_s: float = 0.0
    accepts_backlog: bool = True


@dataclass(slots=True, kw_only=True, frozen=True)
class Choice:
    """The chosen engine, with the expected time to the first event."""

    engine: str
    expected_s: float
    uncached_tokens: int
    fetch: bool


@dataclass(slots=True, kw_only=True)
class PrefillRate:
    """Moving average of the prefill rate of the engines of one service."""

    tokens_per_s: float = DEFAULT_PREFILL_TOKENS_PER_S

    def observe(self, *, tokens: int, seconds: float) -> None:
        """Add a sample: the time to the first event of a request that did not queue."""
        if tokens < RATE_SAMPLE_MIN_TOKENS or seconds <= BASE_LATENCY_S:
            return
        sample = tokens / (seconds - BASE_LATENCY_S)
        sample = min(max(sample, self.tokens_per_s / 3), self.tokens_per_s * 3)
        self.tokens_per_s += RATE_SAMPLE_WEIGHT * (sample - self.tokens_per_s)


def expected_wait(
    engine: EngineState, prompt: Prompt, *, rate: PrefillRate
) -> tuple[float, int]:
    """Return the expected time to the first event and the tokens to prefill."""
    reusable_tokens = max(engine.cached_tokens, engine.fetch_tokens)
    uncached_tokens = max(0, prompt.prompt_tokens - reusable_tokens)
    prefill_s = (engine.backlog_tokens + uncached_tokens) / rate.tokens_per_s
    fetch_s = engine.fetch_s if engine.fetch_tokens > engine.cached_tokens else 0.0
    return engine.slowdown * (BASE_LATENCY_S + prefill_s) + fetch_s, uncached_tokens


def lacking_capacity(
    *,
    requests: int,
    memory_tokens: int,
    slots: int,
    cache_tokens: int,
    needed_tokens: int,
) -> WaitReason | None:
    """Return whether an engine lacks a free slot or memory for a request.

    An idle engine accepts any request.

    Parameters
    ----------
    requests, memory_tokens : int
        Running requests and their reserved memory.
    slots, cache_tokens : int
        Limits of the engine.
    needed_tokens : int
        Tokens of the prompt and the output of the request.
    """
    if requests == 0:
        return None
    if requests >= slots:
        return WaitReason.NO_SLOT
    if memory_tokens + needed_tokens > MAX_MEMORY_SHARE * cache_tokens:
        return WaitReason.NO_MEMORY
    return None


def is_backlog_accepted(
    engine: EngineState, prompt: Prompt, *, uncached_tokens: int, rate: PrefillRate
) -> bool:
    """Return whether the engine's backlog is short enough for one more request."""
    backlog_s = engine.slowdown * engine.backlog_tokens / rate.tokens_per_s
    if uncached_tokens >= LONG_PROMPT_TOKENS:
        allowed_s = LONG_PROMPT_MAX_BACKLOG_S
        is_cached = engine.cached_tokens or engine.fetch_tokens or engine.preferred
        if prompt.accepts_backlog and is_cached:
            longest_s = LONG_PROMPT_MAX_BACKLOG_SHARE * prompt.target_s
            allowed_s = max(allowed_s, min(prompt.waited_s, longest_s))
        return backlog_s <= allowed_s
    allowed_s = max(ALWAYS_ACCEPTED_BACKLOG_S, MAX_BACKLOG_SHARE * prompt.target_s)
    return backlog_s <= allowed_s


def choose_engine(
    engines: list[EngineState], prompt: Prompt, *, rate: PrefillRate
) -> Choice | NoPlacement:
    """Return the engine with the lowest cost, or why the request has to wait.

    A request waits for an engine with a long backlog if that costs less than the best
    of the others. The time that it has waited counts, so that it does not wait forever.

    Parameters
    ----------
    engines : list of EngineState
        Engines that accept new requests.
    prompt : Prompt
        Size and target of the request.
    rate : PrefillRate
        Measured prefill rate of the service.
    """
    best: tuple[float, EngineState, float, int] | None = None
    preferred_bonus_s = max(
        PREFERRED_BONUS_S,
        PREFERRED_BONUS_WEIGHT * prompt.shared_tokens / rate.tokens_per_s,
    )
    best_blocked_cost = float("inf")
    blocked: Counter[WaitReason] = Counter()
    for engine in engines:
        reason = lacking_capacity(
            requests=engine.requests,
            memory_tokens=engine.memory_tokens,
            slots=engine.slots,
            cache_tokens=engine.cache_tokens,
            needed_tokens=prompt.prompt_tokens + prompt.output_tokens,
        )
        if reason is None and engine.prefilling_elsewhere:
            reason = WaitReason.PREFILLING
        if reason is not None:
            blocked[reason] += 1
            continue
        wait_s, uncached_tokens = expected_wait(engine, prompt, rate=rate)
        cost = wait_s + PREFILL_COST_WEIGHT * uncached_tokens / rate.tokens_per_s
        cost += (
            INTERFERENCE_WEIGHT * engine.requests * uncached_tokens / rate.tokens_per_s
        )
        cost += 0.0 if engine.local else REMOTE_COST_S
        cost -= preferred_bonus_s if engine.preferred else 0.0
        cost += 0.0 if engine.current else OLD_WEIGHTS_COST_S
        if not is_backlog_accepted(
            engine, prompt, uncached_tokens=uncached_tokens, rate=rate
        ):
            blocked[WaitReason.BACKLOG] += 1
            best_blocked_cost = min(best_blocked_cost, cost + prompt.waited_s)
        elif best is None or cost < best[0]:
            best = (cost, engine, wait_s, uncached_tokens)
    if best is None or best_blocked_cost < best[0]:
        return NoPlacement(reasons=blocked)
    _, engine, wait_s, uncached_tokens = best
    return Choice(
        engine=engine.name,
        expected_s=wait_s,
        uncached_tokens=uncached_tokens,
        fetch=engine.fetch_tokens > 0,
    )
