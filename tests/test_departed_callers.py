"""Callers that leave before or while the router works on their requests."""

import asyncio
import socket

from test_forwarding_path import KEY, PROMPT, metrics_port, run_scenario, wait_until

__all__ = ["metrics_port"]


def send_and_leave(system, *, request_id, target="/a/x", body=b"", pieces=1):
    """Send a request and close the connection while the router reads nothing."""
    host, _, port = system.node.settings.front.rpartition(":")
    headers = {
        "Host": "h.example",
        "X-Request-Id": request_id,
        "X-Deadline-Ms": "2000",
        "Content-Length": str(len(body)),
        **KEY,
        **PROMPT,
    }
    lines = [f"POST {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    data = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
    with socket.create_connection((host, int(port))) as connection:
        connection.sendall(data)


# Guards against requests that reach an upstream although their callers left while the
# router was too busy to read them.
def test_a_request_that_was_read_after_its_caller_left_is_not_sent():
    async def hang(exchange):
        await asyncio.sleep(5)

    async def scenario(system):
        await system.request(headers={**PROMPT, "X-Request-Id": "warm-up"})
        system.engines[0].script = hang
        for number in range(5):
            send_and_leave(system, request_id=f"left{number}", body=b"x" * 20_000)
        await wait_until(lambda: system.log.events().count("caller-left") == 5)
        await asyncio.sleep(0.3)
        assert [run.id for run in system.attempts()] == ["warm-up"]

    run_scenario(scenario)
