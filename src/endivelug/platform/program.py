"""Command line of ``endivelug-node``: one router on the users' platform."""

import os
import random
import sys
import time
from dataclasses import dataclass
from typing import Any

import uvloop

import endivelug
from endivelug.exceptions import SettingsError
from endivelug.forwarding.connection_pool import ConnectionPool
from endivelug.forwarding.decision_log import DecisionLog
from endivelug.forwarding.node import Node
from endivelug.forwarding.row_cache import MAX_LOGGED_REASON
from endivelug.forwarding.shutdown import LAST_LINES_S
from endivelug.platform.engine_calls import EngineCalls
from endivelug.platform.header_format import HeaderFormat
from endivelug.platform.lease_table import ROUTER_TABLE, LeaseTable
from endivelug.platform.records import PlatformRecords
from endivelug.platform.settings import PATH_VARIABLE, load_node_settings
from endivelug.platform.store import PlatformStore

EXIT_SETTINGS = 2


@dataclass(slots=True, kw_only=True)
class PlatformAdapter:
    """Adapter to the users' platform, see ``endivelug.forwarding.adapter.Platform``."""

    wire: HeaderFormat
    records: PlatformRecords
    store: PlatformStore
    lease_rows: LeaseTable
    engines: EngineCalls
    router_table: str = ROUTER_TABLE


def make_platform(address: str, pool: ConnectionPool) -> PlatformAdapter:
    """Return the adapter for the platform whose store is at an address."""
    store = PlatformStore(address=address, pool=pool)
    return PlatformAdapter(
        wire=HeaderFormat(),
        records=PlatformRecords(),
        store=store,
        lease_rows=LeaseTable(store=store),
        engines=EngineCalls(pool=pool),
    )


def run(settings: str = "") -> None:
    """Run the router of one VM on the platform.

    Exit codes: 0 after a graceful shutdown, 2 if the settings are invalid.

    Parameters
    ----------
    settings : str
        Path of the settings file; by default, the value of ENDIVELUG_NODE_FILE.
    """
    path = settings or os.environ.get(PATH_VARIABLE, "")
    try:
        checked = load_node_settings(path)
    except SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    log = DecisionLog(descriptor=sys.stdout.fileno(), clock=time.monotonic)
    log.start(program="endivelug-node", vm=checked.vm)
    node = Node(
        settings=checked,
        make_platform=lambda pool: make_platform(checked.store, pool),
        log=log,
        rng=random.Random(),
    )
    try:
        uvloop.run(_run_to_exit(node))
    except Exception as error:
        log("process-failed", reason=repr(error)[:MAX_LOGGED_REASON])
        raise
    finally:
        log.finish(until=time.monotonic() + LAST_LINES_S)


async def _run_to_exit(node: Node) -> None:
    """Run a node, and end the process.

    The interpreter's own end takes up to a second on a busy machine, waits for tasks
    that ignore their cancellation, and runs without the handlers of signals.
    """
    await node.run()
    sys.stderr.flush()
    os._exit(0)


def run_command(argv: list[str] | None) -> Any:
    """Run the command line."""
    if not (sys.argv[1:] if argv is None else argv):
        # Loading the parser would take a third of the time of a start.
        return run()
    import defopt

    return defopt.run(run, argv=argv, version=endivelug.__version__)
