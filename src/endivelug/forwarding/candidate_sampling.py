"""Selects the engines that one VM weighs for a request.

Load pattern: hundreds of VMs send short requests to a few dozen engines, and each knows
the requests of the others as of some tenths of a second ago. If all of them weighed all
engines, all would choose the same one until the next reports: an engine that has just
become free, or the first with new weights, would get ten times the requests that it can
run. Each VM therefore weighs only a few engines, drawn at random: as many as keep the
requests that it cannot know of below an engine's reserve. Source: Mitzenmacher, "How
useful is old information?", IEEE Trans. on Parallel and Distributed Systems, 2000.
"""

import random
from collections.abc import Callable, Sequence
from typing import TypeVar

# Usual age of a report when it is used.
REPORT_AGE_S = 0.25
# Share of an engine's slots that may be taken by requests that a VM does not know of.
UNSEEN_SLOT_SHARE = 0.25
# With a single engine there would be no choice at all.
MIN_SAMPLE = 2

Engine = TypeVar("Engine")


def unseen_requests(*, requests_per_s: float, vms: int) -> float:
    """Return how many requests the other VMs send before their reports arrive."""
    return requests_per_s * REPORT_AGE_S * (1.0 - 1.0 / max(1, vms))


def sample_size(*, engines: int, slots: int, unseen: float) -> int:
    """Return how many engines to weigh.

    Parameters
    ----------
    engines, slots : int
        Engines that can take the request, and slots of each.
    unseen : float
        Requests that other VMs send at the same time.

    Examples
    --------
    >>> sample_size(engines=5, slots=64, unseen=8.0)
    5
    >>> sample_size(engines=40, slots=12, unseen=30.0)
    4
    """
    reserve = UNSEEN_SLOT_SHARE * slots
    if unseen <= reserve:
        return engines
    return min(engines, max(MIN_SAMPLE, round(engines * reserve / unseen)))


def draw_samples(
    engines: Sequence[Engine],
    *,
    size: int,
    is_local: Callable[[Engine], bool],
    rng: random.Random,
) -> list[list[Engine]]:
    """Return the engines in disjoint samples, in the order in which to try them.

    Half of each sample is drawn from the engines of the own data centre, as long as
    there are any left, because requests to another one cost more.
    """
    local = [engine for engine in engines if is_local(engine)]
    remote = [engine for engine in engines if not is_local(engine)]
    rng.shuffle(local)
    rng.shuffle(remote)
    samples = []
    while local or remote:
        near = local[: (size + 1) // 2]
        far = remote[: size - len(near)]
        if len(near) + len(far) < size:
            near = local[: size - len(far)]
        del local[: len(near)]
        del remote[: len(far)]
        samples.append(near + far)
    return samples
