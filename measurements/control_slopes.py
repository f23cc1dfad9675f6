"""Memory and CPU of the agent per key, message and event, from runs of ``control``."""

from collections.abc import Iterator
from typing import Any

from measurements.control import make_load, measure_load

WINDOW_S = 5.0
WARM_UP_S = 2.0
# Each run differs from the base run in one size.
RUNS: dict[str, dict[str, Any]] = {
    "base": {},
    "keys": {"keys": 1_060_000},
    "organisations": {"organisations": 0},
    "lookups": {"lookups_s": 0.01, "requests_s": 0.01},
    "events": {"events_s": 8000.0},
}


def measure(*, seed: int) -> Iterator[dict[str, Any]]:
    """Yield the figures of each run, then the slopes between the runs."""
    results = {}
    for name, sizes in RUNS.items():
        load = make_load(seed, **sizes)
        results[name] = measure_load(load, window_s=WINDOW_S, warm_up_s=WARM_UP_S)
        figures = ("rss_mb", "core_pct", "messages_s", "kb_per_s", "contention")
        yield {"run": name, **{key: results[name][key] for key in figures}}
    base = results["base"]

    def difference(name: str, key: str) -> float:
        return float(results[name][key]) - float(base[key])

    # Microseconds of CPU per second for 1% of a core. The divisors below are the
    # differences in size between the base run and the other run.
    cpu_us_per_pct = 1e4
    yield {
        "seed": seed,
        "bytes_per_key": round(difference("keys", "rss_mb") * 2**20 / 795_000, 1),
        "bytes_per_organisation": round(
            -difference("organisations", "rss_mb") * 2**20 / 35_000
        ),
        "cpu_us_per_message": round(
            cpu_us_per_pct
            * difference("lookups", "core_pct")
            / difference("lookups", "messages_s"),
            1,
        ),
        "cpu_us_per_event": round(
            cpu_us_per_pct * difference("events", "core_pct") / 7200, 2
        ),
        "bytes_per_event": round(difference("events", "kb_per_s") * 1e3 / 7200, 1),
        "rest_mb": results["organisations"]["rss_mb"],
    }
