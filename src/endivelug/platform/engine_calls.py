"""Control calls to an engine: reading its report and ordering new weights."""

import json
from collections.abc import Callable
from typing import Any

from endivelug.exceptions import UpstreamBroken
from endivelug.forwarding.connection_pool import BufferedResponse, ConnectionPool
from endivelug.forwarding.instances import Instance
from endivelug.forwarding.upstream_connection import RequestHead
from endivelug.forwarding.weights_rollout import (
    ORDER_TIMEOUT_S,
    EngineReport,
    OrderReply,
    WeightsOrder,
)
from endivelug.platform.documents import (
    DocumentUnreadable,
    is_integer,
    read_object,
)

REPORT_TIMEOUT_S = 0.7


class EngineCalls:
    """Client of the engines' control interface."""

    def __init__(self, *, pool: ConnectionPool) -> None:
        self.pool = pool

    async def report(self, instance: Instance) -> EngineReport:
        """Return the report of an engine.

        Raises
        ------
        UpstreamUnreachable, UpstreamBroken
            If the engine does not return a report.
        """
        response = await self._call(instance, "GET", "/report", b"", REPORT_TIMEOUT_S)
        document = _document(response)
        models = document.get("models", [])
        if response.head.status != 200 or not isinstance(models, list):
            raise UpstreamBroken("the engine's response is not a report; retry")
        versions = {
            str(item.get("name")): item["version"]
            for item in models
            if isinstance(item, dict) and is_integer(item.get("version"))
        }
        # "seq" is the number of orders that the engine accepted since its start.
        orders = document.get("seq")
        return EngineReport(
            versions=versions,
            busy=bool(document.get("busy")),
            orders=orders if is_integer(orders) else 0,
        )

    async def order_weights(
        self,
        instance: Instance,
        order: WeightsOrder,
        *,
        may_send: Callable[[], bool],
    ) -> OrderReply:
        """Order an engine to load weights.

        Raises
        ------
        UpstreamUnreachable
            If the order was not sent, for example because ``may_send`` returned False.
        UpstreamBroken
            If the response was lost; the engine may still execute the order.
        """
        body = {
            "op": "version",
            "model": order.model,
            "version": order.version,
            # Requests in progress finish on the weights with which they started.
            "swapMode": "queue",
            "holder": order.holder,
            "fence": order.fencing,
            "expected": order.expected_orders,
        }
        data = json.dumps(body).encode()
        response = await self._call(
            instance, "POST", "/order", data, ORDER_TIMEOUT_S, may_send=may_send
        )
        match response.head.status:
            case 202:
                return OrderReply.ACCEPTED
            case 200:
                return OrderReply.ALREADY_LOADED
            case 409:
                return OrderReply.CONFLICT
            case 412:
                return OrderReply.FENCED
            case _:
                return OrderReply.REFUSED

    async def _call(
        self,
        instance: Instance,
        method: str,
        path: str,
        body: bytes,
        timeout_s: float,
        *,
        may_send: Callable[[], bool] | None = None,
    ) -> BufferedResponse:
        headers = [
            ("Host", instance.address),
            ("X-Expect-Instance", instance.name),
        ]
        if body:
            headers.append(("Content-Type", "application/json"))
            headers.append(("Content-Length", str(len(body))))
        head = RequestHead(method=method, target=path, headers=headers)
        return await self.pool.request(
            instance.address,
            head,
            body,
            timeout_s=timeout_s,
            connect_timeout_s=timeout_s / 2,
            may_send=may_send,
            # A second copy of a report would be taken for the answer to an order.
            own_connection=may_send is not None,
        )


def _document(response: BufferedResponse) -> dict[str, Any]:
    try:
        return read_object(response.body)
    except DocumentUnreadable as error:
        raise UpstreamBroken(f"the engine's response is unusable: {error}") from error
