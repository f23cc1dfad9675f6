"""What makes two requests the same, whichever VM they reach and under whichever id."""

import hashlib

from endivelug.forwarding.calls import Call

# Long enough that nobody finds another request with the identity of a given one.
IDENTITY_BYTES = 12


def request_identity(call: Call) -> str:
    """Return a digest of the organisation, the target and the content of a request.

    The content is the body, which is complete before a request is sent and the same
    whether it came in chunks or not; without a body it is the declared prompt. The
    digest is kept in the call.
    """
    if not call.identity:
        call.identity = _digest(call)
    return call.identity


def _digest(call: Call) -> str:
    request = call.request
    owner = call.organisation.name if call.organisation else ""
    digest = hashlib.blake2b(digest_size=IDENTITY_BYTES)
    for text in (owner, request.method, request.host, request.target):
        digest.update(text.encode() + b"\0")
    if request.body:
        digest.update(request.body)
    else:
        for segment in request.prompt:
            digest.update(segment.segment_id.encode() + b",")
    return digest.hexdigest()
