"""HTTP handlers for load balancers and operators: health, metrics, explain."""

import json
from collections.abc import Callable

from tornado.web import Application, RequestHandler

from endivelug.authentication import Caller
from endivelug.caller_handler import HandlerContext
from endivelug.chat_request import RequestInvalid, parse_chat_request
from endivelug.explain import explain_chat, has_operator_token
from endivelug.refusals import problem_document


class HealthHandler(RequestHandler):
    """``GET /healthz`` and ``GET /readyz``."""

    def initialize(self, ready: Callable[[], bool]) -> None:
        """Store the readiness check."""
        self.ready = ready

    def get(self) -> None:
        """Respond with 200 if ready, else with 503."""
        if not self.ready():
            self.set_status(503)
        self.write("ok\n" if self.ready() else "not ready\n")


class MetricsHandler(RequestHandler):
    """``GET /metrics`` on the address for operators."""

    def initialize(self, context: HandlerContext) -> None:
        """Store the shared objects."""
        self.context = context

    def get(self) -> None:
        """Send the metrics in the exposition format."""
        metrics = self.context.routing.metrics
        metrics.revision.set({}, self.context.state.configuration.revision)
        metrics.in_flight.set({}, len(self.context.in_flight))
        states: dict[str, int] = {"live": 0, "leaving": 0, "dead": 0}
        for entry in self.context.state.upstreams.values():
            states[entry.state] = states.get(entry.state, 0) + 1
        for state, count in states.items():
            metrics.upstreams.set({"state": state}, count)
        body, headers = metrics.render(self.request.headers.get_list("Accept"))
        for name, value in headers.items():
            self.set_header(name, value)
        self.write(body)


class ExplainHandler(RequestHandler):
    """``POST /explain`` on the address for operators."""

    def initialize(self, context: HandlerContext) -> None:
        """Store the shared objects."""
        self.context = context

    async def post(self) -> None:
        """Explain how an organisation's chat completion would be routed.

        The request is not run.

        The body has the members ``organisation``, ``request`` (the caller's body)
        and, optionally, ``work_class``.
        """
        settings, state = self.context.settings, self.context.state
        authorization = self.request.headers.get("Authorization", "")
        if not has_operator_token(authorization, settings.links.secret):
            self.set_status(401)
            self.finish({"remedy": "use endivelugctl explain with this VM's settings"})
            return
        try:
            body = json.loads(self.request.body)
            name = str(body["organisation"])
            name.encode()  # Rejects unpaired surrogates.
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
            routing=self.context.routing,
            request=request,
            caller=Caller(organisation=name, plan=plan),
            deadlines_s=settings.router.deadlines_s(),
            requested_class=str(body.get("work_class", "")),
        )
        document = explanation.to_dict()
        refusal = state.refusal()
        if refusal is not None:
            document["refusal"] = problem_document(refusal)[1]
        self.finish(document)


def make_admin_application(
    context: HandlerContext, *, ready: Callable[[], bool]
) -> Application:
    """Create the application that serves operators."""
    return Application(
        [
            (r"/explain", ExplainHandler, {"context": context}),
            (r"/metrics", MetricsHandler, {"context": context}),
            (r"/healthz", HealthHandler, {"ready": lambda: True}),
            (r"/readyz", HealthHandler, {"ready": ready}),
        ],
        log_function=lambda handler: None,
    )
