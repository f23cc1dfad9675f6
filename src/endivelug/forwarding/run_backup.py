"""Selects the engine that keeps a backup of a running generation.

Load pattern: engines crash while they run many short streams that may not run twice. A
backup of the run on another engine lets such a stream continue after its last event.
Backups of short prompts cost little; long prompts are prefilled again from cached
segments instead.
"""

from dataclasses import dataclass

from endivelug.forwarding.calls import Call

# With a longer prompt the backups of all runs cost more than the few that are lost.
MAX_BACKUP_TOKENS = 2500
# Free memory that an engine must have to get a backup, so that it keeps room for
# requests of its own.
MIN_FREE_TOKENS = 20_000


@dataclass(slots=True, kw_only=True, frozen=True)
class BackupEngine:
    """An engine that has the same weights as the engine that runs the request.

    Attributes
    ----------
    same_data_centre : bool
        Whether both engines are in the same data centre.
    free_tokens : int
        Memory, in tokens, that no running request occupies.
    """

    name: str
    same_data_centre: bool
    free_tokens: int


def should_back_up(call: Call) -> bool:
    """Return whether a backup of the run is worth its transfer.

    It is for streams that can't be resumed and have a short prompt.
    """
    route = call.route
    return (
        route.streaming
        and not route.resumable
        and call.request.prompt_tokens <= MAX_BACKUP_TOKENS
    )


def choose_backup(engines: list[BackupEngine]) -> str | None:
    """Return the name of the engine for the backup, or None if none has memory.

    Examples
    --------
    >>> near = BackupEngine(name="a", same_data_centre=True, free_tokens=30_000)
    >>> far = BackupEngine(name="b", same_data_centre=False, free_tokens=90_000)
    >>> full = BackupEngine(name="c", same_data_centre=True, free_tokens=100)
    >>> choose_backup([far, full, near]), choose_backup([full])
    ('a', None)
    """
    eligible = [item for item in engines if item.free_tokens >= MIN_FREE_TOKENS]
    best = max(
        eligible,
        key=lambda item: (item.same_data_centre, item.free_tokens, item.name),
        default=None,
    )
    return best.name if best else None
