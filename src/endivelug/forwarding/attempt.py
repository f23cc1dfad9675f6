"""Sends a call to one instance and relays the response to the caller."""

import asyncio
from collections.abc import Callable

from endivelug.exceptions import (
    NoDescriptor,
    UpstreamBroken,
    UpstreamUnreachable,
)
from endivelug.forwarding import attempt_limits
from endivelug.forwarding.calls import (
    AttemptOutcome,
    Call,
    Delivered,
    Failed,
    GivenUp,
    Lost,
    NotRun,
    NotSent,
)
from endivelug.forwarding.cluster_view import ClusterView
from endivelug.forwarding.connection_pool import MAX_IDLE_S, ConnectionPool
from endivelug.forwarding.engine_reach import EngineReach, Reach
from endivelug.forwarding.placement import Placement
from endivelug.forwarding.requests import ResponseInfo, SendOptions, WireFormat
from endivelug.forwarding.response_writer import Writer
from endivelug.forwarding.upstream_connection import (
    BodyData,
    BodyEnd,
    ResponseEvent,
    ResponseHead,
    UpstreamConnection,
)

# The upstream may have closed a connection that was idle for longer. A request that may
# run only once is not sent on such a connection, because it could be lost there.
NON_REPEATABLE_MAX_IDLE_S = 3.0
SILENCE_CHECK_INTERVAL_S = 0.2
# Time limit of the connection that tells whether an upstream still lives; packets may
# wait for half a second on a busy link.
END_CHECK_TIMEOUT_S = 0.7
MAX_PRIORITY = 9
# A stream that brings more events at once pauses for each of them, so that tiny events
# without end leave most of the processor to other requests.
MAX_EVENTS_A_TURN = 64
EVENT_PAUSE_S = 0.0001


