"""HTTP client that sends orders to the engines of a pool."""

import json
import ssl
from collections.abc import Callable
from typing import Any

from tornado.httpclient import HTTPClientError, HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from endivelug.exceptions import (
    EndivelugError,
    UpstreamBroken,
    UpstreamRejected,
    UpstreamUnreachable,
)
from endivelug.orders import LoadAdapter, LoadWeights, Order, order_kind
from endivelug.service_client import GuardedConnector

# Longest response to an order; tornado's client would read 100 MB.
MAX_RESPONSE_BYTES = 1024 * 1024


class OrderNotSent(EndivelugError):
    """The lease or slot no longer covers the order, so nothing was sent; plan again."""


class OrderClient:
    """Sends orders to the engines of one pool under one fencing number.

    Parameters
    ----------
    fencing : int
        Fencing number of the lease under which the orders were planned.
    may_send : callable
        Returns whether the lease still covers the order. Called before connecting, and
        again once the connection is open, immediately before sending.
    credential : str
        Bearer token of the pool; empty for none.
    tls : ssl.SSLContext or None
        Client context for ``https``.
    """

    def __init__(
        self,
        *,
        fencing: int,
        may_send: Callable[[], bool],
        credential: str = "",
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self.fencing = fencing
        self.may_send = may_send
        self.tls = tls
        self._headers = {"Content-Type": "application/json"}
        if credential:
            self._headers["Authorization"] = f"Bearer {credential}"
        self._client = SimpleAsyncHTTPClient(
            force_instance=True, max_clients=16, max_body_size=MAX_RESPONSE_BYTES
        )
        self._client.tcp_client = GuardedConnector(self._check_lease)

    async def send(self, order: Order | None, *, url: str, timeout_s: float) -> None:
        """Send an order; return once the engine has accepted it.

        None sends only the fencing number: an engine that checks it then refuses all
        orders with a lower one.

        Raises
        ------
        UpstreamUnreachable, OrderNotSent
            If nothing was sent.
        UpstreamRejected
            If the engine refused the order; status 412 for an old fencing number.
        UpstreamBroken
            If no response came or the engine failed; the order may be in progress.
        """
        self._check_lease()
        request = HTTPRequest(
            f"{url.rstrip('/')}/v1/orders",
            method="POST",
            headers=self._headers,
            body=json.dumps(order_document(order, self.fencing, timeout_s)),
            connect_timeout=timeout_s,
            request_timeout=timeout_s,
            follow_redirects=False,
            ssl_options=self.tls,
        )
        try:
            await self._client.fetch(request)
        except (UpstreamUnreachable, OrderNotSent):
            raise
        except HTTPClientError as error:
            if 400 <= error.code < 500:
                raise UpstreamRejected(
                    status=error.code, reason=error.message or ""
                ) from error
            raise UpstreamBroken(
                f"order failed or got no response ({error})"
            ) from error
        except Exception as error:
            raise UpstreamBroken(
                f"order failed or got no response ({error})"
            ) from error

    def close(self) -> None:
        """Close the connections."""
        self._client.close()

    def _check_lease(self) -> None:
        if not self.may_send():
            raise OrderNotSent("the order lease no longer covers the order")


def order_document(
    order: Order | None, fencing: int, timeout_s: float
) -> dict[str, Any]:
    """Return the body of ``POST /v1/orders``; None only confirms the fencing number."""
    document: dict[str, Any] = {
        "fencing": fencing,
        "timeout_s": timeout_s,
        "kind": "confirm" if order is None else order_kind(order),
        "model": None if order is None else order.model,
        "version": None,
        "adapter": None,
        "role": None,
    }
    match order:
        case LoadAdapter(version=version, adapter=adapter):
            document |= {"version": version, "adapter": adapter}
        case LoadWeights(version=version):
            document |= {"version": version}
        case _:
            pass
    return document
