"""Which requests are suspected of crashing upstreams, from the crashes that VMs saw.

Load pattern: one request, or one segment of some prompts, crashes every upstream that
runs it. It comes again at any VM and is sent once more after each crash, so upstream
after upstream ends and takes the other requests with it.

A crash makes suspect what the upstream had in progress without having got past the
beginning of an answer. A suspect is blocked once crashes at several moments leave it in
common. A prompt that the upstream had begun to answer is stronger evidence than a
request that may only have waited. A shared segment needs different requests, so that
the other segments of one bad prompt stay usable; a request needs only itself. What was
beside the cause each time cannot be told from it, until one of them is tested. An
answer anywhere clears a request and its segments. A blocked suspect is tested a few
times, by one VM at a time and after growing intervals; then it stays blocked for as
long as its crashes are remembered.
"""

from collections import OrderedDict
from dataclasses import dataclass, field
from math import inf

from endivelug.forwarding.crashes.evidence import (
    Crash,
    CrashedRun,
    CrashId,
    count_moments,
)

# Moments of crashes that block a single request that the engines had begun to answer,
# and one that was in progress and may only have waited.
REQUEST_MOMENTS = 2
COMMON_MOMENTS = 3
# Moments, and different requests, that block a shared segment. More requests are needed
# where prompts only waited, or where the segment was sound a while ago, so that it may
# have been beside the cause by chance.
SEGMENT_MOMENTS = 3
SEGMENT_REQUESTS = 2
DOUBTFUL_SEGMENT_REQUESTS = 3
# Time from the last crash to the first test; each further crash doubles it. A test that
# fails ends an upstream, so there are few.
TEST_AFTER_S = 20.0
MAX_TESTS = 3
# The VMs that saw the crashes take turns. A test has its result within a turn, and may
# begin only in the first part of it.
TURN_S = 10.0
TURN_BEGIN_S = 4.0
# A crash counts for this long, and for longer against a suspect that is blocked.
CRASH_KEPT_S = 600.0
BLOCK_KEPT_S = 24 * 3600.0
EXPIRE_INTERVAL_S = 5.0
MAX_CRASHES = 200
MAX_SUSPECTS = 2000
MAX_RUNS_PER_SUSPECT = 32
MAX_SEGMENTS_PER_RUN = 32
MAX_KNOWN_GOOD = 4096


@dataclass(slots=True, kw_only=True, frozen=True)
class Block:
    """Why a request is not sent to any upstream.

    Attributes
    ----------
    suspect : str
        The segment, or the identity of the request.
    is_request : bool
        Whether the suspect is a single request.
    moments, requests : int
        Distinct moments of crashes and distinct requests that it has in common.
    last_at : float
        Time of the last crash.
    test_at : float
        Time from which the suspect is tested again; infinite after MAX_TESTS tests.
    """

    suspect: str
    is_request: bool
    moments: int
    requests: int
    last_at: float
    test_at: float


@dataclass(slots=True, kw_only=True)
class _Suspect:
    """Runs in which a segment or a request was found at a crash.

    Attributes
    ----------
    tests : int
        Tests that this VM has begun.
    tested_until : float
        Time until which this VM begins no other.
    """

    is_request: bool
    runs: list[CrashedRun] = field(default_factory=list)
    tests: int = 0
    tested_until: float = 0.0


