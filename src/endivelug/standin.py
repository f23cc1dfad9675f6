"""Command line of ``endivelug-standin``: stand-in platform, engine and service."""

import asyncio
import importlib
import signal

import defopt
from tornado.httpserver import HTTPServer
from tornado.web import Application

import endivelug
from endivelug.standin_engine import EngineSpeed, EngineState, make_engine
from endivelug.standin_platform import PlatformState, make_platform


async def _serve(application: Application, listen: str) -> None:
    host, _, port = listen.rpartition(":")
    server = HTTPServer(application, xheaders=False)
    server.listen(int(port), address=host.strip("[]"))
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    await stop.wait()
    server.stop()
    await server.close_all_connections()


def platform(*, listen: str = "127.0.0.1:8300") -> None:
    """Serve a table, an object store and a VM list.

    Parameters
    ----------
    listen : str
        IP address and port.
    """

    async def run() -> None:
        await _serve(make_platform(PlatformState()), listen)

    asyncio.run(run())


def engine(
    *,
    listen: str = "127.0.0.1:8200",
    model: list[str] | None = None,
    prefill_tokens_s: float = 8000.0,
    cache_tokens: int = 200_000,
    max_streams: int = 64,
    event_lag_s: float = 0.3,
    load_lag_s: float = 0.0,
    load_s: float = 1.0,
    checks_fencing: bool = True,
) -> None:
    """Serve chat completions with a prefix cache.

    Parameters
    ----------
    listen : str
        IP address and port.
    model
        ``NAME=VERSION`` for each model; ``chat=1`` if none is given.
    prefill_tokens_s : float
        Prompt tokens prefilled per second.
    cache_tokens : int
        Capacity of the prefix cache in tokens.
    max_streams : int
        Maximum number of requests in the batch.
    event_lag_s : float
        Delay in seconds before cache events are sent.
    load_lag_s : float
        Age in seconds of the load reports that are served.
    load_s : float
        Duration of a weights load in seconds.
    checks_fencing : bool
        Whether orders with an old fencing number are refused.
    """
    speed = EngineSpeed(
        prefill_tokens_s=prefill_tokens_s,
        cache_tokens=cache_tokens,
        max_running=max_streams,
    )

    async def run() -> None:
        state = EngineState(
            models=dict(item.split("=", 1) for item in model or ["chat=1"]),
            speed=speed,
            event_lag_s=event_lag_s,
            load_lag_s=load_lag_s,
            load_s=load_s,
            checks_fencing=checks_fencing,
        )
        await _serve(make_engine(state), listen)

    asyncio.run(run())


def service(*, listen: str = "127.0.0.1:8400") -> None:
    """Serve a service with non-idempotent calls.

    Parameters
    ----------
    listen : str
        IP address and port.
    """
    # Imported here because the other two commands do not need the module.
    module = importlib.import_module("endivelug.standin_service")

    async def run() -> None:
        await _serve(module.make_service(module.ServiceState()), listen)

    asyncio.run(run())


def main(argv: list[str] | None = None) -> None:
    """Run the command given by the arguments.

    Parameters
    ----------
    argv : list of str, optional
        Arguments; those of the process by default.
    """
    defopt.run(
        [platform, engine, service],
        argv=argv,
        version=endivelug.__version__,
        argparse_kwargs={"prog": "endivelug-standin"},
    )


if __name__ == "__main__":
    main()
