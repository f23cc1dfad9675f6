"""Keeps links to the VMs that the overlay selects, and to no others."""

import asyncio
import random
from collections.abc import Callable, Collection
from functools import partial

from endivelug.forwarding.overlay import RegisteredVm
from endivelug.links import Handler, Identity, Link, LinkKeeper, SyncHandlers


class LinkTargets:
    """Dials the selected VMs.

    Parameters
    ----------
    on_unreachable : callable
        Called with the name of a VM after each failed attempt.

    Attributes
    ----------
    keepers : dict of str to asyncio.Task
        Jobs that dial, by the name of the VM.
    """

    def __init__(
        self,
        *,
        identity: Identity,
        handler: Handler,
        sync_handlers: SyncHandlers,
        on_open: Callable[[Link], None],
        on_close: Callable[[Link], None],
        on_unreachable: Callable[[str], None],
        rng: random.Random,
    ) -> None:
        self.identity = identity
        self.handler = handler
        self.sync_handlers = sync_handlers
        self.on_open = on_open
        self.on_close = on_close
        self.on_unreachable = on_unreachable
        self.rng = rng
        self.keepers: dict[str, asyncio.Task[None]] = {}

    def update(
        self, targets: Collection[RegisteredVm], *, linked: Collection[str]
    ) -> None:
        """Dial new targets, except those that are linked already; leave former ones."""
        names = {item.name for item in targets}
        for vm in [vm for vm in self.keepers if vm not in names]:
            self.keepers.pop(vm).cancel()
        for item in targets:
            if item.name in self.keepers or item.name in linked:
                continue
            keeper = LinkKeeper(
                address=item.address,
                identity=self.identity,
                handler=self.handler,
                rng=self.rng,
                sync_handlers=self.sync_handlers,
                on_open=self.on_open,
                on_close=self.on_close,
                on_failure=partial(self._record_failure, item.name),
            )
            self.keepers[item.name] = asyncio.create_task(keeper.run())

    async def close(self) -> None:
        """Close every dialled link."""
        for task in self.keepers.values():
            task.cancel()
        await asyncio.gather(*self.keepers.values(), return_exceptions=True)

    def _record_failure(self, vm: str, reason: str) -> None:
        self.on_unreachable(vm)
