"""Exceptions of the package; every message says how to proceed."""


class EndivelugError(Exception):
    """Base class of all exceptions that endivelug raises."""


class SettingError(EndivelugError):
    """One invalid value in a settings file.

    Parameters
    ----------
    section, key : str
        Section and key of the value in the file.
    value : str or None
        The value as written, or None if the key is missing.
    remedy : str
        Instruction on how to correct the value.
    """

    def __init__(
        self, *, section: str, key: str, value: str | None, remedy: str
    ) -> None:
        self.section = section
        self.key = key
        self.value = value
        self.remedy = remedy
        shown = "missing" if value is None else repr(value)
        super().__init__(f"[{section}] {key}: {shown}; {remedy}")


class SettingsError(EndivelugError):
    """A settings file contains one or more invalid values.

    Parameters
    ----------
    path : str
        Path of the file.
    errors : list of SettingError
        One error for each invalid value.
    """

    def __init__(self, *, path: str, errors: list[SettingError]) -> None:
        self.path = path
        self.errors = errors
        lines = "\n".join(f"  {error}" for error in errors)
        super().__init__(f"{path}: {len(errors)} invalid setting(s):\n{lines}")


class ListError(EndivelugError):
    """The list of organisations or plans is invalid.

    Parameters
    ----------
    problems : list of str
        Every problem with its remedy.
    """

    def __init__(self, *, problems: list[str]) -> None:
        self.problems = problems
        super().__init__("the lists were refused:\n" + "\n".join(problems))


class RevisionConflict(EndivelugError):
    """The configuration was changed since the revision on which an edit is based.

    Parameters
    ----------
    expected, actual : int
        Revision on which the edit is based, and the revision in the table.
    changes : list of str
        Changes between the two revisions, one line each.
    """

    def __init__(self, *, expected: int, actual: int, changes: list[str]) -> None:
        self.expected = expected
        self.actual = actual
        self.changes = changes
        listing = "\n".join(f"  {change}" for change in changes)
        super().__init__(
            f"the edit is based on revision {expected} but the table holds "
            f"{actual}; merge these changes into the lists and apply again with "
            f"--base {actual}:\n{listing}"
        )


class EditOutcomeUnknown(EndivelugError):
    """The response to an edit of the lists was lost; it may have been committed.

    Parameters
    ----------
    revision : int
        Revision that the edit creates.
    """

    def __init__(self, *, revision: int) -> None:
        self.revision = revision
        super().__init__(
            f"it is unknown whether revision {revision} was made; apply the same "
            "lists again, which reports the edit if it was made and makes it otherwise"
        )


class ConfigurationDamaged(EndivelugError):
    """The stored lists cannot be read; restore the rows named in the message."""


class TableUnavailable(EndivelugError):
    """The table service did not execute the request; retry later."""


class TableOutcomeUnknown(EndivelugError):
    """The response of the table was lost; read the key to learn the outcome."""


class ObjectStoreUnavailable(EndivelugError):
    """The object store did not respond; retry later."""


class CallerLeft(EndivelugError):
    """The caller closed its connection; drop the request."""


class UpstreamUnreachable(EndivelugError):
    """No connection to the upstream was made, so nothing ran; use another upstream."""


class NoDescriptor(UpstreamUnreachable):
    """No descriptor is left for a connection, so nothing was sent; retry later."""


class UpstreamNotListening(UpstreamUnreachable):
    """Nothing listens at the upstream's address, as after a crash; use another one."""


class UpstreamNotAnswering(UpstreamUnreachable):
    """No answer to a connection attempt came in time; use another upstream."""


class UpstreamBroken(EndivelugError):
    """The upstream failed after the request was sent; the request may have run."""


class UpstreamRejected(EndivelugError):
    """The upstream refused the request and ran nothing.

    Parameters
    ----------
    status : int
        HTTP status of the response.
    reason : str
        Reason given in the response.
    """

    def __init__(self, *, status: int, reason: str) -> None:
        self.status = status
        self.reason = reason
        super().__init__(
            f"the upstream answered {status} ({reason}) and ran nothing; "
            "refresh its state or use another upstream"
        )


class PeerProtocolError(EndivelugError):
    """A peer sent a malformed message; close the link to it."""


class PeerNotAuthenticated(EndivelugError):
    """The authentication of a peer failed; check the link secret on both VMs."""


class LinkClosed(EndivelugError):
    """The link to a peer is closed; retry after it reconnects."""


class LinkBusy(EndivelugError):
    """The send queue of a link is full; use a fallback or retry later."""


class StreamTokenInvalid(EndivelugError):
    """A stream id is forged, damaged or belongs to another organisation."""
