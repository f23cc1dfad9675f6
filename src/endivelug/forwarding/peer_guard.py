"""Keeps a message of a peer that cannot be handled from ending in a traceback."""

from endivelug.forwarding.row_cache import MAX_LOGGED_REASON, LogLine
from endivelug.links import Link, SyncHandler, SyncHandlers
from endivelug.messages import Message


def guard_handlers(handlers: SyncHandlers, *, log: LogLine) -> SyncHandlers:
    """Return handlers that log an unforeseen exception and close the link.

    A message may have been applied in part; a new link begins with a full report.
    """
    return {kind: _guard(handler, log) for kind, handler in handlers.items()}


def _guard(handler: SyncHandler, log: LogLine) -> SyncHandler:
    def handle(link: Link, message: Message) -> Message | None:
        try:
            return handler(link, message)
        except Exception as error:
            log(
                "peer-message-failed",
                peer=link.peer.vm,
                message=type(message).__name__,
                reason=repr(error)[:MAX_LOGGED_REASON],
            )
            link.socket.abort()
            return None

    return handle
