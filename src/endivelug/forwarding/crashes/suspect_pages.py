"""Lists the blocked suspects for an operator, and frees one of them."""

import json
from collections.abc import Callable
from dataclasses import asdict
from math import isfinite
from typing import Any

from endivelug.forwarding.crashes.exchange import CrashExchange
from endivelug.forwarding.crashes.suspects import Block

PATH = "/suspects"


class SuspectPages:
    """Answers ``GET /suspects`` and ``DELETE /suspects/NAME``.

    A suspect that is freed here is free at all VMs that are linked, until it crashes
    upstreams again.
    """

    def __init__(self, *, exchange: CrashExchange, clock: Callable[[], float]) -> None:
        self.exchange = exchange
        self.clock = clock

    def serves(self, target: str) -> bool:
        """Return whether a path is one of these pages."""
        return target == PATH or target.startswith(PATH + "/")

    def answer(self, method: str, target: str) -> tuple[int, bytes]:
        """Return the status and the body of an answer."""
        now = self.clock()
        blocks = {
            item.suspect: item for item in self.exchange.suspects.blocked(now=now)
        }
        if method == "GET" and target == PATH:
            listed = [_describe(block, now) for block in blocks.values()]
            return 200, json.dumps(listed).encode()
        name = target.removeprefix(PATH + "/")
        if method != "DELETE":
            return 405, b""
        if name not in blocks:
            return 404, b""
        self.exchange.clear([name])
        return 204, b""


def _describe(block: Block, now: float) -> dict[str, Any]:
    document = asdict(block)
    document["last_s"] = round(now - document.pop("last_at"), 1)
    test_at = document.pop("test_at")
    document["test_in_s"] = round(test_at - now, 1) if isfinite(test_at) else None
    return document
