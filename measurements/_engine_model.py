"""A fake engine in simulated time: batching, priorities, a bounded cache, events."""

import heapq
from collections import OrderedDict, deque

from endivelug.cached_keys import CacheBatch, pack_keys
from measurements._model_parts import UNITS_S, Clock, Job, KeptStore, Piece

# One step processes up to 200 units of work in 25 ms: 8,000 units/s. A prefill token
# is 1 unit and a decoded token 2, so 25 streams use a quarter of a full step.
STEP_UNITS = 200
DECODE_UNITS = 2
MIN_STEP_S = 0.005
MIN_PREFILL_UNITS = 40
MAX_RUNNING = 64
# The rest of the places is left to interactive requests.
MAX_RUNNING_BATCH = 48
EXPORT_DELAY_S = 1.0
STORE_LOOKUP_S = 0.005
# Running requests that are not done by then are placed again elsewhere.
GRACE_S = 5.0


class Engine:
    """Continuous batching with chunked prefill and two priorities."""

    def __init__(
        self,
        *,
        name: str,
        clock: Clock,
        capacity: int,
        store: KeptStore,
        version: str,
        computed_before: set[int],
    ) -> None:
        self.name = name
        self.clock = clock
        self.capacity = capacity
        self.store = store
        self.version = version
        self.computed_before = computed_before
        self.incarnation = 1
        self.alive = True
        self.loading = False
        # Ends the steps in progress after a crash or a load of weights.
        self.epoch = 0
        self.cache: OrderedDict[int, Piece] = OrderedDict()
        self.used = 0
        self.pins: dict[int, int] = {}
        self.pinned_tokens = 0
        self.queues: tuple[deque[Job], deque[Job]] = (deque(), deque())
        self.decoding: list[tuple[int, int, Job]] = []
        self.ending: list[Job] = []
        self.steps = 0
        self.stepping = False
        self.sequence = 0
        self.added: list[int] = []
        self.removed: list[int] = []
        # Counters of the whole run.
        self.units = 0.0
        self.wasted = 0
        self.false_reliance = 0
        self.jobs = 0
        self.finished = 0

    @property
    def serving(self) -> bool:
        return self.alive and not self.loading

    def queued_tokens(self, *, interactive: bool) -> int:
        queue = self.queues[0 if interactive else 1]
        return sum(self._to_compute(job) for job in queue)

    def _to_compute(self, job: Job) -> int:
        if job.matched:
            return job.left + sum(p.tokens for p in job.pieces[job.place + 1 :])
        depth = self.depth([piece.key for piece in job.pieces])
        return sum(piece.tokens for piece in job.pieces[depth:])

    def depth(self, keys: list[int]) -> int:
        for depth, key in enumerate(keys):
            if key not in self.cache:
                return depth
        return len(keys)

    def streams(self) -> int:
        queued = len(self.queues[0]) + len(self.queues[1])
        return queued + len(self.ending) + len(self.decoding)

    def submit(self, job: Job) -> bool:
        """Accept a job; False is a refused connection or a version conflict."""
        if not self.serving or job.version != self.version:
            return False
        self.jobs += 1
        # The decision counted on entries of an engine process that no longer exists.
        if job.relied_depth and job.relied_incarnation != self.incarnation:
            self.false_reliance += 1
        self.queues[0 if job.interactive else 1].append(job)
        self._wake()
        return True

    def crash(self) -> None:
        self.alive = False
        jobs = self._jobs()
        self._reset()
        self.epoch += 1
        for job in jobs:
            job.on_failed(job)

    def restart(self) -> None:
        self.incarnation += 1
        self.sequence = 0
        self.loading = False
        self.alive = True

    def load_weights(self, version: str, seconds: float) -> None:
        """Take no new work, hand back what has not started, then load."""
        self.loading = True
        waiting = [job for queue in self.queues for job in queue if not job.matched]
        for job in waiting:
            self.queues[0 if job.interactive else 1].remove(job)
            job.on_failed(job)
        self._drain(version, seconds, self.clock.now + GRACE_S)

    def _drain(self, version: str, seconds: float, deadline: float) -> None:
        if not self.alive:
            return
        if self.streams() and self.clock.now < deadline:
            self.clock.after(0.05, self._drain, version, seconds, deadline)
            return
        jobs = self._jobs()
        keys = list(self.cache)
        self._reset()
        self.removed.extend(keys)
        self.epoch += 1
        self.clock.after(seconds, self._loaded, version)
        for job in jobs:
            job.on_failed(job)

    def _loaded(self, version: str) -> None:
        self.version = version
        self.loading = False

    def _jobs(self) -> list[Job]:
        decoding = [job for *_, job in self.decoding]
        return [*self.queues[0], *self.queues[1], *self.ending, *decoding]

    def _reset(self) -> None:
        self.cache.clear()
        self.used = 0
        self.pins.clear()
        self.pinned_tokens = 0
        self.queues[0].clear()
        self.queues[1].clear()
        self.decoding.clear()
        self.ending = []
        self.stepping = False
        self.added.clear()
        self.removed.clear()

    def _wake(self) -> None:
        if not self.stepping:
            self.stepping = True
            self.clock.after(0.0, self._step, self.epoch)

    def _step(self, epoch: int) -> None:
        if epoch != self.epoch:
            return
        now = self.clock.now
        decode = len(self.decoding) * DECODE_UNITS
        budget = max(STEP_UNITS - decode, MIN_PREFILL_UNITS)
        prefill, finished, wait_s = self._prefill(budget, now)
        units = decode + prefill
        if not units and not finished:
            self.stepping = False
            if wait_s is not None:
                self.stepping = True
                self.clock.after(max(wait_s, 0.001), self._step, epoch)
            return
        self.units += units
        self.steps += 1
        seconds = max(MIN_STEP_S, units / UNITS_S)
        self.ending = finished
        self.clock.after(seconds, self._end_step, epoch)

    def _end_step(self, epoch: int) -> None:
        if epoch != self.epoch:
            return
        finished, self.ending = self.ending, []
        for job in finished:
            job.on_first(job)
            self.finished += 1
            last_step = self.steps + max(job.output_tokens - 1, 1)
            entry = (last_step, self.finished, job)
            heapq.heappush(self.decoding, entry)
        while self.decoding and self.decoding[0][0] <= self.steps:
            job = heapq.heappop(self.decoding)[2]
            self._unpin(job)
            job.on_over(job)
        self._step(epoch)

    def _prefill(self, budget: int, now: float) -> tuple[int, list[Job], float | None]:
        """Spend a step's prefill budget; the interactive queue comes first."""
        spent = 0
        finished: list[Job] = []
        next_ready: float | None = None
        for queue, limit, share in zip(
            self.queues, (MAX_RUNNING, MAX_RUNNING_BATCH), (1.0, 0.8), strict=True
        ):
            for job in list(queue):
                if spent >= budget:
                    return spent, finished, next_ready
                if not job.matched:
                    running = len(self.decoding) + len(finished)
                    if running >= limit or not self._has_room(job, share):
                        break
                    self._match(job, now)
                if job.ready_at > now:
                    ready = job.ready_at - now
                    next_ready = ready if next_ready is None else min(next_ready, ready)
                    continue
                spent += self._advance(job, budget - spent)
                if job.place == len(job.pieces):
                    queue.remove(job)
                    finished.append(job)
        return spent, finished, next_ready

    def _match(self, job: Job, now: float) -> None:
        job.matched = True
        while job.place < len(job.pieces) and self._hit(job):
            pass
        if job.importing:
            fetch = []
            for piece in job.pieces[job.place :]:
                if piece.key not in self.store.held:
                    break
                fetch.append(piece)
            if job.place < len(job.pieces) - 1:
                job.ready_at = now + STORE_LOOKUP_S
            seconds = self.store.fetch_s(fetch, now) if fetch else None
            if seconds is not None:
                job.ready_at = now + seconds
                for piece in fetch:
                    self._insert(piece, job)
                    job.imported_tokens += piece.tokens
                    job.place += 1
        self._next_piece(job)

    def _hit(self, job: Job) -> bool:
        piece = job.pieces[job.place]
        held = self.cache.get(piece.key)
        if held is None:
            return False
        # A key that matches other content, another organisation or other weights.
        if held.truth != piece.truth or piece.truth[:2] != (
            job.organisation,
            self.version,
        ):
            self.false_reliance += 1
        job.hit_tokens += piece.tokens
        job.place += 1
        self._pin(piece.key, job)
        self.cache.move_to_end(piece.key)
        return True

    def _next_piece(self, job: Job) -> None:
        # A piece that another job has completed meanwhile is not computed again.
        while job.place < len(job.pieces) and self._hit(job):
            pass
        if job.place < len(job.pieces):
            job.left = job.pieces[job.place].tokens

    def _advance(self, job: Job, budget: int) -> int:
        spent = 0
        while spent < budget and job.place < len(job.pieces):
            piece = job.pieces[job.place]
            if job.left == piece.tokens and self._hit(job):
                self._next_piece(job)
                continue
            part = min(job.left, budget - spent)
            job.left -= part
            spent += part
            job.computed_tokens += part
            if job.left == 0:
                if piece.key in self.computed_before:
                    self.wasted += piece.tokens
                self.computed_before.add(piece.key)
                self._insert(piece, job)
                self.clock.after(EXPORT_DELAY_S, self.store.put, piece)
                job.place += 1
                self._next_piece(job)
        return spent

    def _pin(self, key: int, job: Job) -> None:
        self.pins[key] = self.pins.get(key, 0) + 1
        if self.pins[key] == 1:
            self.pinned_tokens += self.cache[key].tokens
        job.pinned.append(key)

    def _unpin(self, job: Job) -> None:
        # The root becomes the most recently used, so leaves are evicted first.
        for key in reversed(job.pinned):
            left = self.pins[key] - 1
            if left > 0:
                self.pins[key] = left
            else:
                del self.pins[key]
                self.pinned_tokens -= self.cache[key].tokens
            self.cache.move_to_end(key)
        self._trim()

    def _insert(self, piece: Piece, job: Job) -> None:
        if piece.key not in self.cache:
            self.cache[piece.key] = piece
            self.used += piece.tokens
            self.added.append(piece.key)
        self._pin(piece.key, job)
        self._trim()

    def _trim(self) -> None:
        """Evict the least recently used pieces that no running request needs."""
        for key in list(self.cache) if self.used > self.capacity else ():
            if self.used <= self.capacity:
                break
            if key not in self.pins:
                self._evict(key)

    def _has_room(self, job: Job, share: float) -> bool:
        """Return whether the memory has room for one more running request."""
        wanted = self.pinned_tokens + sum(
            piece.tokens for piece in job.pieces if piece.key not in self.pins
        )
        return wanted <= share * self.capacity or not self.pins

    def _evict(self, key: int) -> None:
        piece = self.cache.pop(key)
        self.used -= piece.tokens
        self.removed.append(key)
        self.removed.append(key)

    def take_batch(self) -> CacheBatch:
        """Return the cache events since the last call as the engine publishes them."""
        # A key evicted and computed again since the last batch is held at its end.
        added = [key for key in dict.fromkeys(self.added) if key in self.cache]
        removed = [key for key in dict.fromkeys(self.removed) if key not in self.cache]
        self.added.clear()
        self.removed.clear()
        batch = CacheBatch(
            incarnation=self.incarnation,
            first=self.sequence,
            added=pack_keys(added),
            removed=pack_keys(removed),
        )
        self.sequence += 1
        return batch

    def snapshot(self) -> CacheBatch:
        """Return the complete content, numbered like a batch."""
        self.added.clear()
        self.removed.clear()
        self.sequence += 1
        return CacheBatch(
            incarnation=self.incarnation,
            first=self.sequence - 1,
            added=pack_keys(self.cache),
            snapshot=True,
        )
