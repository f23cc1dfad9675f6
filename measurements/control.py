"""CPU, memory and traffic of one agent at its share of the design size.

Peers, routers, engines and the platform run in other processes. CPU and memory are read
from /proc; traffic counts the bytes of messages, events and probes with framing.
"""

import json
import multiprocessing
import re
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from measurements._cluster import fetch, wait_until
from measurements._control_load import (
    DATA_CENTRE,
    SECRET,
    Load,
    choose_engine_names,
    free_ports,
    run_engines,
    run_platform,
    start_process,
)
from measurements._control_peers import run_peers

VMS = 70
ENGINES = 371
WARM_UP_S = 6.0
WINDOW_S = 20.0
# A WebSocket frame header has 2 bytes from a server and 6 from a client; this is the
# mean of both.
FRAME_BYTES = 4

SETTINGS = """
[vm]
name = {vm}
data_centre = {data_centre}
[router]
listen = 127.0.0.1:0
admin_listen = 127.0.0.1:0
[agent]
listen = 127.0.0.1:{port}
metrics_listen = 127.0.0.1:{metrics}
[links]
secret = {secret}
[platform]
table = http://127.0.0.1:{platform}
object_store = http://127.0.0.1:{platform}
vm_list = http://127.0.0.1:{platform}
[pool chat]
kind = engine
"""


def make_load(seed: int, **sizes: Any) -> Load:
    """Return the load of one run, with ports for all processes."""
    vms = [f"vm{number:03d}" for number in range(VMS)]
    # The measured VM is in the middle of the list, so that it dials half of its peers.
    vm = vms[VMS // 2]
    engines = choose_engine_names(vm, vms, total=ENGINES, owned=sizes.get("owned", 5))
    load = Load(seed=seed, vm=vm, vms=vms, engines=engines, ports={}, **sizes)
    names = ["platform", "metrics", *vms, *load.owned_engines()]
    load.ports.update(zip(names, free_ports(len(names), seed=seed), strict=True))
    return load


def read_metrics(load: Load) -> dict[str, float]:
    """Return the values of the agent's metrics by name with labels."""
    _, _, body = fetch(f"http://127.0.0.1:{load.ports['metrics']}/metrics")
    rows = re.findall(r"^(endivelug_agent_[^ ]+) (\S+)$", body.decode(), re.MULTILINE)
    return {name.removeprefix("endivelug_agent_"): float(value) for name, value in rows}


def cpu_s(pid: int) -> float:
    """Return the CPU seconds that the main thread of a process has used."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9


def measure_contention() -> float:
    """Return the mean duration of a fixed loop relative to its shortest one.

    A ratio well above 1 shows that other work on the machine inflates the CPU times.
    """
    durations = []
    for _ in range(400):
        started = time.thread_time()
        total = 0
        for number in range(5000):
            total += number * number % 7
        durations.append(time.thread_time() - started)
        time.sleep(0.002)
    return sum(durations) / len(durations) / min(durations)


def memory_mb(pid: int, key: str = "VmRSS") -> float:
    """Return a memory figure of /proc in MiB; by default the resident memory."""
    text = Path(f"/proc/{pid}/status").read_text()
    match = re.search(rf"{key}:\s+(\d+) kB", text)
    return int(match[1]) / 1024 if match else 0.0


def measure_load(
    load: Load, *, window_s: float = WINDOW_S, warm_up_s: float = WARM_UP_S
) -> dict[str, Any]:
    """Run one agent under a load and return the measured figures."""
    context = multiprocessing.get_context("spawn")
    stop, start_load = context.Event(), context.Event()
    results = context.Queue()
    processes = []
    agent = None
    try:
        for target, extra in (
            (run_platform, ()),
            (run_engines, ()),
            (run_peers, (start_load, results)),
        ):
            ready = context.Event()
            processes.append(start_process(target, load, ready, stop, *extra))
            if not ready.wait(30):
                raise TimeoutError(f"{target.__name__} did not start")
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "agent.ini"
            path.write_text(
                SETTINGS.format(
                    vm=load.vm,
                    data_centre=DATA_CENTRE,
                    port=load.ports[load.vm],
                    metrics=load.ports["metrics"],
                    platform=load.ports["platform"],
                    secret=SECRET,
                )
            )
            agent = subprocess.Popen(
                [sys.executable, "-m", "endivelug.agent", str(path)],
                stdout=subprocess.DEVNULL,
            )
            return _measure_window(
                load, agent, stop, start_load, results, window_s, warm_up_s
            )
    finally:
        stop.set()
        if agent is not None:
            agent.terminate()
            agent.wait(10)
        for process in processes:
            process.join(5)
            if process.is_alive():
                process.kill()


def _measure_window(
    load: Load,
    agent: Any,
    stop: Any,
    start_load: Any,
    results: Any,
    window_s: float,
    warm_up_s: float,
) -> dict[str, Any]:
    def is_steady() -> bool:
        values = read_metrics(load)
        return (
            values["cached_keys"] >= load.keys * 0.99
            and values["live_agents"] == len(load.vms)
            and (values["revision"] > 0 or not load.organisations)
        )

    wait_until(is_steady, what="the steady state", timeout_s=30)
    start_load.set()
    time.sleep(warm_up_s)
    before, cpu_before, started = read_metrics(load), cpu_s(agent.pid), time.monotonic()
    rss = 0.0
    while time.monotonic() - started < window_s:
        rss = max(rss, memory_mb(agent.pid))
        time.sleep(0.5)
    used_cpu_s = cpu_s(agent.pid) - cpu_before
    elapsed_s = time.monotonic() - started
    after = read_metrics(load)
    deltas = {name: after[name] - before[name] for name in after}
    byte_metrics = ("link_sent_bytes", "link_received_bytes", "event_bytes")
    payload = sum(deltas[name] for name in (*byte_metrics, "probe_bytes"))
    messages = deltas["messages_received"] + deltas["messages_sent"]
    stop.set()
    summary = {
        "rss_mb": round(rss, 1),
        "core_pct": round(100 * used_cpu_s / elapsed_s, 2),
        "kb_per_s": round((payload + messages * FRAME_BYTES) / elapsed_s / 1e3, 1),
        "peak_mb": round(memory_mb(agent.pid, "VmHWM"), 1),
        "messages_s": round(messages / elapsed_s, 1),
        "events_bytes_s": round(deltas["event_bytes"] / elapsed_s, 1),
        "probes_s": round(deltas["probes"] / elapsed_s, 2),
        "cached_keys": after["cached_keys"],
        "live_agents": after["live_agents"],
        "links": after["links"],
        "revision": after["revision"],
        "gaps": after["event_gaps"],
        "seconds": round(elapsed_s, 1),
        "contention": round(measure_contention(), 2),
    }
    return summary | json.loads(results.get(timeout=10))


def measure(*, seed: int) -> Iterator[dict[str, Any]]:
    """Yield the figures at the design size; targets: 64 MB, 1.2% of a core, 29 KB/s."""
    load = make_load(seed)
    result = measure_load(load)
    yield {
        "seed": seed,
        "vms": len(load.vms),
        "engines": len(load.engines),
        "events_s": load.events_s,
        "organisations": load.organisations,
        **result,
    }
