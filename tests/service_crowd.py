"""Process that sends many calls at once to a service that answers without end.

Prints the number of broken calls, that of sound ones, and the largest memory in KiB.
"""

import asyncio
import resource
import sys
import time

from endivelug.exceptions import UpstreamBroken
from endivelug.service_client import ServiceClient, ServiceRequest

DEADLINE_S = 6.0
BODY = b"sound" * 20_000


async def run(address, count):
    client = ServiceClient()

    async def call(target):
        request = ServiceRequest(service="s", method="GET", target=target)
        deadline = time.monotonic() + DEADLINE_S
        return await client.send(request, url=f"http://{address}", deadline=deadline)

    results = await asyncio.gather(
        *(call("/endless") for _ in range(count)), return_exceptions=True
    )
    broken = sum(isinstance(result, UpstreamBroken) for result in results)
    response = await call("/sound")
    return broken, int(response.body == BODY)


if __name__ == "__main__":
    counts = asyncio.run(run(sys.argv[1], int(sys.argv[2])))
    print(*counts, resource.getrusage(resource.RUSAGE_SELF).ru_maxrss)
