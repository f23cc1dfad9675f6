"""Entry point of ``python -m endivelug.platform``."""

import signal
import sys
from types import FrameType
from typing import Any


def _exit_cleanly(number: int, frame: FrameType | None) -> None:
    sys.exit(0)


def main(argv: list[str] | None = None) -> Any:
    """Run the command line."""
    # A signal can arrive while the modules are being imported; its default action would
    # end the process as a failure. The node later installs its own handlers.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, _exit_cleanly)
    from endivelug.platform.program import run_command

    return run_command(argv)


if __name__ == "__main__":
    main()
