import asyncio
import contextlib
from types import SimpleNamespace

from endivelug.local_state import LocalStatePublisher


class RouterLink:
    """Stand-in for a link to the router that records what is sent."""

    def __init__(self, *, closed):
        self.closed = asyncio.Event()
        if closed:
            self.closed.set()
        self.sent = []

    def send(self, message, *, encoded=None):
        self.sent.append(message)


# Guards against an agent that ends because the router of its VM was killed, which
# closes the link to it.
def test_closed_router_links_are_removed_and_the_others_are_served():
    async def run():
        links = [RouterLink(closed=number % 2 == 0) for number in range(6)]
        context = SimpleNamespace(
            on_change=[],
            router_links=set(links),
            membership=SimpleNamespace(agent_entries=list, version=1),
            upstreams=SimpleNamespace(entries=list, version=1),
            contact_age_s=lambda: 0.0,
            peers=SimpleNamespace(remote_links=list),
            clock=lambda: 0.0,
            platform_responded_at=0.0,
        )
        publisher = LocalStatePublisher(context=context)
        context.on_change[0]()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(0.3):
                await publisher.run()
        assert context.router_links == {link for link in links if link.sent}
        assert len(context.router_links) == publisher.pushes == 3

    asyncio.run(run())
