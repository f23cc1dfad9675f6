"""Choice of the engine that keeps a copy of a running stream.

Load pattern: engines crash while they run many short streams that may not run twice. A
copy of the run at another engine lets such a stream go on after its last event. Copies
of short prompts cost little; long prompts are read again from cached parts instead.
"""

from dataclasses import dataclass

from endivelug.forwarding.calls import Call

# Runs with a longer prompt cost more to copy than the few that are lost.
MAX_BACKUP_TOKENS = 2500
# Room that an engine keeps for requests of its own.
MIN_FREE_TOKENS = 20_000


@dataclass(slots=True, kw_only=True, frozen=True)
class BackupEngine:
    """An engine with the same weights as the one that runs the request.

    Attributes
    ----------
    near : bool
        Whether it is in the data centre of the engine that runs the request.
    free_tokens : int
        Tokens of its memory that no running request holds.
    """

    name: str
    near: bool
    free_tokens: int


def wants_backup(call: Call) -> bool:
    """Return whether a copy of the run is worth its transfer."""
    route = call.route
    return (
        route.streaming
        and not route.resumable
        and call.request.prompt_tokens <= MAX_BACKUP_TOKENS
    )


def choose_backup(engines: list[BackupEngine]) -> str | None:
    """Return the engine for the copy, or None.

    Examples
    --------
    >>> near = BackupEngine(name="a", near=True, free_tokens=30_000)
    >>> far = BackupEngine(name="b", near=False, free_tokens=90_000)
    >>> full = BackupEngine(name="c", near=True, free_tokens=100)
    >>> choose_backup([far, full, near]), choose_backup([full])
    ('a', None)
    """
    fitting = [item for item in engines if item.free_tokens >= MIN_FREE_TOKENS]
    best = max(
        fitting, key=lambda item: (item.near, item.free_tokens, item.name), default=None
    )
    return best.name if best else None
