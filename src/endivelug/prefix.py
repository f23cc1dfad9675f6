"""Cache keys of a prompt: a keyed hash chain over its segments, per namespace.

Equal keys mean equal prefixes of the same organisation, model, weights version and
adapter. The namespace is part of every hash, so cached keys of another organisation,
model, version or adapter never match.
"""

import hashlib
import json
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace
from typing import Any

SEGMENT_CHARACTERS = 8192
# Average of English text; placement depends only on relative sizes.
CHARACTERS_PER_TOKEN = 4
_KEY_BYTES = 8
_NAMESPACE_BYTES = 16
_DIGEST_BYTES = 32


@dataclass(slots=True, kw_only=True, frozen=True)
class Namespace:
    """Properties that two prompts must share for their prefixes to be compared."""

    organisation: str
    model: str
    weights_version: str
    adapter: str = ""

    def digest(self, secret: bytes) -> bytes:
        """Return 16 bytes that identify the namespace under a deployment secret.

        The hexadecimal form is the ``cache_salt`` of engine requests.
        """
        fields = (self.organisation, self.model, self.weights_version, self.adapter)
        hasher = hashlib.blake2b(key=_hash_key(secret), digest_size=_NAMESPACE_BYTES)
        for item in fields:
            raw = item.encode()
            # The length distinguishes ("ab", "c") from ("a", "bc").
            hasher.update(len(raw).to_bytes(4, "big"))
            hasher.update(raw)
        return hasher.digest()


@dataclass(slots=True, kw_only=True)
class Prompt:
    """Keys and sizes of the segments of a prompt, root first.

    Attributes
    ----------
    keys : list of int
        64-bit keys; each depends on its segment and all segments before it.
    tokens : list of int
        Estimated tokens of each segment.
    unversioned_keys : list of int
        Keys of the same segments without the weights version. They only select
        preferred engines and are never compared with cached keys.
    """

    keys: list[int]
    tokens: list[int]
    unversioned_keys: list[int]


def _hash_key(secret: bytes) -> bytes:
    # blake2b accepts keys of up to 64 bytes; a longer secret is hashed first.
    return secret if len(secret) <= 64 else hashlib.blake2b(secret).digest()


def chain_keys(
    secret: bytes, namespace: Namespace, segments: Iterable[bytes]
) -> list[int]:
    """Return the key of each segment, chained from the namespace.

    Parameters
    ----------
    secret : bytes
        Deployment secret, without which callers cannot compute keys.
    namespace : Namespace
        Organisation, model, weights version and adapter.
    segments : iterable of bytes
        Content of the segments, root first.

    Returns
    -------
    list of int
        64-bit keys.

    Examples
    --------
    >>> space = Namespace(organisation="a", model="m", weights_version="1")
    >>> both = chain_keys(b"secret", space, [b"house rules", b"guide"])
    >>> both[:1] == chain_keys(b"secret", space, [b"house rules"])
    True
    >>> both[1:] == chain_keys(b"secret", space, [b"guide"])
    False
    """
    hash_key = _hash_key(secret)
    previous = namespace.digest(secret)
    keys = []
    for segment in segments:
        hasher = hashlib.blake2b(previous, key=hash_key, digest_size=_KEY_BYTES)
        hasher.update(segment)
        previous = hasher.digest()
        keys.append(int.from_bytes(previous, "big"))
    return keys


def split_messages(messages: Sequence[Mapping[str, Any]]) -> list[str]:
    """Split chat messages into segments.

    A segment ends at a message boundary or after 8,192 characters. Every member of a
    message is included, in the order in which the caller sent it.

    Parameters
    ----------
    messages : sequence of mapping
        Messages of a chat completion request.

    Returns
    -------
    list of str
        Segments, root first.

    Examples
    --------
    >>> split_messages([{"role": "user", "content": "hello"}])
    ['["user",[]]hello']
    >>> [len(s) for s in split_messages([{"role": "user", "content": "x" * 9000}])]
    [8192, 819]
    """
    segments: list[str] = []
    for message in messages:
        other_members = [
            [name, value]
            for name, value in message.items()
            if name not in ("role", "content")
        ]
        header = json.dumps(
            [message.get("role"), other_members],
            separators=(",", ":"),
            ensure_ascii=False,
        )
        content = message.get("content")
        if not isinstance(content, str):
            content = json.dumps(content, separators=(",", ":"), ensure_ascii=False)
        text = header + content
        segments.extend(
            text[start : start + SEGMENT_CHARACTERS]
            for start in range(0, len(text), SEGMENT_CHARACTERS)
        )
    return segments


def hash_prompt(
    secret: bytes, namespace: Namespace, messages: Sequence[Mapping[str, Any]]
) -> Prompt:
    """Return keys and token estimates of a chat prompt.

    Parameters
    ----------
    secret : bytes
        Deployment secret.
    namespace : Namespace
        Organisation, model, weights version and adapter.
    messages : sequence of mapping
        Messages of a chat completion request.

    Returns
    -------
    Prompt
        Keys and tokens, root first.
    """
    segments = split_messages(messages)
    # Each segment is hashed once; the two chains hash only its digest.
    digests = [
        hashlib.blake2b(
            segment.encode("utf-8", "surrogatepass"), digest_size=_DIGEST_BYTES
        ).digest()
        for segment in segments
    ]
    return Prompt(
        keys=chain_keys(secret, namespace, digests),
        tokens=[max(1, len(segment) // CHARACTERS_PER_TOKEN) for segment in segments],
        unversioned_keys=chain_keys(
            secret, replace(namespace, weights_version=""), digests
        ),
    )
