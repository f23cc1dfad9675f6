"""Entry point of ``python -m endivelug.platform``."""

import signal
import sys
from types import FrameType
from typing import Any


def _stop(number: int, frame: FrameType | None) -> None:
    sys.exit(0)


def main(argv: list[str] | None = None) -> Any:
    """Run the command line."""
    # Signals may come while the program is being loaded; their default actions would
    # end it as if it had failed. The node installs handlers of its own.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, _stop)
    from endivelug.platform.program import run_command

    return run_command(argv)


if __name__ == "__main__":
    main()
