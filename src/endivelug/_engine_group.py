"""State of one group of engines: fair queues and time estimates."""

from dataclasses import dataclass

from endivelug._engine_load import Work
from endivelug._fair_queue import FairQueue
from endivelug._quantile import Quantile


@dataclass(slots=True)
class EngineGroup:
    """Queues and time estimates of the engines that can run the same work.

    Attributes
    ----------
    queues : dict of str to FairQueue
        Queue of each work class.
    run_ratio, wait_ratio : dict of str to Quantile
        Actual over expected run time and wait, for each work class.
    batch_rate : float
        Batch tokens per second that this router can release.
    window_start : float
        Start of the window in which the batch rate is measured.
    window_tokens : float
        Batch tokens released in the window.
    window_backlogged : bool
        Whether batch work had to wait for room in the window.
    """

    engines: list[str]
    queues: dict[str, FairQueue[Work]]
    run_ratio: dict[str, Quantile]
    wait_ratio: dict[str, Quantile]
    batch_rate: float = 0.0
    window_start: float = 0.0
    window_tokens: float = 0.0
    window_backlogged: bool = False
