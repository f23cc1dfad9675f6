"""Engine model in simulated time: batching, priorities, bounded cache, cache events."""

import heapq
from collections import OrderedDict, deque

from endivelug.cached_keys import CacheBatch, pack_keys
from measurements._simulation import UNITS_PER_S, CacheStore, Clock, Job, Segment

# One step processes up to 200 units of work in 25 ms: 8,000 units/s. A prefill token
# costs 1 unit and a decoded token 2, so 25 streams use a quarter of a full step.
STEP_UNITS = 200
DECODE_UNITS = 2
MIN_STEP_S = 0.005
MIN_PREFILL_UNITS = 40
MAX_RUNNING = 64
# The remaining slots are reserved for interactive requests.
MAX_RUNNING_BATCH = 48
EXPORT_DELAY_S = 1.0
STORE_LOOKUP_S = 0.005
# Before loading weights, running requests may take this long to finish; the others
# fail and are placed on another engine.
DRAIN_LIMIT_S = 5.0


class Engine:
    """Engine with continuous batching, chunked prefill and two priorities."""

    def __init__(
        self,
        *,
        name: str,
        clock: Clock,
        capacity: int,
        store: CacheStore,
        version: str,
        computed_keys: set[int],
    ) -> None:
        self.name = name
        self.clock = clock
        self.capacity = capacity
        self.store = store
        self.version = version
        self.computed_keys = computed_keys
        self.incarnation = 1
        self.alive = True
        self.loading = False
        # Incremented by a crash or a load of weights, which discards scheduled steps.
        self.epoch = 0
        self.cache: OrderedDict[int, Segment] = OrderedDict()
        self.cached_tokens = 0
        self.pin_counts: dict[int, int] = {}
        self.pinned_tokens = 0
        self.queues: tuple[deque[Job], deque[Job]] = (deque(), deque())
        self.decoding: list[tuple[int, int, Job]] = []
        self.prefilled_jobs: list[Job] = []
        self.steps = 0
        self.step_scheduled = False
        self.next_sequence = 0
        self.added_keys: list[int] = []
        self.removed_keys: list[int] = []
        # Counters of the whole run: units of work, tokens computed again, and reliance
        # on another incarnation's cache or on a segment with different content.
        self.processed_units = 0.0
        self.wasted_tokens = 0
        self.false_reliance = 0
        self.accepted_jobs = 0
        self.prefill_count = 0

    @property
    def serving(self) -> bool:
        return self.alive and not self.loading

    def queued_tokens(self, *, interactive: bool) -> int:
        queue = self.queues[0 if interactive else 1]
        return sum(self._uncached_tokens(job) for job in queue)

    def _uncached_tokens(self, job: Job) -> int:
        if job.started:
            return job.remaining_tokens + sum(
                p.tokens for p in job.segments[job.segment_index + 1 :]
            )
        depth = self.cached_depth([segment.key for segment in job.segments])
        return sum(segment.tokens for segment in job.segments[depth:])

    def cached_depth(self, keys: list[int]) -> int:
        for depth, key in enumerate(keys):
            if key not in self.cache:
                return depth
        return len(keys)

    def request_count(self) -> int:
        queued = len(self.queues[0]) + len(self.queues[1])
        return queued + len(self.prefilled_jobs) + len(self.decoding)

    def submit(self, job: Job) -> bool:
        """Accept a job; return False if not serving or if the weights differ."""
        if not self.serving or job.version != self.version:
            return False
        self.accepted_jobs += 1
        # The placement relied on the cache of an engine process that has ended.
        if job.relied_depth and job.relied_incarnation != self.incarnation:
            self.false_reliance += 1
        self.queues[0 if job.interactive else 1].append(job)
        self._schedule_step()
        return True

    def crash(self) -> None:
        self.alive = False
        jobs = self._unfinished_jobs()
        self._reset()
        self.epoch += 1
        for job in jobs:
            job.on_failed(job)

    def restart(self) -> None:
        self.incarnation += 1
        self.next_sequence = 0
        self.loading = False
        self.alive = True

    def load_weights(self, version: str, seconds: float) -> None:
        """Refuse new jobs, fail those that have not started, drain, then load."""
        self.loading = True
        waiting = [job for queue in self.queues for job in queue if not job.started]
        for job in waiting:
            self.queues[0 if job.interactive else 1].remove(job)
            job.on_failed(job)
        self._drain(version, seconds, self.clock.now + DRAIN_LIMIT_S)

    def _drain(self, version: str, seconds: float, deadline: float) -> None:
        if not self.alive:
            return
        if self.request_count() and self.clock.now < deadline:
            self.clock.call_later(0.05, self._drain, version, seconds, deadline)
            return
        jobs = self._unfinished_jobs()
        keys = list(self.cache)
        self._reset()
        self.removed_keys.extend(keys)
        self.epoch += 1
        self.clock.call_later(seconds, self._finish_load, version)
        for job in jobs:
            job.on_failed(job)

    def _finish_load(self, version: str) -> None:
        self.version = version
        self.loading = False

    def _unfinished_jobs(self) -> list[Job]:
        decoding = [job for *_, job in self.decoding]
        return [*self.queues[0], *self.queues[1], *self.prefilled_jobs, *decoding]

    def _reset(self) -> None:
        self.cache.clear()
        self.cached_tokens = 0
        self.pin_counts.clear()
        self.pinned_tokens = 0
        self.queues[0].clear()
        self.queues[1].clear()
        self.decoding.clear()
        self.prefilled_jobs = []
        self.step_scheduled = False
        self.added_keys.clear()
        self.removed_keys.clear()

    def _schedule_step(self) -> None:
        if not self.step_scheduled:
            self.step_scheduled = True
            self.clock.call_later(0.0, self._step, self.epoch)

    def _step(self, epoch: int) -> None:
        if epoch != self.epoch:
            return
        now = self.clock.now
        decode = len(self.decoding) * DECODE_UNITS
        budget = max(STEP_UNITS - decode, MIN_PREFILL_UNITS)
        prefill, prefilled, wait_s = self._prefill(budget, now)
        units = decode + prefill
        if not units and not prefilled:
            self.step_scheduled = False
            if wait_s is not None:
                self.step_scheduled = True
                self.clock.call_later(max(wait_s, 0.001), self._step, epoch)
            return
        self.processed_units += units
        self.steps += 1
        seconds = max(MIN_STEP_S, units / UNITS_PER_S)
        self.prefilled_jobs = prefilled
        self.clock.call_later(seconds, self._end_step, epoch)

    def _end_step(self, epoch: int) -> None:
        if epoch != self.epoch:
            return
        prefilled, self.prefilled_jobs = self.prefilled_jobs, []
        for job in prefilled:
            job.on_first_token(job)
            self.prefill_count += 1
            last_step = self.steps + max(job.output_tokens - 1, 1)
            entry = (last_step, self.prefill_count, job)
            heapq.heappush(self.decoding, entry)
        while self.decoding and self.decoding[0][0] <= self.steps:
            job = heapq.heappop(self.decoding)[2]
            self._unpin(job)
            job.on_end(job)
        self._step(epoch)

    def _prefill(self, budget: int, now: float) -> tuple[int, list[Job], float | None]:
        """Spend the prefill budget of a step, interactive requests first.

        Returns
        -------
        tuple of int, list of Job and float or None
            Tokens computed, jobs whose prefill is complete, and seconds until the next
            import is complete.
        """
        spent = 0
        prefilled: list[Job] = []
        next_ready: float | None = None
        for queue, max_running, memory_share in zip(
            self.queues, (MAX_RUNNING, MAX_RUNNING_BATCH), (1.0, 0.8), strict=True
        ):
            for job in list(queue):
                if spent >= budget:
                    return spent, prefilled, next_ready
                if not job.started:
                    running = len(self.decoding) + len(prefilled)
                    if running >= max_running or not self._has_room(job, memory_share):
                        break
                    self._start(job, now)
                if job.ready_at > now:
                    ready = job.ready_at - now
                    next_ready = ready if next_ready is None else min(next_ready, ready)
                    continue
                spent += self._compute(job, budget - spent)
                if job.segment_index == len(job.segments):
                    queue.remove(job)
                    prefilled.append(job)
        return spent, prefilled, next_ready

    def _start(self, job: Job, now: float) -> None:
        """Use the cached segments of a prompt and import those in the cache store."""
        job.started = True
        while job.segment_index < len(job.segments) and self._use_cached(job):
            pass
        if job.may_import:
            imported = []
            for segment in job.segments[job.segment_index :]:
                if segment.key not in self.store.entries:
                    break
                imported.append(segment)
            if job.segment_index < len(job.segments) - 1:
                job.ready_at = now + STORE_LOOKUP_S
            seconds = self.store.reserve_import(imported, now) if imported else None
            if seconds is not None:
                job.ready_at = now + seconds
                for segment in imported:
                    self._insert(segment, job)
                    job.imported_tokens += segment.tokens
                    job.segment_index += 1
        self._next_segment(job)

    def _use_cached(self, job: Job) -> bool:
        """Use the next segment if it is cached, and return whether it is."""
        segment = job.segments[job.segment_index]
        cached = self.cache.get(segment.key)
        if cached is None:
            return False
        # The key matches other content, another organisation or other weights.
        if cached.identity != segment.identity or segment.identity[:2] != (
            job.organisation,
            self.version,
        ):
            self.false_reliance += 1
        job.hit_tokens += segment.tokens
        job.segment_index += 1
        self._pin(segment.key, job)
        self.cache.move_to_end(segment.key)
        return True

    def _next_segment(self, job: Job) -> None:
        # Segments that another job has computed meanwhile are not computed again.
        while job.segment_index < len(job.segments) and self._use_cached(job):
            pass
        if job.segment_index < len(job.segments):
            job.remaining_tokens = job.segments[job.segment_index].tokens

    def _compute(self, job: Job, budget: int) -> int:
        """Compute prompt tokens up to a budget and return their number."""
        spent = 0
        while spent < budget and job.segment_index < len(job.segments):
            segment = job.segments[job.segment_index]
            if job.remaining_tokens == segment.tokens and self._use_cached(job):
                self._next_segment(job)
                continue
            computed = min(job.remaining_tokens, budget - spent)
            job.remaining_tokens -= computed
            spent += computed
            job.computed_tokens += computed
            if job.remaining_tokens == 0:
                if segment.key in self.computed_keys:
                    self.wasted_tokens += segment.tokens
                self.computed_keys.add(segment.key)
                self._insert(segment, job)
                self.clock.call_later(EXPORT_DELAY_S, self.store.insert, segment)
                job.segment_index += 1
                self._next_segment(job)
        return spent

    def _pin(self, key: int, job: Job) -> None:
        self.pin_counts[key] = self.pin_counts.get(key, 0) + 1
        if self.pin_counts[key] == 1:
            self.pinned_tokens += self.cache[key].tokens
        job.pinned_keys.append(key)

    def _unpin(self, job: Job) -> None:
        # The root becomes the most recently used segment, so that leaves are evicted
        # first.
        for key in reversed(job.pinned_keys):
            remaining = self.pin_counts[key] - 1
            if remaining > 0:
                self.pin_counts[key] = remaining
            else:
                del self.pin_counts[key]
                self.pinned_tokens -= self.cache[key].tokens
            self.cache.move_to_end(key)
        self._evict_excess()

    def _insert(self, segment: Segment, job: Job) -> None:
        if segment.key not in self.cache:
            self.cache[segment.key] = segment
            self.cached_tokens += segment.tokens
            self.added_keys.append(segment.key)
        self._pin(segment.key, job)
        self._evict_excess()

    def _evict_excess(self) -> None:
        """Evict the least recently used segments that no running request has pinned."""
        for key in list(self.cache) if self.cached_tokens > self.capacity else ():
            if self.cached_tokens <= self.capacity:
                break
            if key not in self.pin_counts:
                self._evict(key)

    def _has_room(self, job: Job, memory_share: float) -> bool:
        """Return whether the memory, or a share of it, has room for another request."""
        needed_tokens = self.pinned_tokens + sum(
            segment.tokens
            for segment in job.segments
            if segment.key not in self.pin_counts
        )
        return needed_tokens <= memory_share * self.capacity or not self.pin_counts

    def _evict(self, key: int) -> None:
        segment = self.cache.pop(key)
        self.cached_tokens -= segment.tokens
        self.removed_keys.append(key)
        self.removed_keys.append(key)

    def next_batch(self) -> CacheBatch:
        """Return the batch of cache events since the last call."""
        # A key that was evicted and computed again within the batch counts as cached.
        added = [key for key in dict.fromkeys(self.added_keys) if key in self.cache]
        removed = [
            key for key in dict.fromkeys(self.removed_keys) if key not in self.cache
        ]
        self.added_keys.clear()
        self.removed_keys.clear()
        batch = CacheBatch(
            incarnation=self.incarnation,
            first=self.next_sequence,
            added=pack_keys(added),
            removed=pack_keys(removed),
        )
        self.next_sequence += 1
        return batch

    def snapshot(self) -> CacheBatch:
        """Return the complete cache content as a batch with a sequence number."""
        self.added_keys.clear()
        self.removed_keys.clear()
        self.next_sequence += 1
        return CacheBatch(
            incarnation=self.incarnation,
            first=self.next_sequence - 1,
            added=pack_keys(self.cache),
            snapshot=True,
        )
