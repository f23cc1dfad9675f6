"""Signals that arrive before the program's event loop runs."""

import subprocess
import sys

SCRIPT = """
import signal, sys
import endivelug.platform.__main__ as entry
heavy = {"uvloop", "tornado", "eliot"} & set(sys.modules)
assert not heavy, heavy
try:
    entry.main([sys.argv[1]])
except SystemExit as error:
    assert error.code == 2, error.code
assert signal.getsignal(signal.SIGHUP) is signal.SIG_IGN
signal.raise_signal(signal.SIGHUP)
try:
    signal.raise_signal(signal.SIGTERM)
except SystemExit as error:
    assert error.code == 0, error.code
"""


# Guards against a process that fails on SIGHUP (changed settings) or SIGTERM (stop)
# while it is still importing its modules (soak seeds 15 and 20).
def test_signals_during_the_start_do_not_make_the_process_fail(tmp_path):
    path = tmp_path / "missing.json"
    result = subprocess.run(
        [sys.executable, "-c", SCRIPT, str(path)], capture_output=True, check=False
    )
    assert result.returncode == 0, result.stderr.decode()
