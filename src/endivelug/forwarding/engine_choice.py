"""Choice of the engine for a generation.

Load pattern: long prompts that share a guide compete with short ones for few engines.
Reading a guide again takes longer than waiting behind a few requests, and a long prompt
delays every request behind it. The engine with the least expected time to the first
event is chosen; an engine without memory or with a long backlog is not offered more,
and the request waits at the router where an urgent one can still overtake it.
"""

from dataclasses import dataclass

# Time of a request that has nothing to read: scheduling, transfer and first step.
BASE_S = 0.04
# Prompt tokens that an engine reads per second, before any has been measured.
DEFAULT_TOKENS_PER_S = 40_000.0
RATE_WEIGHT = 0.1
# Prompts shorter than this say little about the reading rate.
RATE_SAMPLE_TOKENS = 1500
# Part of an engine's memory that may be promised; outputs may grow beyond the estimate.
MEMORY_SHARE = 0.92
# Reading a part again costs capacity that others wait for; it counts this much more
# than the time it adds to the request itself.
REREAD_WEIGHT = 1.0
# Cost of another data centre, and of weights older than the wanted ones.
REMOTE_S = 0.03
OLD_WEIGHTS_S = 0.4
# A backlog longer than this part of the target is left to the queue at the router.
BACKLOG_SHARE = 0.6
# A prompt with this much to read is long: it waits at the router behind a short backlog
# so that short prompts do not wait behind several long ones inside an engine.
LONG_TOKENS = 2500
LONG_BACKLOG_S = 0.2
# Reading delays every running request of an engine by its time; a part of that counts
# against placing a long prompt there, so that long and short ones keep apart.
IMPOSED_WEIGHT = 0.15
# Advantage of the home engine, on which all routers agree for a prompt nobody holds.
HOME_S = 0.08
# A backlog of this length is always accepted, so that engines never run dry.
BACKLOG_MIN_S = 0.15


@dataclass(slots=True, kw_only=True, frozen=True)
class EngineState:
    """What the choice knows of one engine.

    Attributes
    ----------
    requests, backlog_tokens, memory_tokens : int
        Work of all VMs there.
    held_tokens : int
        Leading prompt tokens of this request in its cache.
    fetch_s : float
        Time to copy further leading tokens from elsewhere.
    fetch_tokens : int
        How many tokens that would bring.
    current : bool
        Whether it has the wanted weights.
    home : bool
        Whether routers without knowledge of the prompt agree on this engine.
    read_elsewhere : bool
        Whether another engine is reading a part that this one lacks.
    """

    name: str
    local: bool
    current: bool
    requests: int
    backlog_tokens: int
    memory_tokens: int
    slots: int
    cache_tokens: int
    held_tokens: int
    fetch_tokens: int
    fetch_s: float
    slowness: float
    home: bool = False
    read_elsewhere: bool = False


@dataclass(slots=True, kw_only=True, frozen=True)
class Prompt:
    """Size and target of one request; times in seconds."""

    prompt_tokens: int
    output_tokens: int
    target_s: float


@dataclass(slots=True, kw_only=True, frozen=True)
class Choice:
    """The engine chosen, and why."""

    engine: str
    expected_s: float
    missing_tokens: int
    fetch: bool


@dataclass(slots=True, kw_only=True)
class ReadingRate:
    """Prompt tokens that the engines of one service read per second."""

    tokens_per_s: float = DEFAULT_TOKENS_PER_S

    def observe(self, *, tokens: int, seconds: float) -> None:
        """Take in one first event of a request that waited behind no other."""
        if tokens < RATE_SAMPLE_TOKENS or seconds <= BASE_S:
            return
        sample = tokens / (seconds - BASE_S)
        sample = min(max(sample, self.tokens_per_s / 3), self.tokens_per_s * 3)
        self.tokens_per_s += RATE_WEIGHT * (sample - self.tokens_per_s)


def expected_wait(
    engine: EngineState, prompt: Prompt, *, rate: ReadingRate
) -> tuple[float, int]:
    """Return the expected time to the first event and the tokens to read."""
    covered = max(engine.held_tokens, engine.fetch_tokens)
    missing = max(0, prompt.prompt_tokens - covered)
    reading_s = (engine.backlog_tokens + missing) / rate.tokens_per_s
    fetch_s = engine.fetch_s if engine.fetch_tokens > engine.held_tokens else 0.0
    return engine.slowness * (BASE_S + reading_s) + fetch_s, missing


def has_room(engine: EngineState, prompt: Prompt) -> bool:
    """Return whether the engine has a slot and memory for the request."""
    if engine.requests == 0:
        return True
    if engine.requests >= engine.slots:
        return False
    need = prompt.prompt_tokens + prompt.output_tokens
    return engine.memory_tokens + need <= MEMORY_SHARE * engine.cache_tokens


def backlog_allows(
    engine: EngineState, prompt: Prompt, *, missing: int, rate: ReadingRate
) -> bool:
    """Return whether the engine's backlog is short enough for one more request."""
    backlog_s = engine.slowness * engine.backlog_tokens / rate.tokens_per_s
    if missing >= LONG_TOKENS:
        return backlog_s <= LONG_BACKLOG_S
    allowed_s = max(BACKLOG_MIN_S, BACKLOG_SHARE * prompt.target_s)
    return backlog_s <= allowed_s


def choose_engine(
    engines: list[EngineState], prompt: Prompt, *, rate: ReadingRate
) -> Choice | None:
    """Return the engine for a request, or None where it has to wait.

    Parameters
    ----------
    engines : list of EngineState
        Engines that may get new requests.
    prompt : Prompt
        The request.
    rate : ReadingRate
        Measured reading rate of the service.
    """
    best: tuple[float, EngineState, float, int] | None = None
    for engine in engines:
        if engine.read_elsewhere or not has_room(engine, prompt):
            continue
        wait_s, missing = expected_wait(engine, prompt, rate=rate)
        if not backlog_allows(engine, prompt, missing=missing, rate=rate):
            continue
        cost = wait_s + REREAD_WEIGHT * missing / rate.tokens_per_s
        cost += IMPOSED_WEIGHT * engine.requests * missing / rate.tokens_per_s
        cost += 0.0 if engine.local else REMOTE_S
        cost -= HOME_S if engine.home else 0.0
        cost += 0.0 if engine.current else OLD_WEIGHTS_S
        if best is None or cost < best[0]:
            best = (cost, engine, wait_s, missing)
    if best is None:
        return None
    _, engine, wait_s, missing = best
    return Choice(
        engine=engine.name,
        expected_s=wait_s,
        missing_tokens=missing,
        fetch=engine.fetch_tokens > 0,
    )
