"""HTTP handlers for balancers and operators: health, readiness, metrics."""

import json
from collections.abc import Callable

from tornado.web import Application, RequestHandler

from endivelug.caller_handler import RouterServices
from endivelug.callers import Caller
from endivelug.chat_request import RequestInvalid, parse_chat_request
from endivelug.explain import explain_chat, is_operator
from endivelug.refusals import problem_document


class HealthHandler(RequestHandler):
    """``GET /healthz`` and ``GET /readyz``."""

    def initialize(self, ready: Callable[[], bool]) -> None:
        """Take the check."""
        self.ready = ready

    def get(self) -> None:
        """Answer 200 or 503."""
        if not self.ready():
            self.set_status(503)
        self.write("ok\n" if self.ready() else "not ready\n")


class MetricsHandler(RequestHandler):
    """``GET /metrics`` on the operators' address."""

    def initialize(self, services: RouterServices) -> None:
        """Take the shared parts."""
        self.services = services

    def get(self) -> None:
        """Send the metrics page."""
        metrics = self.services.routing.metrics
        metrics.revision.set({}, self.services.state.configuration.revision)
        metrics.in_flight.set({}, len(self.services.in_flight))
        states: dict[str, int] = {"live": 0, "leaving": 0, "dead": 0}
        for entry in self.services.state.upstreams.values():
            states[entry.state] = states.get(entry.state, 0) + 1
        for state, count in states.items():
            metrics.upstreams.set({"state": state}, count)
        body, headers = metrics.render(self.request.headers.get_list("Accept"))
        for name, value in headers.items():
            self.set_header(name, value)
        self.write(body)


class ExplainHandler(RequestHandler):
    """``POST /explain`` on the operators' address."""

    def initialize(self, services: RouterServices) -> None:
        """Take the shared parts."""
        self.services = services

    async def post(self) -> None:
        """Explain a chat completion of an organisation without running it.

        The body has the members ``organisation``, ``request`` (the caller's body)
        and, optionally, ``work_class``.
        """
        settings, state = self.services.settings, self.services.state
        authorization = self.request.headers.get("Authorization", "")
        if not is_operator(authorization, settings.links.secret):
            self.set_status(401)
            self.finish({"remedy": "use endivelugctl explain with this VM's settings"})
            return
        try:
            body = json.loads(self.request.body)
            name = str(body["organisation"])
            name.encode()  # An unpaired surrogate is in no name.
            request = parse_chat_request(json.dumps(body["request"]).encode())
        except (
            ValueError,
            KeyError,
            TypeError,
            RecursionError,
            RequestInvalid,
        ) as error:
            self.set_status(400)
            self.finish({"remedy": f"send organisation and request ({error})"})
            return
        plan = state.configuration.plan_of(name)
        if plan is None:
            self.set_status(404)
            self.finish({"remedy": f"add {name} to the organisations and apply"})
            return
        explanation = await explain_chat(
            routing=self.services.routing,
            request=request,
            caller=Caller(organisation=name, plan=plan),
            deadlines_s=settings.router.deadlines_s(),
            requested_class=str(body.get("work_class", "")),
        )
        document = explanation.document()
        refusal = state.refusal()
        if refusal is not None:
            document["refusal"] = problem_document(refusal)[1]
        self.finish(document)


def make_admin_application(
    services: RouterServices, *, ready: Callable[[], bool]
) -> Application:
    """Return the operators' application."""
    return Application(
        [
            (r"/explain", ExplainHandler, {"services": services}),
            (r"/metrics", MetricsHandler, {"services": services}),
            (r"/healthz", HealthHandler, {"ready": lambda: True}),
            (r"/readyz", HealthHandler, {"ready": ready}),
        ],
        log_function=lambda handler: None,
    )
