"""Subscription to the cache events of one engine over WebSocket."""

import asyncio
import random
import ssl
from collections.abc import Callable
from typing import Any

import cbor2

from endivelug._websocket import connect
from endivelug.cached_keys import BatchOutcome, CacheBatch
from endivelug.exceptions import LinkClosed

CONNECT_TIMEOUT_S = 2.0
# Cached keys expire after 10 s without events, so a silent stream is replaced before.
IDLE_TIMEOUT_S = 8.0
RETRY_MIN_S = 0.1
RETRY_MAX_S = 2.0
# A snapshot of 53,000 keys is 424 KB; the limit leaves room for larger caches.
MAX_BATCH_BYTES = 16 * 1024 * 1024

Apply = Callable[[CacheBatch], BatchOutcome | None]
ResumePoint = Callable[[], tuple[int, int] | None]


def decode_batch(data: bytes) -> CacheBatch:
    """Decode one batch of events.

    Raises
    ------
    ValueError
        If the bytes are not a well-formed batch.
    """
    try:
        document: Any = cbor2.loads(data)
        batch = CacheBatch(
            incarnation=document["incarnation"],
            first=document["first"],
            added=document.get("added", b""),
            removed=document.get("removed", b""),
            snapshot=document.get("snapshot", False) is True,
        )
    except (cbor2.CBORDecodeError, KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"not a batch of cache events ({error})") from error
    if type(batch.incarnation) is not int or type(batch.first) is not int:
        raise ValueError("incarnation and sequence number must be integers")
    if type(batch.added) is not bytes or type(batch.removed) is not bytes:
        raise ValueError("keys must be byte strings")
    return batch


class CacheEventSubscription:
    """Keeps one subscription open and resumes it after a gap.

    Parameters
    ----------
    address : str
        IP address and port of the engine.
    apply : callable
        Applies each batch. On ``GAP`` or None, the subscription is opened again.
    resume_point : callable
        Returns the incarnation and sequence number to resume after, or None if the
        engine is no longer owned.
    rng : random.Random
        Source of the retry jitter.
    """

    def __init__(
        self,
        *,
        address: str,
        apply: Apply,
        resume_point: ResumePoint,
        rng: random.Random,
        credential: str = "",
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self.address = address
        self.apply = apply
        self.resume_point = resume_point
        self.rng = rng
        self.tls = tls
        self.batches = 0
        self.received_bytes = 0
        self.malformed = 0
        self.subscriptions = 0
        self._headers = {"Authorization": f"Bearer {credential}"} if credential else {}

    async def run(self) -> None:
        """Receive until cancelled or until the engine is no longer owned."""
        delay_s = RETRY_MIN_S
        while (point := self.resume_point()) is not None:
            incarnation, after = point
            before = self.batches
            try:
                await self._receive(incarnation, after)
            except LinkClosed:
                pass
            if self.batches > before:
                delay_s = RETRY_MIN_S
            await asyncio.sleep(self.rng.uniform(0.5, 1.0) * delay_s)
            delay_s = min(delay_s * 2, RETRY_MAX_S)

    async def _receive(self, incarnation: int, after: int) -> None:
        scheme = "ws" if self.tls is None else "wss"
        query = f"incarnation={incarnation}&after={after}"
        socket = await connect(
            f"{scheme}://{self.address}/v1/cache_events?{query}",
            headers=self._headers,
            tls=self.tls,
            max_size=MAX_BATCH_BYTES,
            timeout_s=CONNECT_TIMEOUT_S,
        )
        self.subscriptions += 1
        finished = asyncio.Event()
        last_received_at = 0.0
        loop = asyncio.get_running_loop()

        def receive(data: bytes) -> None:
            nonlocal last_received_at
            last_received_at = loop.time()
            self.received_bytes += len(data)
            if finished.is_set():
                return
            try:
                applied = self.apply(decode_batch(data))
            except ValueError:
                self.malformed += 1
                finished.set()
                return
            self.batches += 1
            if applied in (BatchOutcome.GAP, None):
                finished.set()

        try:
            last_received_at = loop.time()
            socket.set_receiver(receive)
            socket.closed.add_done_callback(lambda closed: finished.set())
            while (
                not finished.is_set()
                and loop.time() - last_received_at < IDLE_TIMEOUT_S
            ):
                try:
                    async with asyncio.timeout_at(last_received_at + IDLE_TIMEOUT_S):
                        await finished.wait()
                except TimeoutError:
                    continue
        finally:
            socket.close_soon()
