"""Agent component that subscribes to owned engines and answers look-ups."""

import asyncio
import ssl

from endivelug._tls import client_context
from endivelug.cache_event_subscription import CacheEventSubscription
from endivelug.cache_index import CacheIndex
from endivelug.components import AgentContext
from endivelug.links import Link, SyncHandler
from endivelug.messages import Announce, Finish, Lookup, Message
from endivelug.upstreams import DEAD

EXPIRE_EVERY_S = 2.0


class CacheIndexComponent:
    """Keeps the cache index of the engines that this agent owns."""

    message_types: tuple[type, ...] = (Lookup, Announce, Finish)

    def __init__(self, *, context: AgentContext) -> None:
        self.context = context
        self.index = CacheIndex()
        self.subscriptions: dict[str, CacheEventSubscription] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._tls: dict[str, ssl.SSLContext | None] = {}
        self._wakeup = asyncio.Event()
        context.on_change.append(self._wakeup.set)

    async def handle(self, *, link: Link, message: Message) -> Message | None:
        """Answer a look-up, or record announced or finished work."""
        handler = self.sync_handlers().get(type(message))
        return None if handler is None else handler(link, message)

    def sync_handlers(self) -> dict[type, SyncHandler]:
        """Return the handlers by message type; none of them blocks."""
        index, clock = self.index, self.context.clock
        return {
            Lookup: lambda link, message: index.lookup(message, now=clock()),
            Announce: lambda link, message: index.announce(message, now=clock()),
            Finish: lambda link, message: index.finish(message, now=clock()),
        }

    async def run(self) -> None:
        """Follow changes of membership and upstreams until cancelled."""
        try:
            while True:
                self._wakeup.clear()
                self._update_subscriptions()
                try:
                    async with asyncio.timeout(EXPIRE_EVERY_S):
                        await self._wakeup.wait()
                except TimeoutError:
                    self.index.expire(self.context.clock())
        finally:
            for task in self._tasks.values():
                task.cancel()
            await asyncio.gather(*self._tasks.values(), return_exceptions=True)

    def _update_subscriptions(self) -> None:
        """Subscribe to newly owned engines, unsubscribe from those no longer owned."""
        membership = self.context.membership
        owned = {
            name: upstream.entry
            for name, upstream in self.context.upstreams.upstreams.items()
            if upstream.kind == "engine" and membership.owns(f"engine:{name}")
        }
        self.index.set_owned(owned)
        self.index.unreachable = {
            name for name, entry in owned.items() if entry.state == DEAD
        }
        for name, entry in owned.items():
            subscription = self.subscriptions.get(name)
            if subscription is not None and subscription.address == entry.address:
                self.index.observe_incarnation(name, entry.incarnation)
                continue
            self._unsubscribe(name)
            # Subscribe to a dead engine only after a probe has reached it.
            if entry.state != DEAD:
                self._subscribe(name, entry.address, entry.pool)
        for name in [name for name in self.subscriptions if name not in owned]:
            self._unsubscribe(name)

    def _subscribe(self, name: str, address: str, pool_name: str) -> None:
        pool = self.context.settings.pools.get(pool_name)
        ca = pool.tls_ca if pool is not None else ""
        if ca not in self._tls:
            self._tls[ca] = client_context(ca)
        subscription = CacheEventSubscription(
            address=address,
            apply=lambda batch: self.index.apply(name, batch, now=self.context.clock()),
            resume_point=lambda: self.index.resume_point(name),
            rng=self.context.rng,
            credential=pool.credential if pool is not None else "",
            tls=self._tls[ca],
        )
        self.subscriptions[name] = subscription
        self._tasks[name] = asyncio.create_task(subscription.run())

    def _unsubscribe(self, name: str) -> None:
        self.subscriptions.pop(name, None)
        task = self._tasks.pop(name, None)
        if task is not None:
            task.cancel()
