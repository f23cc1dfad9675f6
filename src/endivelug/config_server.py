"""Serves missing configuration revisions to peers, as deltas or snapshots."""

import asyncio
from collections.abc import Callable

from endivelug.configuration import Configuration
from endivelug.messages import ConfigDelta, ConfigRequest, ConfigSnapshot, Message

SNAPSHOT_PART_BYTES = 256 * 1024
# A snapshot stays cached for this time after the last request for one of its parts,
# so that peers can request the next part.
SNAPSHOT_CACHE_S = 20.0


class ConfigServer:
    """Answers configuration requests with deltas or with parts of a snapshot.

    Parameters
    ----------
    configuration : Configuration
        Configuration to serve.
    clock : callable
        Returns seconds.
    """

    def __init__(
        self, *, configuration: Configuration, clock: Callable[[], float]
    ) -> None:
        self.configuration = configuration
        self.clock = clock
        self._cached_snapshot: tuple[int, int, bytes] | None = None
        self._cached_until = 0.0

    def build_reply(self, message: ConfigRequest) -> Message | None:
        """Return the deltas or snapshot part to send, or None if up to date."""
        bodies = self.configuration.deltas_after(message.held)
        if message.snapshot or bodies is None:
            return self._snapshot_part(message)
        if not bodies:
            return None
        return ConfigDelta(
            first=message.held + 1,
            last=self.configuration.revision,
            digest=self.configuration.digest,
            bodies=bodies,
        )

    def _snapshot_part(self, message: ConfigRequest) -> ConfigSnapshot:
        part = message.part
        if (
            self._cached_snapshot is None
            or self._cached_snapshot[0] != message.snapshot
        ):
            part = 0
            # The cached snapshot also serves new requests as long as the deltas from
            # its revision to the current one are available.
            if self._cached_snapshot is None or self._is_outdated(
                self._cached_snapshot[0]
            ):
                digest, body = self.configuration.digest, self.configuration.snapshot()
                self._cached_snapshot = (self.configuration.revision, digest, body)
        revision, digest, body = self._cached_snapshot
        if self._cached_until <= self.clock():
            self._schedule_eviction()
        self._cached_until = self.clock() + SNAPSHOT_CACHE_S
        start = part * SNAPSHOT_PART_BYTES
        return ConfigSnapshot(
            revision=revision,
            digest=digest,
            part=part,
            parts=max(1, -(-len(body) // SNAPSHOT_PART_BYTES)),
            body=body[start : start + SNAPSHOT_PART_BYTES],
        )

    def _is_outdated(self, revision: int) -> bool:
        return self.configuration.deltas_after(revision) is None

    def _schedule_eviction(self) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(SNAPSHOT_CACHE_S, self._evict_snapshot)

    def _evict_snapshot(self) -> None:
        if self.clock() < self._cached_until:
            self._schedule_eviction()
        else:
            self._cached_snapshot = None