class CrashSuspects:
    """Evidence of crashes, and the requests that it blocks.

    Attributes
    ----------
    vm : str
        Name of this VM.
    cleared : dict of str to float
        Suspects that were answered lately, with the time.

    Examples
    --------
    >>> suspects = CrashSuspects(vm="vm1")
    >>> def crash(engine, request, at):
    ...     run = CrashedRun(
    ...         instance=engine, started_ms=1, vm="vm1", request=request,
    ...         segments=("guide-" + request, "bad"), begun=True, sent_at=at, at=at,
    ...     )
    ...     return suspects.record_crash(run, now=at)
    >>> crash("e1", "q1", 1.0), crash("e2", "q1", 2.0), crash("e3", "q2", 5.0)
    (True, True, True)
    >>> suspects.block_of("q3", ["guide-q3", "bad"], now=6.0).suspect
    'bad'
    >>> suspects.block_of("q4", ["guide-q1"], now=6.0) is None
    True
    """

    def __init__(self, *, vm: str) -> None:
        self.vm = vm
        self.crashes: OrderedDict[CrashId, Crash] = OrderedDict()
        self.suspects: OrderedDict[str, _Suspect] = OrderedDict()
        self.known_good: OrderedDict[str, None] = OrderedDict()
        self.cleared: OrderedDict[str, float] = OrderedDict()
        self._expire_at = 0.0
        # Blocks by suspect; None once the evidence has changed.
        self._blocks: dict[str, Block] | None = {}

    def record_crash(self, run: CrashedRun, *, now: float) -> bool:
        """Record a run that ended in a crash; return whether it was not known yet."""
        self._expire(now)
        crash = self.crashes.setdefault(run.crash, Crash(at=run.at))
        if run.request in crash.requests or run.at <= now - BLOCK_KEPT_S:
            return False
        self._blocks = None
        crash.requests.add(run.request)
        self._add(run.request, run, is_request=True)
        for segment in run.segments[-MAX_SEGMENTS_PER_RUN:]:
            self._add(segment, run, is_request=False)
        self._limit()
        return True

    def record_answer(self, request: str, segments: list[str]) -> list[str]:
        """Record a request that is being answered; return the suspects that it clears.

        The caller clears them, here and at the other VMs.
        """
        for segment in segments:
            self.known_good[segment] = None
            self.known_good.move_to_end(segment)
        while len(self.known_good) > MAX_KNOWN_GOOD:
            self.known_good.popitem(last=False)
        return [name for name in (request, *segments) if name in self.suspects]

    def clear(self, suspect: str, *, at: float) -> bool:
        """Drop the evidence against a suspect up to a time; return if there was any."""
        self.cleared[suspect] = max(at, self.cleared.get(suspect, at))
        self.cleared.move_to_end(suspect)
        while len(self.cleared) > MAX_SUSPECTS:
            self.cleared.popitem(last=False)
        item = self.suspects.get(suspect)
        if item is None:
            return False
        self._blocks = None
        before = len(item.runs)
        item.runs = [run for run in item.runs if run.at > at]
        if not item.runs:
            del self.suspects[suspect]
        return len(item.runs) < before

    def block_of(
        self, request: str, segments: list[str], *, now: float
    ) -> Block | None:
        """Return the strongest reason not to send a request, or None."""
        if not self.suspects:
            return None
        blocks = self._current_blocks(now)
        found = [blocks[name] for name in (request, *segments) if name in blocks]
        return max(found, key=lambda block: block.test_at, default=None)

    def may_test(self, request: str, segments: list[str], *, now: float) -> bool:
        """Return whether this VM may send a blocked request as a test.

        If so, the test has begun, and this VM begins no other for a while.
        """
        blocks = self._current_blocks(now)
        blocked = [blocks[name] for name in (request, *segments) if name in blocks]
        if not all(self._is_turn(block, now) for block in blocked):
            return False
        for block in blocked:
            item = self.suspects[block.suspect]
            item.tested_until = now + TURN_S * 2 ** min(item.tests, MAX_TESTS)
            item.tests += 1
        return True

    def blocked(self, *, now: float) -> list[Block]:
        """Return all blocks in force."""
        return list(self._current_blocks(now).values())

    def runs(self, *, now: float) -> list[CrashedRun]:
        """Return the evidence that counts, each run once; that of blocks comes last."""
        blocks = self._current_blocks(now)
        items = sorted(self.suspects.items(), key=lambda item: item[0] in blocks)
        found: dict[tuple[CrashId, str], CrashedRun] = {}
        for _, item in items:
            for run in item.runs:
                # A run that several suspects share comes where the last of them is.
                found.pop((run.crash, run.request), None)
                found[run.crash, run.request] = run
        return list(found.values())

    def has_seen(self, suspect: str) -> bool:
        """Return whether this VM has sent a run that counts against a suspect."""
        item = self.suspects.get(suspect)
        return item is not None and any(run.vm == self.vm for run in item.runs)

    def _add(self, name: str, run: CrashedRun, *, is_request: bool) -> None:
        if self.cleared.get(name, -inf) >= run.at:
            return
        item = self.suspects.setdefault(name, _Suspect(is_request=is_request))
        item.runs.append(run)
        del item.runs[:-MAX_RUNS_PER_SUSPECT]
        self.suspects.move_to_end(name)

    def _counted(self, item: _Suspect) -> list[CrashedRun]:
        """Return the runs that count by themselves: not those that may have waited."""
        return [run for run in item.runs if run.begun or self._was_alone(run)]

    def _was_alone(self, run: CrashedRun) -> bool:
        crash = self.crashes.get(run.crash)
        return crash is not None and crash.requests == {run.request}

    def _current_blocks(self, now: float) -> dict[str, Block]:
        """Return the blocks by the names of the suspects."""
        self._expire(now)
        if self._blocks is None:
            blocks = (self._block(name) for name in self.suspects)
            self._blocks = {block.suspect: block for block in blocks if block}
        return self._blocks

    def _block(self, name: str) -> Block | None:
        item = self.suspects[name]
        counted = self._counted(item)
        if not item.is_request:
            return self._block_segment(name, counted)
        begun = all(run.begun for run in counted)
        if begun and (block := self._make_block(name, counted, REQUEST_MOMENTS)):
            return block
        return self._make_block(name, item.runs, COMMON_MOMENTS)

    def _block_segment(self, name: str, runs: list[CrashedRun]) -> Block | None:
        needed_requests = SEGMENT_REQUESTS
        if name in self.known_good or not all(run.begun for run in runs):
            needed_requests = DOUBTFUL_SEGMENT_REQUESTS
        if len({run.request for run in runs}) < needed_requests:
            return None
        return self._make_block(name, runs, SEGMENT_MOMENTS)

    def _make_block(
        self, name: str, runs: list[CrashedRun], needed_moments: int
    ) -> Block | None:
        """Return the block by some runs, or None if they are too few."""
        moments = count_moments(runs)
        if moments < needed_moments:
            return None
        last_at = max(run.at for run in runs)
        failed_tests = moments - needed_moments
        test_at = last_at + TEST_AFTER_S * 2**failed_tests
        return Block(
            suspect=name,
            is_request=self.suspects[name].is_request,
            moments=moments,
            requests=len({run.request for run in runs}),
            last_at=last_at,
            test_at=test_at if failed_tests < MAX_TESTS else inf,
        )

    def _is_turn(self, block: Block, now: float) -> bool:
        item = self.suspects[block.suspect]
        if now < block.test_at or now < item.tested_until:
            return False
        vms = sorted({run.vm for run in item.runs})
        turn, elapsed_s = divmod(now - block.test_at, TURN_S)
        return elapsed_s < TURN_BEGIN_S and vms[int(turn) % len(vms)] == self.vm

    def _expire(self, now: float) -> None:
        if now < self._expire_at:
            return
        blocks = self._blocks
        if blocks is None:
            self._expire_at = inf
            blocks = self._current_blocks(now)
        self._expire_at = now + EXPIRE_INTERVAL_S
        for name, item in list(self.suspects.items()):
            kept_s = BLOCK_KEPT_S if name in blocks else CRASH_KEPT_S
            runs = [run for run in item.runs if run.at > now - kept_s]
            if len(runs) < len(item.runs):
                self._blocks = None
                item.runs = runs
                if not runs:
                    del self.suspects[name]
        kept = {run.crash for item in self.suspects.values() for run in item.runs}
        for key, crash in list(self.crashes.items()):
            if key not in kept and crash.at <= now - CRASH_KEPT_S:
                del self.crashes[key]

    def _limit(self) -> None:
        while len(self.crashes) > MAX_CRASHES:
            self.crashes.popitem(last=False)
        while len(self.suspects) > MAX_SUSPECTS:
            # Those with the least evidence go first, the oldest among them.
            weakest = min(self.suspects, key=lambda name: len(self.suspects[name].runs))
            del self.suspects[weakest]
