"""Calls to plain services (upstreams that are not engines).

A call that may have effects is claimed, dispatched at most once and recorded.
Duplicates of it get the recorded response.
"""

import asyncio
import contextlib
import secrets
import time
from collections.abc import Callable
from dataclasses import dataclass, replace

from endivelug.claim_writer import ClaimWriter
from endivelug.claims import (
    MAX_RECORDED_BODY,
    Claim,
    ClaimAcquired,
    ClaimConflict,
    ClaimReplaceable,
    Completed,
    Record,
    Unresolved,
    claim_keys,
    claim_result,
    claim_transaction,
    outcome_for_duplicate,
    outcome_transaction,
    release_transaction,
    request_digest,
)
from endivelug.exceptions import (
    ObjectStoreUnavailable,
    TableOutcomeUnknown,
    TableUnavailable,
    UpstreamBroken,
    UpstreamUnreachable,
)
from endivelug.object_store import ObjectStore
from endivelug.refusals import InProgress, MayHaveRun, NotRun, Outcome, Ran
from endivelug.service_client import ServiceClient, ServiceRequest, ServiceResponse
from endivelug.transactions import (
    TransactionResult,
)

# Calls with these methods need no claim. PUT and DELETE are idempotent by RFC 9110, but
# a service may bill each of them.
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
MAX_KEY_LENGTH = 255
MAX_SAFE_ATTEMPTS = 2
MAX_CLAIM_ATTEMPTS = 3
# Longest time for which a call waits for its claim to be written.
CLAIM_WAIT_S = 2.0
# Longest time for which the response to the caller waits for the outcome to be recorded
# or the claim to be released.
RECORD_WAIT_S = 0.25
# The deadline in the claim is this much later than that of the call, because the
# outcome is recorded after the call ends.
RECORD_MARGIN_S = 5.0
TABLE_RETRY_AFTER_S = 2.0


@dataclass(slots=True, kw_only=True)
class _UnrecordedCall:
    """A call dispatched by this process whose outcome is not yet in the table."""

    digest: bytes
    # The outcome for duplicates: ``InProgress`` until the call ends.
    outcome: Outcome


