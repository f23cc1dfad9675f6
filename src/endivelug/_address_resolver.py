"""Resolver that does not look up numeric addresses."""

import ipaddress
import socket
from typing import Any

from tornado.netutil import DefaultLoopResolver


class AddressResolver(DefaultLoopResolver):
    """Returns numeric addresses at once; looks up names in a thread.

    The event loop looks up every host in a thread. On a busy machine, that took longer
    than the time limits of requests, although all addresses of upstreams and of the
    platform are numeric.
    """

    async def resolve(
        self, host: str, port: int, family: socket.AddressFamily = socket.AF_UNSPEC
    ) -> list[tuple[int, Any]]:
        """Return the socket families and addresses of a host."""
        try:
            address = ipaddress.ip_address(host)
        except ValueError:
            return await super().resolve(host, port, family)
        if address.version == 6:
            return [(socket.AF_INET6, (host, port, 0, 0))]
        return [(socket.AF_INET, (host, port))]
