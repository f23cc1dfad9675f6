"""Checks of requests that must run once, from the runs that upstreams recorded."""

from itertools import pairwise

from .runs import Run

# Time for which a run and the one that goes on from its backup may overlap.
MAX_OVERLAP_S = 0.4


def repeated_runs(runs: list[Run]) -> list[str]:
    """Return a line if a request ran again other than from its backup."""
    fresh = [run for run in runs if not run.continued]
    return [f"ran twice: {runs}"] if len(fresh) > 1 else []


def overlapping_runs(runs: list[Run]) -> list[str]:
    """Return a line for each run that went on while the one before it still ran.

    An engine that could not be reached when its run was continued is excused.
    """
    return [
        f"went on {later.at - earlier.at:.2f} s after the first run's start, which "
        f"ended {earlier.ended_at - later.at:.2f} s later: {runs}"
        for earlier, later in pairwise(sorted(runs, key=lambda run: run.at))
        if later.continued
        and earlier.ended_at > later.at + MAX_OVERLAP_S
        and not earlier.cut_off_during(later.at - MAX_OVERLAP_S, later.at)
    ]
