"""Loopback ports for the programs of a measurement or a test."""

import os
import random
import socket

# Below the range of ephemeral ports: an outgoing connection of any process may take one
# of those between the search for a free port and its use.
FIRST_PORT = 12_000
LAST_PORT = 32_000

_rng = random.Random(f"{os.getpid()}-{random.random()}")


def free_port() -> int:
    """Return a loopback port that is free."""
    while True:
        port = _rng.randrange(FIRST_PORT, LAST_PORT)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