class AttemptRunner:
    """Runs single attempts of calls.

    Parameters
    ----------
    on_started : callable
        Called with the call and its placement at the first byte of a successful
        response.
    on_head : callable
        Called with the call, its placement and what the head of any response states.
    on_events : callable
        Called with the call after events of its stream have arrived.
    is_blocked : callable
        Returns whether a call that was sent is to be given up before it is answered,
        because its prompt turned out to crash engines.
    may_retry : callable
        Returns whether a call may be sent to another upstream at present.
    """

    def __init__(
        self,
        *,
        wire: WireFormat,
        pool: ConnectionPool,
        view: ClusterView,
        reach: EngineReach,
        clock: Callable[[], float],
        on_started: Callable[[Call, Placement], None],
        on_head: Callable[[Call, Placement, ResponseInfo], None],
        on_events: Callable[[Call], None],
        is_blocked: Callable[[Call], bool],
        may_retry: Callable[[Call], bool],
    ) -> None:
        self.wire = wire
        self.pool = pool
        self.view = view
        self.reach = reach
        self.pauses = reach.pauses
        self.clock = clock
        self.on_started = on_started
        self.on_head = on_head
        self.on_events = on_events
        self.is_blocked = is_blocked
        self.may_retry = may_retry

    async def run(
        self, call: Call, placement: Placement, writer: Writer
    ) -> AttemptOutcome:
        """Send the call to the chosen instance and return how the attempt ended.

        Raises
        ------
        CallerLeft
            If the caller has closed its connection before the call was sent.
        """
        writer.check_connected()
        address = placement.instance.address
        idle_s = MAX_IDLE_S if call.repeatable else NON_REPEATABLE_MAX_IDLE_S
        connecting_at = self.clock()
        connect_timeout_s = attempt_limits.connect_timeout_s(call, now=connecting_at)
        try:
            connection = await self.pool.acquire(
                address,
                timeout_s=connect_timeout_s,
                max_idle_s=idle_s,
                request_id=call.request.id,
            )
        except UpstreamUnreachable as error:
            paused = self.pauses.running_since() > connecting_at
            local = paused or isinstance(error, NoDescriptor)
            return NotSent(reason=str(error), local=local)
        info: ResponseInfo | None = None
        try:
            # Connecting may have taken a while.
            writer.check_connected()
            try:
                self._send(call, placement, connection)
            except UpstreamBroken as error:
                return NotSent(reason=str(error))
            call.sent_at = self.clock()
            call.sends += 1
            call.runs += 1
            call.events = 0
            call.begun = False
            outcome, info = await self._handle_response(
                call, placement, connection, writer
            )
            return outcome
        except UpstreamBroken as error:
            return Lost(reason=str(error), closed=connection.closed_by_peer)
        except TimeoutError:
            if self.is_blocked(call):
                return GivenUp()
            return Lost(reason="no answer in time")
        finally:
            if info is not None:
                self.pool.release(address, connection, idle_s=info.idle_s)
            else:
                connection.abort()

    def _send(
        self, call: Call, placement: Placement, connection: UpstreamConnection
    ) -> None:
        request = call.request
        organisation = call.organisation
        generation = placement.weights is not None
        options = SendOptions(
            instance=placement.instance.name,
            remaining_s=call.deadline - self.clock(),
            organisation=organisation.name if organisation else None,
            weights=placement.weights,
            cache_namespace=placement.namespace,
            fetch_from=placement.fetch_from,
            save_to=placement.save_to,
            priority=min(MAX_PRIORITY, call.priority) if generation else None,
            last_event=call.splitter.last_id or request.last_event,
            backup_to=placement.backup.address if placement.backup else None,
            continue_at=placement.continue_at,
        )
        head = self.wire.upstream_head(request, options)

        def accepts(response: ResponseHead) -> bool:
            return self.wire.matches_request(request, response)

        connection.send(head, request.body, accepts=accepts)

    async def _handle_response(
        self,
        call: Call,
        placement: Placement,
        connection: UpstreamConnection,
        writer: Writer,
    ) -> tuple[AttemptOutcome, ResponseInfo | None]:
        """Return the outcome, and the response info if the connection is reusable."""
        head = await self._read_head(call, placement, connection)
        info = self.wire.response_info(head, instance=placement.instance.name)
        self.on_head(call, placement, info)
        if not info.identified and not connection.is_new:
            # It may answer an earlier request, or none.
            return Lost(reason="an error without an id on a used connection"), None
        if info.not_run:
            call.runs -= 1
            await self._read_body(call, connection)
            return (
                NotRun(
                    status=head.status,
                    reason="refused",
                    other_instance=info.other_instance,
                ),
                info,
            )
        if not 200 <= head.status < 300:
            body = await self._read_body(call, connection)
            return Failed(head=head, body=body), info
        if not info.signed:
            return Lost(reason="the answer bears no signature"), None
        if call.head is not None and not head.continues(call.head):
            return Lost(reason="the answer does not continue the stream"), None
        call.begun = True
        if call.route.streaming:
            return await self._relay_stream(
                call, placement, connection, writer, head, info
            )
        self._report_started(call, placement)
        body = await self._read_body(call, connection)
        await self._check_complete(call, head, placement)
        await writer.start(
            head.status, head.reason, self.wire.caller_headers(head), body
        )
        return Delivered(), info

    async def _read_head(
        self, call: Call, placement: Placement, connection: UpstreamConnection
    ) -> ResponseHead:
        now = self.clock()
        first_byte_deadline = attempt_limits.first_byte_deadline(
            call, expected_s=placement.expected_s, now=now
        )
        silence_timeout_s = attempt_limits.silence_timeout_s(
            call, expected_s=placement.expected_s
        )
        event = await self._wait_for_event(
            connection,
            deadline=first_byte_deadline,
            leave=lambda: (
                self.is_blocked(call)
                or self._is_engine_silent(placement, now, silence_timeout_s)
            ),
        )
        assert isinstance(event, ResponseHead)
        return event

    async def _wait_for_event(
        self,
        connection: UpstreamConnection,
        *,
        deadline: float,
        leave: Callable[[], bool],
    ) -> ResponseEvent:
        """Return the next event of a response.

        Raises
        ------
        TimeoutError
            If the deadline passes or ``leave`` returns True; it is called regularly.
        """
        event = connection.take_event()
        passed = False
        while event is None:
            wait_s = min(deadline - self.clock(), SILENCE_CHECK_INTERVAL_S)
            await connection.wait_for_event(timeout_s=max(0.0, wait_s))
            event = connection.take_event()
            if self.clock() >= deadline and not passed:
                # After a pause, the answer may not have been read yet.
                passed, deadline = True, self.pauses.extend(deadline)
            if event is None and (self.clock() >= deadline or leave()):
                raise TimeoutError
        return event

    def _is_engine_silent(
        self, placement: Placement, sent_at: float, silence_timeout_s: float | None
    ) -> bool:
        """Return whether to leave an engine that sends nothing to any VM."""
        if silence_timeout_s is None:
            return False
        load = self.view.loads.of(placement.instance.name)
        heard_at = max(load.last_heard_at, sent_at, self.pauses.running_since())
        return load.silent or self.clock() - heard_at > silence_timeout_s

    def _can_leave_unreachable(self, call: Call, placement: Placement) -> bool:
        """Return whether a stream can go on elsewhere, as its engine is unreachable."""
        load = self.view.loads.of(placement.instance.name)
        if call.may_run_again:
            return load.unreachable
        has_backup = placement.backup is not None and not call.continued
        return load.cut_off and has_backup and call.streaming

    async def _read_body(self, call: Call, connection: UpstreamConnection) -> bytes:
        async with asyncio.timeout(max(0.0, self._remaining_s(call))):
            return await self.pool.read_body(connection)

    async def _relay_stream(
        self,
        call: Call,
        placement: Placement,
        connection: UpstreamConnection,
        writer: Writer,
        head: ResponseHead,
        info: ResponseInfo,
    ) -> tuple[AttemptOutcome, ResponseInfo | None]:
        """Relay complete events to the caller as they arrive."""
        splitter = call.splitter
        splitter.discard_partial()
        name, loads = placement.instance.name, self.view.loads
        # Only complete events count as progress: an engine that stalls may still send a
        # byte now and then.
        progress_at = self.clock()
        while True:
            event = await self._wait_for_more(call, placement, connection, progress_at)
            loads.record_byte(name, now=self.clock())
            match event:
                case BodyData(data=data):
                    self._report_started(call, placement)
                    events = splitter.feed(data)
                    if events:
                        call.record_events(len(events), now=self.clock())
                        self.on_events(call)
                        await self._write_response(call, writer, head, b"".join(events))
                        # After the write, which waits for a slow caller.
                        progress_at = self.clock()
                    self.pool.kept_answers.hold(connection, len(splitter.partial))
                    # After the write: what was split off counts as delivered.
                    if splitter.overflow:
                        raise UpstreamBroken("an event has no end; look at the engine")
                    if splitter.goes_back:
                        raise UpstreamBroken("an event came twice; look at the engine")
                    if len(events) > MAX_EVENTS_A_TURN:
                        await asyncio.sleep(len(events) * EVENT_PAUSE_S)
                case BodyEnd():
                    if splitter.partial and (call.streaming or head.is_event_stream):
                        raise UpstreamBroken("the stream ended inside an event")
                    await self._check_complete(call, head, placement)
                    if splitter.partial or not call.streaming:
                        await self._write_response(
                            call, writer, head, bytes(splitter.partial)
                        )
                    await writer.finish()
                    return Delivered(), info

    async def _wait_for_more(
        self,
        call: Call,
        placement: Placement,
        connection: UpstreamConnection,
        progress_at: float,
    ) -> ResponseEvent:
        """Return the next event; a silent engine is left only for another one."""

        def leave() -> bool:
            return self.is_blocked(call) or self._can_leave_unreachable(call, placement)

        limit = attempt_limits.next_event_deadline(call, now=progress_at)
        try:
            return await self._wait_for_event(connection, deadline=limit, leave=leave)
        except TimeoutError:
            if leave() or not call.streaming or self.may_retry(call):
                raise
        return await self._wait_for_event(
            connection, deadline=call.deadline, leave=leave
        )

    async def _write_response(
        self, call: Call, writer: Writer, head: ResponseHead, data: bytes
    ) -> None:
        if not call.streaming:
            call.streaming = True
            call.head = head
            headers = self.wire.caller_headers(head)
            await writer.start(head.status, head.reason, headers)
        if data:
            await writer.write(data)

    async def _check_complete(
        self, call: Call, head: ResponseHead, placement: Placement
    ) -> None:
        """Look whether the upstream still lives, if only that tells the end of a body.

        Raises
        ------
        UpstreamBroken
            If the body ended with its connection and nothing answers there any more: a
            crash ends it in the same way.
        """
        if not head.ends_with_connection:
            return
        address = placement.instance.address
        limit_s = max(0.0, min(END_CHECK_TIMEOUT_S, self._remaining_s(call)))
        shown = await self.reach.check(address, timeout_s=limit_s)
        if shown in (Reach.REFUSES, Reach.NO_ANSWER):
            raise UpstreamBroken("the answer has no length, and its upstream has ended")

    def _report_started(self, call: Call, placement: Placement) -> None:
        work = self.view.loads.of(placement.instance.name).work.get(call.key)
        if work is None or work.started:
            return
        self.on_started(call, placement)

    def _remaining_s(self, call: Call) -> float:
        return call.deadline - attempt_limits.RESPONSE_MARGIN_S - self.clock()
