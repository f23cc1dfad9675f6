"""Runs an agent whose links to other data centres the measurement can cut.

The filter runs inside the agent process. A cut link is either closed and not opened
again, or it stays open and loses all messages, as with a switch that drops packets.
"""

import asyncio
import json
import os
import sys
from pathlib import Path
from typing import Any

from endivelug import _link, agent, links

# Environment variable with the path of the control file.
CUT_FILE_VARIABLE = "ENDIVELUG_MEASUREMENT_CUT"
POLL_INTERVAL_S = 0.05


class LinkFilter:
    """Cuts links of this process according to the control file.

    Attributes
    ----------
    mode : str
        ``closed``, ``silent``, or empty while no link is cut.
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        self.mode = ""
        self.data_centre = ""
        self.open_links: set[_link.Link] = set()

    def is_cut(self, link: _link.Link) -> bool:
        """Return whether a link to an agent of another data centre is cut now."""
        is_remote = link.peer.data_centre != self.data_centre
        return bool(self.mode) and is_remote and link.peer.role == "agent"

    async def poll_control_file(self) -> None:
        """Read the control file periodically and close cut links, until cancelled."""
        while True:
            self.mode = json.loads(self.path.read_text())["mode"]
            for link in list(self.open_links):
                if link.closed.is_set():
                    self.open_links.discard(link)
                elif self.mode == "closed" and self.is_cut(link):
                    link.socket.abort()
            await asyncio.sleep(POLL_INTERVAL_S)


def install(link_filter: LinkFilter) -> None:
    """Patch all links of this process to pass through the filter."""
    original_receive, original_transmit, original_run = (
        _link.Link._receive,
        _link.Link._transmit,
        _link.Link.run,
    )

    def filtered_receive(self: _link.Link, data: bytes) -> None:
        if not link_filter.is_cut(self):
            original_receive(self, data)

    def filtered_transmit(self: _link.Link, data: bytes) -> None:
        if not link_filter.is_cut(self):
            original_transmit(self, data)

    async def filtered_run(self: _link.Link) -> None:
        link_filter.open_links.add(self)
        await original_run(self)

    original_open_link = links.open_link

    async def filtered_open_link(**options: Any) -> _link.Link:
        link = await original_open_link(**options)
        if link_filter.is_cut(link):
            link.socket.abort()
            raise links.LinkClosed("cut off by the measurement; retry later")
        return link

    _link.Link._receive = filtered_receive  # type: ignore[method-assign]
    _link.Link._transmit = filtered_transmit  # type: ignore[method-assign]
    _link.Link.run = filtered_run  # type: ignore[method-assign]
    links.open_link = filtered_open_link


def main() -> None:
    """Run the agent with the link filter."""
    link_filter = LinkFilter(Path(os.environ[CUT_FILE_VARIABLE]))
    install(link_filter)
    original_serve = agent.serve

    async def filtered_serve(settings: Any) -> int:
        link_filter.data_centre = settings.vm.data_centre
        polling = asyncio.create_task(link_filter.poll_control_file())
        try:
            return await original_serve(settings)
        finally:
            polling.cancel()

    agent.serve = filtered_serve
    agent.main(sys.argv[1:])


if __name__ == "__main__":
    main()
