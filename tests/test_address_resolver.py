import asyncio
import socket

import pytest

from endivelug._address_resolver import AddressResolver


# Guards against requests to numeric addresses that fail with "Timeout while resolving"
# because no thread is free for the look-up.
@pytest.mark.parametrize(
    ("host", "expected"),
    [
        ("127.0.0.1", (socket.AF_INET, ("127.0.0.1", 80))),
        ("::1", (socket.AF_INET6, ("::1", 80, 0, 0))),
    ],
)
def test_numeric_addresses_are_not_looked_up(host, expected, monkeypatch):
    async def run():
        def fail(*args, **kwargs):
            raise AssertionError("looked up")

        monkeypatch.setattr(asyncio.get_running_loop(), "getaddrinfo", fail)
        assert await AddressResolver().resolve(host, 80) == [expected]

    asyncio.run(run())


def test_names_are_looked_up():
    async def run():
        found = await AddressResolver().resolve("localhost", 80)
        assert any(address[0] in ("127.0.0.1", "::1") for _, address in found)

    asyncio.run(run())
