"""Rows, conditions and transactions of the platform's table."""

from dataclasses import dataclass, field


@dataclass(slots=True, kw_only=True, frozen=True)
class TableVersion:
    """Version of a table that an answer stated.

    Attributes
    ----------
    era : int
        Number that rises whenever the table comes back from an older copy, after which
        it gives out revisions again; 0 for a table that is never restored.
    revision : int
        Newest revision of the table; 0 if unknown.
    """

    era: int = 0
    revision: int = 0


@dataclass(slots=True, kw_only=True)
class Row:
    """A key with its value.

    Attributes
    ----------
    mod_revision : int
        Revision of the table at the last change of the key.
    """

    key: str
    value: bytes
    mod_revision: int


@dataclass(slots=True, kw_only=True)
class Put:
    """Operation: write a key."""

    key: str
    value: bytes


@dataclass(slots=True, kw_only=True)
class Get:
    """Operation: read a key."""

    key: str


@dataclass(slots=True, kw_only=True)
class Delete:
    """Operation: delete a key."""

    key: str


@dataclass(slots=True, kw_only=True)
class Absent:
    """Condition: the key does not exist."""

    key: str


@dataclass(slots=True, kw_only=True)
class RevisionEquals:
    """Condition: the key was last changed at this revision of the table."""

    key: str
    mod_revision: int


@dataclass(slots=True, kw_only=True)
class ValueEquals:
    """Condition: the key has exactly this value."""

    key: str
    value: bytes


Condition = Absent | RevisionEquals | ValueEquals


@dataclass(slots=True, kw_only=True)
class Transaction:
    """Operations that run atomically, depending on conditions.

    Transactions nest: a transaction is itself an operation with its own conditions,
    so that one write can contain many independent changes.

    Attributes
    ----------
    conditions : list of Condition
        All of them have to hold for the transaction to succeed.
    success, failure : list of Operation
        Operations to run if the conditions hold, and if they do not.
    """

    conditions: list[Condition] = field(default_factory=list)
    success: list["Operation"] = field(default_factory=list)
    failure: list["Operation"] = field(default_factory=list)


Operation = Put | Get | Delete | Transaction


@dataclass(slots=True, kw_only=True)
class TransactionResult:
    """Result of a transaction.

    Attributes
    ----------
    succeeded : bool
        Whether all conditions held.
    rows : list of Row
        Rows read by the branch that ran, in the order of its ``Get`` operations;
        keys that do not exist are left out.
    nested : list of TransactionResult
        Results of the nested transactions of the branch that ran, in order.
    """

    succeeded: bool
    rows: list[Row]
    nested: list["TransactionResult"]
