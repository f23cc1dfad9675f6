"""Rendezvous (highest random weight) hashing.

Source: Thaler and Ravishankar, "Using name-based mappings to increase hit
rates", IEEE/ACM Transactions on Networking 6(1), 1998.
"""

import hashlib
from collections.abc import Iterable


def weight(key: str, node: str) -> int:
    """Return the 64-bit weight of a node for a key."""
    data = f"{key}\0{node}".encode()
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest(), "big")


def rank(key: str, nodes: Iterable[str]) -> list[str]:
    """Return the nodes in descending order of their weight for a key.

    Removing a node reassigns only the keys for which it ranked first.

    Examples
    --------
    >>> order = rank("engine:e1", ["a", "b", "c"])
    >>> rank("engine:e1", order[1:]) == order[1:]
    True
    """
    return sorted(nodes, key=lambda node: weight(key, node), reverse=True)


def owner(key: str, nodes: Iterable[str]) -> str | None:
    """Return the node with the highest weight for a key, or None without nodes."""
    return max(nodes, key=lambda node: weight(key, node), default=None)