class ServiceCalls:
    """Runs calls to plain services, at most once for each idempotency key.

    Parameters
    ----------
    vm : str
        Name of this VM.
    writer : ClaimWriter
        Writes claims and outcomes to the table.
    client : ServiceClient
        Sends the calls.
    objects : ObjectStore
        Stores response bodies over 16 KiB.
    may_retry : callable
        Called before a call with a safe method is retried; returns whether the retry
        budget allows it.
    clock : callable
        Returns monotonic seconds.
    wall_clock : callable
        Returns Unix seconds.

    Attributes
    ----------
    dispatched, duplicates, released : int
        Calls sent, requests that got the outcome of an earlier one, claims released.
    """

    def __init__(
        self,
        *,
        vm: str,
        writer: ClaimWriter,
        client: ServiceClient,
        objects: ObjectStore,
        may_retry: Callable[[], bool] = lambda: True,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self.vm = vm
        self.writer = writer
        self.client = client
        self.objects = objects
        self.may_retry = may_retry
        self.clock = clock
        self.wall_clock = wall_clock
        self.dispatched = 0
        self.duplicates = 0
        self.released = 0
        # By organisation and idempotency key.
        self._unrecorded: dict[tuple[str, str], _UnrecordedCall] = {}
        self._running: set[asyncio.Task[Outcome]] = set()

    async def call(
        self,
        request: ServiceRequest,
        *,
        organisation: str,
        idempotency_key: str | None,
        urls: list[str],
        deadline: float,
    ) -> Outcome:
        """Run one call, to its end even if the caller is cancelled.

        Parameters
        ----------
        request : ServiceRequest
            The call.
        organisation : str
            Organisation of the caller.
        idempotency_key : str or None
            Value of the ``Idempotency-Key`` header.
        urls : list of str
            Base URLs of usable upstreams of the service, in order of preference.
        deadline : float
            Monotonic seconds.

        Returns
        -------
        Outcome
            The response (``Ran``) or a refusal. ``NotRun`` concerns this request only:
            it was not and will not be dispatched. If the table is not available,
            ``earlier_unknown`` is set: an earlier request with the key may have run.
        """
        if request.method in SAFE_METHODS:
            return await self._call_safe(request, urls=urls, deadline=deadline)
        if not idempotency_key or len(idempotency_key) > MAX_KEY_LENGTH:
            return NotRun(
                kind="idempotency-key-required",
                status=400,
                remedy=f"send an Idempotency-Key of 1 to {MAX_KEY_LENGTH} characters",
            )
        # A separate task, as a cancelled caller must not leave a call unrecorded.
        task = asyncio.create_task(
            self._call_claimed(request, organisation, idempotency_key, urls, deadline)
        )
        self._running.add(task)
        task.add_done_callback(self._running.discard)
        return await asyncio.shield(task)

    async def drain(self, *, deadline: float) -> int:
        """Wait for running calls and their records; return how many did not finish.

        Parameters
        ----------
        deadline : float
            Monotonic seconds.
        """
        while self._running and self.clock() < deadline:
            await asyncio.wait(self._running, timeout=deadline - self.clock())
        return len(self._running) + await self.writer.drain(deadline=deadline)

    async def _call_safe(
        self, request: ServiceRequest, *, urls: list[str], deadline: float
    ) -> Outcome:
        """Run a call with a safe method, which may be retried."""
        refusal: Outcome = _no_upstream()
        for attempt in range(MAX_SAFE_ATTEMPTS):
            if attempt and not (self.may_retry() and self.clock() < deadline):
                break
            if not urls:
                break
            url = urls[attempt % len(urls)]
            try:
                response = await self.client.send(request, url=url, deadline=deadline)
                return _ran(response)
            except UpstreamUnreachable:
                continue
            except UpstreamBroken:
                refusal = MayHaveRun(
                    kind="upstream-broken", remedy="repeat the request; it is safe"
                )
        return refusal

    async def _call_claimed(
        self,
        request: ServiceRequest,
        organisation: str,
        idempotency_key: str,
        urls: list[str],
        deadline: float,
    ) -> Outcome:
        """Claim a call, dispatch it and record its outcome."""
        digest = request_digest(
            method=request.method,
            target=f"{request.service}{request.target}",
            body=request.body,
        )
        call_key = (organisation, idempotency_key)
        earlier = self._unrecorded.get(call_key)
        if earlier is not None and earlier.digest == digest:
            self.duplicates += 1
            outcome = earlier.outcome
            if isinstance(outcome, Ran):
                outcome = replace(outcome, replayed=True)
            return outcome
        now = self.wall_clock()
        claim = Claim(
            keys=claim_keys(
                organisation=organisation, idempotency_key=idempotency_key, now=now
            ),
            request_digest=digest,
            claimant=self.vm,
            token=secrets.token_bytes(16),
            deadline=now + max(0.0, deadline - self.clock()) + RECORD_MARGIN_S,
        )
        replaceable: dict[str, bytes] = {}
        result: ClaimAcquired | ClaimConflict | ClaimReplaceable = ClaimReplaceable(
            rows=replaceable
        )
        for _ in range(MAX_CLAIM_ATTEMPTS):
            if not isinstance(result, ClaimReplaceable):
                break
            replaceable = result.rows
            try:
                result = await self._write_claim(
                    claim, replaceable=replaceable, deadline=deadline
                )
            except TableUnavailable:
                return _claims_unavailable()
            except TableOutcomeUnknown:
                self._release(claim, replaceable)
                return _claims_unavailable()
        if isinstance(result, ClaimConflict):
            self.duplicates += 1
            return await self._duplicate_outcome(result.record, digest=digest)
        if isinstance(result, ClaimReplaceable):
            # Other attempts claimed and released the key between ours.
            return _claim_contended()
        call = _UnrecordedCall(digest=digest, outcome=InProgress())
        self._unrecorded[call_key] = call
        outcome = await self._dispatch(request, claim, urls=urls, deadline=deadline)
        call.outcome = outcome
        if isinstance(outcome, NotRun):
            del self._unrecorded[call_key]
            # A retry that arrives before the release would get "in progress".
            release = self._release(claim, replaceable)
            await asyncio.wait([release], timeout=RECORD_WAIT_S)
            return outcome
        record = self.writer.run_in_background(
            outcome_transaction(claim, await self._final_state(claim, outcome))
        )
        record.add_done_callback(lambda _: self._unrecorded.pop(call_key, None))
        await asyncio.wait([record], timeout=RECORD_WAIT_S)
        return outcome

    async def _write_claim(
        self, claim: Claim, *, replaceable: dict[str, bytes], deadline: float
    ) -> ClaimAcquired | ClaimConflict | ClaimReplaceable:
        result = await self.writer.run(
            claim_transaction(claim, replaceable=replaceable),
            deadline=min(deadline, self.clock() + CLAIM_WAIT_S),
        )
        return claim_result(claim, result)

    async def _dispatch(
        self,
        request: ServiceRequest,
        claim: Claim,
        *,
        urls: list[str],
        deadline: float,
    ) -> Outcome:
        """Send a claimed call; try another upstream only while nothing was sent."""
        for url in urls:
            if self.clock() >= deadline:
                return NotRun(
                    kind="deadline-passed",
                    status=504,
                    remedy="repeat the request with a later deadline",
                    retry_after_s=0.0,
                )
            try:
                response = await self.client.send(request, url=url, deadline=deadline)
            except UpstreamUnreachable:
                continue
            except UpstreamBroken:
                self.dispatched += 1
                return MayHaveRun(kind="upstream-broken")
            self.dispatched += 1
            return _ran(response)
        return _no_upstream()

    async def _final_state(
        self, claim: Claim, outcome: Outcome
    ) -> Completed | Unresolved:
        """Return the state to record for an outcome; store a large response body."""
        match outcome:
            case Ran(status=status, content_type=content_type, body=body):
                name = ""
                if body is not None and len(body) > MAX_RECORDED_BODY:
                    name = await self._store_body(claim, body)
                    body = None
                return Completed(
                    status=status,
                    content_type=content_type,
                    body=body,
                    object_name=name,
                )
            case MayHaveRun(kind=kind):
                return Unresolved(kind=kind)
            case _:
                raise AssertionError(f"{outcome!r} is not the outcome of a dispatch")

    async def _store_body(self, claim: Claim, body: bytes) -> str:
        """Store a response body; return its object name, empty if that failed."""
        name = f"{claim.key}/{claim.token.hex()}"
        try:
            await self.objects.put(name, body)
        except ObjectStoreUnavailable:
            return ""
        return name

    async def _duplicate_outcome(self, record: Record, *, digest: bytes) -> Outcome:
        """Return the outcome for a duplicate, with its body from the object store."""
        outcome = outcome_for_duplicate(record, digest=digest, now=self.wall_clock())
        state = record.state
        name = state.object_name if isinstance(state, Completed) else ""
        if isinstance(outcome, Ran) and name:
            with contextlib.suppress(ObjectStoreUnavailable):
                outcome.body = await self.objects.get(name)
        return outcome

    def _release(
        self, claim: Claim, replaceable: dict[str, bytes]
    ) -> "asyncio.Future[TransactionResult]":
        """Release a claim in the background."""
        self.released += 1
        return self.writer.run_in_background(
            release_transaction(claim, replaceable=replaceable)
        )


def _ran(response: ServiceResponse) -> Ran:
    return Ran(
        status=response.status,
        content_type=response.content_type,
        body=response.body,
    )


def _no_upstream() -> NotRun:
    return NotRun(
        kind="no-upstream",
        status=503,
        remedy="repeat the request; no upstream of the service can be reached",
        retry_after_s=1.0,
    )


def _claims_unavailable() -> NotRun:
    return NotRun(
        kind="claims-unavailable",
        status=503,
        remedy="repeat with the same Idempotency-Key; this request was not run, but "
        "an earlier one with this key may have been",
        retry_after_s=TABLE_RETRY_AFTER_S,
        earlier_unknown=True,
    )


def _claim_contended() -> NotRun:
    return NotRun(
        kind="claim-contended",
        status=503,
        remedy="repeat with the same Idempotency-Key",
        retry_after_s=0.1,
    )
