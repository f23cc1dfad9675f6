"""Starts the programs of endivelug and the stand-ins as processes on loopback."""

import contextlib
import hashlib
import json
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from measurements._ports import free_port

START_TIMEOUT_S = 20.0
SECRET = "link secret of a demonstration"


def fetch(
    url: str,
    *,
    body: Any = None,
    method: str | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 10.0,
) -> tuple[int, dict[str, str], bytes]:
    """Send an HTTP request; return status, headers and body, also of HTTP errors."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(
        url, data=data, method=method, headers=headers or {}
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as response:
            return response.status, dict(response.headers), response.read()
    except urllib.error.HTTPError as error:
        return error.code, dict(error.headers), error.read()


def wait_until(condition: Any, *, what: str, timeout_s: float = START_TIMEOUT_S) -> Any:
    """Call a function until its result is true and return the result.

    An OSError counts as a false result. After ``timeout_s``, a TimeoutError is raised.
    """
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        try:
            if result := condition():
                return result
        except OSError:
            pass
        time.sleep(0.05)
    raise TimeoutError(f"{what} did not happen within {timeout_s} s")


@dataclass(slots=True, kw_only=True)
class Vm:
    """One VM with the processes of its agent and its router."""

    name: str
    data_centre: str
    settings: Path
    router_url: str
    admin_url: str
    agent_address: str
    agent_url: str
    agent: subprocess.Popen[bytes] | None = None
    router: subprocess.Popen[bytes] | None = None


@dataclass(slots=True, kw_only=True)
class Cluster:
    """Processes of one run, which ``running_cluster`` kills at its end.

    Attributes
    ----------
    agent_settings, router_settings : dict of str to str
        Additional settings of all agents and routers.
    pool_settings : dict of str to dict
        Settings of each pool by its name.
    vm_list : dict of str to dict
        Entries of the VM list by VM name; ``publish_vm_list`` writes them.
    """

    directory: Path
    objective: str = "latency"
    agent_settings: dict[str, str] = field(default_factory=dict)
    router_settings: dict[str, str] = field(default_factory=dict)
    pool_settings: dict[str, dict[str, str]] = field(default_factory=dict)
    data_centres: list[str] = field(default_factory=lambda: ["dc1"])
    processes: list[subprocess.Popen[bytes]] = field(default_factory=list)
    vm_list: dict[str, dict[str, Any]] = field(default_factory=dict)
    vms: dict[str, Vm] = field(default_factory=dict)
    upstreams: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)
    platform_url: str = ""

    def spawn(self, *arguments: str, log: str) -> subprocess.Popen[bytes]:
        """Run ``python -m`` with arguments and append its output to a log file."""
        with open(self.directory / f"{log}.log", "ab") as output:
            process = subprocess.Popen(
                [sys.executable, "-m", *arguments], stdout=output, stderr=output
            )
        self.processes.append(process)
        return process

    def start_platform(self) -> None:
        """Start the stand-in platform and wait until it responds."""
        port = free_port()
        self.platform_url = f"http://127.0.0.1:{port}"
        self.spawn(
            "endivelug.standin",
            "platform",
            "--listen",
            f"127.0.0.1:{port}",
            log="platform",
        )
        wait_until(
            lambda: fetch(f"{self.platform_url}/v1/vms")[0] == 200, what="platform"
        )

    def set_platform_faults(self, **faults: Any) -> None:
        """Set faults that the stand-in platform injects."""
        fetch(f"{self.platform_url}/faults", body=faults, method="POST")

    def publish_vm_list(self) -> None:
        """Write the current VM list to the platform."""
        fetch(
            f"{self.platform_url}/v1/vms",
            body=list(self.vm_list.values()),
            method="PUT",
        )

    def set_vm_entry(
        self,
        vm: str,
        *,
        address: str,
        data_centre: str,
        kind: str,
        pool: str = "",
        state: str = "live",
    ) -> None:
        """Add or replace an entry of the VM list, without publishing the list."""
        labels = {
            "vm": vm,
            "data_centre": data_centre,
            "kind": kind,
            "pool": pool,
            "state": state,
        }
        self.vm_list[vm] = {"targets": [address], "labels": labels}

    def start_engine(
        self, name: str, *options: str, pool: str = "chat", data_centre: str = "dc1"
    ) -> str:
        """Start a stand-in engine and return its URL."""
        return self._start_upstream(
            name, "engine", options, pool=pool, data_centre=data_centre
        )

    def start_service(self, name: str, *, pool: str, data_centre: str = "dc1") -> str:
        """Start a stand-in service and return its URL."""
        return self._start_upstream(
            name, "service", (), pool=pool, data_centre=data_centre
        )

    def _start_upstream(
        self,
        name: str,
        kind: str,
        options: tuple[str, ...],
        *,
        pool: str,
        data_centre: str,
    ) -> str:
        address = f"127.0.0.1:{free_port()}"
        self.upstreams[name] = self.spawn(
            "endivelug.standin", kind, "--listen", address, *options, log=name
        )
        self.set_vm_entry(
            name, address=address, data_centre=data_centre, kind=kind, pool=pool
        )
        wait_until(lambda: fetch(f"http://{address}/healthz")[0] == 200, what=name)
        return f"http://{address}"

    def add_vm(self, name: str, *, data_centre: str = "dc1") -> Vm:
        """Write the settings of a VM and list its agent, without starting a process."""
        ports = [free_port() for _ in range(4)]
        addresses = [f"127.0.0.1:{port}" for port in ports]
        peers = ", ".join(
            vm.agent_address
            for vm in self.vms.values()
            if vm.data_centre == data_centre
        )
        sections: dict[str, dict[str, str]] = {
            "vm": {
                "name": name,
                "data_centre": data_centre,
                "data_centres": ", ".join(self.data_centres),
            },
            "router": {
                "listen": addresses[0],
                "admin_listen": addresses[1],
                "objective": self.objective,
                "drain_notice_s": "0.5",
                **self.router_settings,
            },
            "agent": {
                "listen": addresses[2],
                "metrics_listen": addresses[3],
                "peers": peers,
                **self.agent_settings,
            },
            "links": {"secret": SECRET},
            "platform": {
                "table": self.platform_url,
                "object_store": self.platform_url,
                "vm_list": self.platform_url,
            },
            **{f"pool {pool}": keys for pool, keys in self.pool_settings.items()},
        }
        path = self.directory / f"{name}.ini"
        path.write_text(
            "\n".join(
                f"[{section}]\n"
                + "\n".join(f"{key} = {value}" for key, value in keys.items())
                for section, keys in sections.items()
            )
        )
        vm = Vm(
            name=name,
            data_centre=data_centre,
            settings=path,
            router_url=f"http://{addresses[0]}",
            admin_url=f"http://{addresses[1]}",
            agent_address=addresses[2],
            agent_url=f"http://{addresses[3]}",
        )
        self.vms[name] = vm
        self.set_vm_entry(
            name, address=addresses[2], data_centre=data_centre, kind="agent"
        )
        return vm

    def start_agent(self, vm: Vm) -> None:
        """Start the agent of a VM."""
        vm.agent = self.spawn(
            "endivelug.agent", str(vm.settings), log=f"{vm.name}-agent"
        )

    def start_router(self, vm: Vm) -> None:
        """Start the router of a VM."""
        vm.router = self.spawn(
            "endivelug.router", str(vm.settings), log=f"{vm.name}-router"
        )

    def wait_ready(self, vm: Vm, *, timeout_s: float = START_TIMEOUT_S) -> None:
        """Wait until the router of a VM accepts requests."""
        wait_until(
            lambda: fetch(f"{vm.router_url}/readyz")[0] == 200,
            what=f"readiness of {vm.name}",
            timeout_s=timeout_s,
        )

    def run_ctl(
        self, *arguments: str, vm: Vm | None = None
    ) -> subprocess.CompletedProcess[str]:
        """Run ``endivelugctl`` with the settings of a VM, by default the first one."""
        vm = vm or next(iter(self.vms.values()))
        return subprocess.run(
            [
                sys.executable,
                "-m",
                "endivelug.ctl",
                arguments[0],
                "--settings",
                str(vm.settings),
                *arguments[1:],
            ],
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )

    def apply_lists(self, plans: str, keys: dict[str, str]) -> None:
        """Apply plans and organisations, each with one key and the first plan."""
        path = self.directory / "plans.ini"
        path.write_text(plans)
        plan = plans.partition("[")[2].partition("]")[0]
        sections = (
            f"[{name}]\nplan = {plan}\n"
            f"keys = {hashlib.sha256(key.encode()).hexdigest()}\n"
            for name, key in keys.items()
        )
        organisations = self.directory / "organisations.ini"
        organisations.write_text("".join(sections))
        result = self.run_ctl(
            "apply", "--plans", str(path), "--organisations", str(organisations)
        )
        if result.returncode:
            raise RuntimeError(f"apply failed: {result.stdout}{result.stderr}")


def stop_process(
    process: subprocess.Popen[bytes], *, timeout_s: float = 30.0, kill: bool = False
) -> int:
    """Stop a process by SIGTERM, or SIGKILL if ``kill``, and return its exit code."""
    process.send_signal(signal.SIGKILL if kill else signal.SIGTERM)
    return process.wait(timeout_s)


@contextlib.contextmanager
def running_cluster(**options: Any) -> Iterator[Cluster]:
    """Yield a cluster and kill its remaining processes at the end."""
    with tempfile.TemporaryDirectory() as directory:
        cluster = Cluster(directory=Path(directory), **options)
        try:
            yield cluster
        finally:
            for process in cluster.processes:
                if process.poll() is None:
                    process.kill()
            for process in cluster.processes:
                process.wait()
