"""HTTP handler for calls to plain services."""

import json
from dataclasses import replace

from endivelug.authentication import authorise
from endivelug.caller_handler import CallerHandler
from endivelug.plan_limits import plan_limits
from endivelug.refusals import InProgress, MayHaveRun, NotRun, Outcome, Ran, Refusal
from endivelug.service_calls import ServiceCalls
from endivelug.service_client import ServiceRequest


class ServiceHandler(CallerHandler):
    """Any method below ``/services/{name}/``."""

    # Whether the claims were consulted; only then does a refusal also cover earlier
    # requests with the same idempotency key.
    claims_consulted = False
    SUPPORTED_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")

    async def serve(self, name: str, _: str) -> None:
        """Run the call and send its outcome."""
        if self.send_early_refusal():
            return
        assert self.caller is not None
        # The raw path is used, because the decoded one can contain '?', '#', spaces
        # and line breaks.
        path = self.request.path.split("/", 3)[3]
        calls = self.context.service_calls.get(name)
        refusal = authorise(self.caller.plan, route=name)
        if refusal is not None:
            self.refuse(refusal)
            return
        if calls is None:
            self.refuse(
                NotRun(
                    kind="service-unknown",
                    status=404,
                    remedy="use the name of a service of your plan",
                )
            )
            return
        self.record_request(name, self.caller.plan.work_class.get(name, "interactive"))
        outcome = await self.run_call(calls, name, path)
        self.context.routing.metrics.claims.inc(
            {"service": name, "outcome": type(outcome).__name__}
        )
        match outcome:
            case Ran():
                self.send_result(outcome)
            case NotRun() | InProgress() | MayHaveRun():
                self.refuse(outcome)

    async def run_call(self, calls: ServiceCalls, name: str, path: str) -> Outcome:
        """Charge the organisation's limits and run the call."""
        assert self.caller is not None
        routing, organisation = self.context.routing, self.caller.organisation
        refusal = await routing.shares.acquire(
            organisation, limits=plan_limits(self.caller.plan), tokens=0
        )
        if refusal is not None:
            return refusal
        query = f"?{self.request.query}" if self.request.query else ""
        headers = {key: value for key, value in self.request.headers.get_all()}
        timeout_s = self.context.settings.pools[name].timeout_s
        requested_s = self.requested_deadline_s()
        if requested_s is not None:
            timeout_s = min(timeout_s, requested_s)
        self.claims_consulted = True
        try:
            return await calls.call(
                ServiceRequest(
                    service=name,
                    method=self.request.method or "GET",
                    target=f"/{path}{query}",
                    headers=headers,
                    body=bytes(self.body),
                ),
                organisation=organisation,
                idempotency_key=self.request.headers.get("Idempotency-Key"),
                urls=self.upstream_urls(name),
                deadline=routing.clock() + timeout_s,
            )
        finally:
            routing.shares.limiter.release(organisation)

    def refuse(self, refusal: Refusal) -> None:
        """Send a refusal as a problem document.

        A duplicate that is refused before the claims were consulted has not run, but
        an earlier request with the same idempotency key may have.
        """
        has_key = "Idempotency-Key" in self.request.headers
        if isinstance(refusal, NotRun) and has_key and not self.claims_consulted:
            refusal = replace(refusal, earlier_unknown=True)
        super().refuse(refusal)

    def upstream_urls(self, name: str) -> list[str]:
        """Return the URLs of the usable upstreams in random order."""
        routing = self.context.routing
        scheme = "https" if self.context.settings.pools[name].tls_ca else "http"
        now = routing.clock()
        urls = [
            f"{scheme}://{entry.address}"
            for entry in self.context.state.live_services(name)
            if routing.ejector.is_usable(entry.name, now=now)
        ]
        routing.rng.shuffle(urls)
        return urls

    def send_result(self, outcome: Ran) -> None:
        """Send the response of the service."""
        self.set_status(outcome.status)
        if outcome.replayed:
            self.set_header("Idempotent-Replay", "true")
        if outcome.body is None:
            self.set_header("Content-Type", "application/problem+json")
            self.finish(
                json.dumps(
                    {
                        "title": "answer not kept",
                        "status": outcome.status,
                        "run": "ran",
                        "remedy": "the call ran; read its effect at the service",
                    }
                )
            )
            return
        if outcome.content_type:
            self.set_header("Content-Type", outcome.content_type)
        if self.request.method == "HEAD" or outcome.status in (204, 304):
            self.finish()
        else:
            self.finish(outcome.body)

    get = head = post = put = patch = delete = options = serve
