"""Admits requests by their heads, and builds the responses to those that are not."""

import json
from collections.abc import Awaitable, Callable
from functools import partial
from typing import TYPE_CHECKING

from endivelug.exceptions import EndivelugError
from endivelug.forwarding.buffers.head_check import (
    Denied,
    HeadAccepted,
    HeadRefused,
    Permitted,
    check_request,
)
from endivelug.forwarding.call_recorder import CallRecorder
from endivelug.forwarding.cluster_view import ClusterView
from endivelug.forwarding.requests import InboundRequest, WireFormat
from endivelug.forwarding.response_parser import Headers

if TYPE_CHECKING:
    from endivelug.forwarding.response_writer import Writer

# Statuses that the router itself gives only to requests that did not run. What a status
# promises to callers, also one of an upstream, is in ``not_run_statuses``.
OWN_NOT_RUN_STATUSES = (400, 401, 404, 413, 429, 503)


class Admission:
    """Checks requests against the configuration in force.

    Parameters
    ----------
    is_closed : callable
        Returns whether this VM refuses new requests because it is stopping.
    retry_after_s : callable
        Returns a Retry-After time for a request that found no room.
    serve : callable
        Serves a decoded request once its body is complete; called with the result of
        the check of its head.
    """

    def __init__(
        self,
        *,
        wire: WireFormat,
        view: ClusterView,
        recorder: CallRecorder,
        clock: Callable[[], float],
        is_closed: Callable[[], bool],
        retry_after_s: Callable[[], float],
        serve: Callable[
            [InboundRequest, Permitted | None, bytes, "Writer"], Awaitable[None]
        ],
    ) -> None:
        self.wire = wire
        self.view = view
        self.recorder = recorder
        self.clock = clock
        self.is_closed = is_closed
        self.retry_after_s = retry_after_s
        self.serve = serve

    def check_head(
        self, method: str, target: str, headers: Headers, body_bytes: int
    ) -> HeadRefused | HeadAccepted:
        """Check a request before its body is read."""
        try:
            request = self.wire.decode_request(
                method=method, target=target, headers=headers, now=self.clock()
            )
        except EndivelugError as error:
            return router_response(self.wire, "", 400, str(error))
        checked = self.check(request, body_bytes)
        if isinstance(checked, Denied):
            return router_response(
                self.wire,
                request.id,
                checked.status,
                checked.reason,
                checked.retry_after_s,
            )
        organisation = checked.organisation
        return HeadAccepted(
            organisation=organisation.name if organisation else None,
            body_limit=checked.configuration.limits.body_bytes,
            serve=partial(self.serve, request, checked),
            refuse=partial(self._refuse_body, request.id),
        )

    def check_again(
        self, request: InboundRequest, checked: Permitted | None
    ) -> Denied | Permitted:
        """Check a complete request, whose head may have been checked before."""
        size = len(request.body)
        if (
            checked is not None
            and checked.configuration is self.view.configuration
            and size <= checked.configuration.limits.body_bytes
            and not self.is_closed()
        ):
            return checked
        return self.check(request, size)

    def check(self, request: InboundRequest, body_bytes: int) -> Denied | Permitted:
        """Return whether a request is served, and log one that is not allowed."""
        configuration = self.view.configuration if self.view.complete else None
        checked = check_request(
            request,
            body_bytes,
            configuration=configuration,
            closed=self.is_closed(),
        )
        if isinstance(checked, Denied) and checked.status in (401, 404):
            assert configuration is not None
            self.recorder.record_denied(
                request, checked.status, configuration=configuration.version
            )
        return checked

    def _refuse_body(self, request_id: str, status: int, reason: str) -> HeadRefused:
        retry_after_s = self.retry_after_s() if status == 503 else None
        return router_response(self.wire, request_id, status, reason, retry_after_s)


def router_response(
    wire: WireFormat,
    request_id: str,
    status: int,
    reason: str,
    retry_after_s: float | None = None,
) -> HeadRefused:
    """Return a response that the router itself gives."""
    run = "not-run" if status in OWN_NOT_RUN_STATUSES else "may-have-run"
    body = json.dumps({"status": status, "detail": reason, "run": run})
    headers = wire.refusal_headers(request_id, retry_after_s)
    return HeadRefused(status=status, headers=headers, body=body.encode())
