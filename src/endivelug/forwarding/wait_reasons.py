"""Why a call could not be sent to any instance of its service."""

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum


class WaitReason(Enum):
    """Why one instance did not get a call; the values are written to the log.

    Attributes
    ----------
    NOT_REGISTERED : str
        The service has no registered instance that takes new requests.
    SILENT : str
        The instance sends nothing to any VM.
    AVOIDED : str
        The instance refused or failed requests just now.
    RETRY_LATER : str
        The instance refused a request and stated when to try again.
    AT_LIMIT : str
        The instance states how many requests it takes, and this VM has used its part.
    WARMING : str
        The instance has started or come back just now and gets few requests as yet.
    ORDERED : str
        The instance loads new weights.
    OUTDATED : str
        The instance has weights on which no request may begin any more.
    NO_MODEL : str
        The instance does not serve the model.
    EXCLUDED : str
        The call was sent to the instance before.
    NO_CONNECTION : str
        This VM uses its share of the connections to the instance.
    NO_SLOT, NO_MEMORY : str
        All slots of the instance are taken, or the call does not fit into its memory.
    BACKLOG : str
        The instance has too much to prefill already.
    QUEUED : str
        Other calls wait for the instance and go first.
    PREFILLING : str
        Another instance prefills a shared segment of the prompt, which is waited for.
    OVERLOADED : str
        The call would be sent too late for its caller.
    STOPPING : str
        This VM is stopping, and the call would not end before.
    """

    NOT_REGISTERED = "no instance is registered"
    SILENT = "silent"
    AVOIDED = "refused or failed just now"
    RETRY_LATER = "asked to be retried later"
    AT_LIMIT = "at the limit that it states"
    WARMING = "started or came back just now"
    ORDERED = "loads new weights"
    OUTDATED = "weights too old"
    NO_MODEL = "does not serve the model"
    EXCLUDED = "failed this request"
    NO_CONNECTION = "no connection left"
    NO_SLOT = "no free slot"
    NO_MEMORY = "not enough memory"
    BACKLOG = "too much to prefill"
    QUEUED = "other requests go first"
    PREFILLING = "another one prefills the prefix"
    OVERLOADED = "it would be sent too late"
    STOPPING = "this VM is stopping"


@dataclass(slots=True, kw_only=True)
class NoPlacement:
    """No instance can get a call now.

    Attributes
    ----------
    reasons : Counter of WaitReason
        Number of instances by the reason.
    retry_at : float or None
        Time before which no instance will take the call, if that is known.

    Examples
    --------
    >>> reasons = Counter({WaitReason.OUTDATED: 4, WaitReason.SILENT: 1})
    >>> str(NoPlacement(reasons=reasons))
    'no upstream could take it: 4 weights too old, 1 silent'
    """

    reasons: Counter[WaitReason] = field(default_factory=Counter)
    retry_at: float | None = None

    def __str__(self) -> str:
        """Return the reasons in words, the most frequent first."""
        if not self.reasons:
            return f"no upstream could take it: {WaitReason.NOT_REGISTERED.value}"
        parts = [
            f"{count} {reason.value}" for reason, count in self.reasons.most_common()
        ]
        return f"no upstream could take it: {', '.join(parts)}"

    @property
    def main_reason(self) -> WaitReason:
        """The most frequent reason."""
        if not self.reasons:
            return WaitReason.NOT_REGISTERED
        return self.reasons.most_common(1)[0][0]
