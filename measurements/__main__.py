"""Command line: runs one measurement and prints one JSON object per line."""

import importlib
import json
import pkgutil
import sys
from collections.abc import Iterator
from typing import Any

import defopt

import measurements


def measurement_names() -> list[str]:
    """Return the sorted names of all measurements."""
    return sorted(
        module.name
        for module in pkgutil.iter_modules(measurements.__path__)
        if not module.name.startswith("_")
    )


def run(name: str, *, seed: int = 1) -> None:
    """Run the measurement NAME; the last line printed is its summary.

    Each module ``measurements.NAME`` defines ``measure(*, seed)``, a generator that
    yields one dict per line and the summary last.

    Parameters
    ----------
    name : str
        Name of the measurement.
    seed : int
        Seed of the random generators.
    """
    if name not in measurement_names():
        sys.exit(
            f"unknown measurement {name!r}; "
            f"choose from: {', '.join(measurement_names())}"
        )
    module = importlib.import_module(f"measurements.{name}")
    lines: Iterator[dict[str, Any]] = module.measure(seed=seed)
    for line in lines:
        print(json.dumps(line), flush=True)


if __name__ == "__main__":
    defopt.run(run)
