"""Run the real programs of one VM, for tests that send malformed or hostile input."""

import asyncio
import contextlib
import hashlib
import random
import socket
from pathlib import Path
from urllib.parse import urlsplit

from hypothesis import HealthCheck, settings
from measurements._cluster import SECRET, fetch, running_cluster
from measurements._lists import PLANS
from websockets.sync.client import connect

from endivelug import codec, messages
from endivelug._handshake import _compute_proof
from endivelug.config_store import ConfigStore
from endivelug.lists import parse_lists
from endivelug.object_store import ObjectStore
from endivelug.table import Table

KEYS = {"org-a": "a-key-of-organisation-a", "org-b": "a-key-of-organisation-b"}
# The agent should use 64 MB in total, so malformed input must not add that much.
MAX_GROWTH_KB = 64 * 1024
# Timeout of a read from a listener that still waits for input.
READ_TIMEOUT_S = 0.3
FUZZ = settings(
    derandomize=True,
    max_examples=25,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)


def authorization(organisation):
    return {"Authorization": f"Bearer {KEYS[organisation]}"}


def chat_body(text="hello " * 40, **members):
    messages_ = [{"role": "user", "content": text}]
    return {"model": "chat", "messages": messages_, "max_tokens": 4, **members}


async def commit_lists(url, lists):
    store = ConfigStore(
        table=Table(url=url), objects=ObjectStore(url=url), rng=random.Random(1)
    )
    await store.commit(base=0, lists=lists)


def rss_kb(process):
    status = Path(f"/proc/{process.pid}/status").read_text()
    return int(status.split("VmRSS:")[1].split()[0])


class System:
    """The running programs of one VM, with two organisations on the same plan."""

    def __init__(self, cluster, vm):
        self.cluster = cluster
        self.vm = vm
        self.agent = vm.agent
        self.router = vm.router
        self.checked_log_length = 0

    def address(self, listener):
        url = {
            "router": self.vm.router_url,
            "admin": self.vm.admin_url,
            "agent": f"http://{self.vm.agent_address}",
            "agent-metrics": self.vm.agent_url,
        }[listener]
        return urlsplit(url).hostname, urlsplit(url).port

    def logs(self):
        return "".join(
            (self.cluster.directory / f"vm1-{name}.log").read_text(errors="replace")
            for name in ("router", "agent")
        )

    def chat(self, organisation="org-a", **members):
        status, headers, body = fetch(
            f"{self.vm.router_url}/v1/chat/completions",
            body=chat_body(**members),
            headers=authorization(organisation),
        )
        return status, headers, body

    def assert_healthy(self):
        """Assert that all listeners serve, without tracebacks or excessive memory."""
        assert self.agent.poll() is None and self.router.poll() is None
        status, _, body = self.chat()
        assert status == 200, body
        assert fetch(f"{self.vm.admin_url}/metrics")[0] == 200
        assert fetch(f"{self.vm.agent_url}/metrics")[0] == 200
        with self.link() as peer:
            assert isinstance(peer.ask(messages.StatusRequest()), messages.Status)
        logs = self.logs()
        new_logs, self.checked_log_length = logs[self.checked_log_length :], len(logs)
        assert "Traceback" not in new_logs, new_logs[-3000:]
        for process, before in self.initial_rss_kb.items():
            assert rss_kb(process) - before < MAX_GROWTH_KB

    def record_memory(self):
        self.initial_rss_kb = {
            process: rss_kb(process) for process in (self.agent, self.router)
        }

    @contextlib.contextmanager
    def link(self, *, secret=SECRET.encode()):
        with Peer(self.vm.agent_address, secret=secret) as peer:
            yield peer


class Peer:
    """A peer of the agent that builds and sends its frames itself."""

    def __init__(self, address, *, secret):
        self.url = f"ws://{address}/"
        self.secret = secret

    def __enter__(self):
        self.socket = contextlib.ExitStack().enter_context(
            connect(self.url, compression=None, max_size=2**23, proxy=None)
        )
        self.hello_frame = codec.encode(
            messages.Hello(
                protocol=messages.PROTOCOL_VERSION,
                vm="ghost",
                data_centre="dc1",
                role="operator",
                incarnation=1,
                nonce=b"n" * 16,
            )
        )
        self.socket.send(self.hello_frame)
        self.greeting = self.socket.recv(timeout=5)
        proof = _compute_proof(self.secret, b"client", self.hello_frame, self.greeting)
        self.socket.send(codec.encode(messages.Proof(hmac=proof)))
        self.proof = self.socket.recv(timeout=5)
        return self

    def __exit__(self, *_):
        self.socket.close()

    def ask(self, message):
        with contextlib.suppress(TimeoutError):
            self.socket.send(codec.encode(message, correlation=77))
            while True:
                correlation, reply = codec.decode(self.socket.recv(timeout=3))
                if correlation == -77:
                    return reply
        return None


def send_raw(address, data, *, cut=False, read_s=READ_TIMEOUT_S):
    """Send bytes and return the response up to the close or the read timeout."""
    response = b""
    connection = socket.create_connection(address, timeout=5)
    with connection, contextlib.suppress(OSError):
        connection.sendall(data)
        if cut:
            return response
        connection.settimeout(read_s)
        while data_read := connection.recv(65536):
            response += data_read
    return response


def post(system, path, body, headers, *, listener="router"):
    fields = {**authorization("org-a"), **headers, "Content-Length": str(len(body))}
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    request = f"POST {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n{lines}\r\n"
    response = send_raw(
        system.address(listener), request.encode("latin-1") + body, read_s=10
    )
    while response.startswith(b"HTTP/1.1 100 "):
        response = response.partition(b"\r\n\r\n")[2]
    head, _, content = response.partition(b"\r\n\r\n")
    return int(head.split(b" ")[1]), content


@contextlib.contextmanager
def running_system(**options):
    """Run one VM with an engine and a service, and yield it."""
    pools = {"chat": {"kind": "engine"}, "orders": {"kind": "service"}}
    with running_cluster(pool_settings=pools, **options) as cluster:
        cluster.start_platform()
        cluster.start_engine("e1", "--model", "chat=1")
        cluster.start_service("orders1", pool="orders")
        vm = cluster.add_vm("vm1")
        cluster.publish_vm_list()
        cluster.start_agent(vm)
        cluster.start_router(vm)
        organisations = "".join(
            f"[{name}]\nplan = standard\n"
            f"keys = {hashlib.sha256(key.encode()).hexdigest()}\n"
            for name, key in KEYS.items()
        )
        asyncio.run(
            commit_lists(cluster.platform_url, parse_lists(PLANS, organisations))
        )
        cluster.wait_ready(vm)
        system = System(cluster, vm)
        system.record_memory()
        system.assert_healthy()
        system.record_memory()
        yield system
