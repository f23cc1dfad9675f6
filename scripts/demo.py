"""Demo of the main functions of endivelug with stand-ins; exits 1 if a step fails."""

import hashlib
import json
import signal
import sys
import time
import urllib.request
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from measurements._cluster import Cluster, Vm, fetch, running_cluster, wait_until

KEY = "a-key-of-the-demo"
PLANS = """
[standard]
models = chat
adapters =
versions = chat=1
routes = {routes}
requests_s = 50
tokens_s = 500000
streams = 50
work_class = {classes}
weight = 1
"""
ORGANISATIONS = """
[demo]
plan = standard
keys = {digest}
"""
RULES = "House rules: answer briefly and cite the guide. " * 120
GUIDE = "Style guide: sizes are in centimetres, colours in words. " * 300


def check(step: str, passed: bool, detail: str) -> None:
    """Print the result of one step, and exit if the step failed."""
    print(f"{'ok  ' if passed else 'FAIL'} {step}: {detail}", flush=True)
    if not passed:
        sys.exit(1)


def write_lists(cluster: Cluster, *, services: bool) -> tuple[str, str]:
    """Write the lists of plans and organisations and return their paths."""
    routes = "chat, orders" if services else "chat"
    classes = ", ".join(f"{name}=interactive" for name in routes.split(", "))
    plans = cluster.directory / "plans.ini"
    plans.write_text(PLANS.format(routes=routes, classes=classes))
    organisations = cluster.directory / "organisations.ini"
    digest = hashlib.sha256(KEY.encode()).hexdigest()
    organisations.write_text(ORGANISATIONS.format(digest=digest))
    return str(plans), str(organisations)


def apply_lists(cluster: Cluster, *, services: bool) -> str:
    """Apply the lists with the operator's command and return its output."""
    plans, organisations = write_lists(cluster, services=services)
    completed = cluster.run_ctl(
        "apply", "--plans", plans, "--organisations", organisations
    )
    if completed.returncode:
        print(completed.stdout, completed.stderr)
    check(
        "apply the lists",
        completed.returncode == 0,
        f"exit code {completed.returncode}",
    )
    return completed.stdout


def completion(
    vm: Vm, question: str, *, max_tokens: int = 24
) -> urllib.request.Request:
    """Return a streamed chat completion request."""
    body = {
        "model": "chat",
        "stream": True,
        "stream_options": {"include_usage": True},
        "max_tokens": max_tokens,
        "messages": [
            {"role": "system", "content": RULES},
            {"role": "system", "content": GUIDE},
            {"role": "user", "content": question},
        ],
    }
    return urllib.request.Request(
        f"{vm.router_url}/v1/chat/completions",
        data=json.dumps(body).encode(),
        headers={"Authorization": f"Bearer {KEY}", "Content-Type": "application/json"},
    )


def parse_events(response: Any) -> Iterator[tuple[int, str]]:
    """Yield the id and the data of each event of a stream."""
    number = -1
    for raw in response:
        line = raw.decode().rstrip("\n")
        if line.startswith("id: "):
            number = int(line[4:])
        elif line.startswith("data: "):
            yield number, line[6:]


def summarise(received: list[tuple[int, str]]) -> dict[str, Any]:
    """Return whether a stream is complete, and its counts of chunks and tokens."""
    usage: dict[str, Any] = {}
    chunk_count = 0
    for _, data in received[:-1]:
        chunk = json.loads(data)
        usage = chunk.get("usage") or usage
        chunk_count += sum(
            bool(item["delta"].get("content")) for item in chunk["choices"]
        )
    numbers = [number for number, _ in received]
    cached = (usage.get("prompt_tokens_details") or {}).get("cached_tokens", 0)
    return {
        "whole": received[-1][1] == "[DONE]" and numbers == list(range(len(received))),
        "chunks": chunk_count,
        "prompt": usage.get("prompt_tokens", 0),
        "cached": cached,
    }


def show_completions(vm: Vm) -> None:
    """Send two completions that share a prefix."""
    results = []
    for question in ("Which size for 26 cm?", "Which colour names are allowed?"):
        with urllib.request.urlopen(completion(vm, question), timeout=30) as response:
            results.append(summarise(list(parse_events(response))))
        # The engine's cache events must reach the owner before the next placement.
        time.sleep(0.5)
    first, second = results
    check("streamed completion", first["whole"], f"{first['chunks']} chunks in order")
    check(
        "shared prefix hits the cache",
        second["whole"] and second["cached"] > 0.5 * second["prompt"],
        f"{second['cached']} of {second['prompt']} prompt tokens from the cache",
    )


def show_call(vm: Vm, service: str) -> None:
    """Send a non-idempotent call twice with the same idempotency key."""
    headers = {
        "Authorization": f"Bearer {KEY}",
        "Idempotency-Key": "order-1",
        "Content-Type": "application/json",
    }
    responses = [
        fetch(
            f"{vm.router_url}/services/orders/reserve",
            body={"key": "order-1"},
            headers=headers,
        )
        for _ in range(2)
    ]
    runs = json.loads(fetch(f"{service}/count?key=order-1")[2])["runs"]
    identical = responses[0][2] == responses[1][2] and responses[0][0] == 200
    check("non-idempotent call, sent twice", identical and runs == 1, f"{runs} run")


def show_edit(cluster: Cluster) -> None:
    """Remove a service from the plan and wait until all routers apply the edit."""
    apply_lists(cluster, services=False)
    started = time.monotonic()

    def is_in_force() -> bool:
        return all(
            fetch(
                f"{vm.router_url}/services/orders/count",
                headers={"Authorization": f"Bearer {KEY}"},
            )[0]
            == 403
            for vm in cluster.vms.values()
        )

    wait_until(is_in_force, what="the edit in force", timeout_s=5.0)
    check("edit of a plan in force", True, f"{time.monotonic() - started:.2f} s after")


def show_stop(vm: Vm) -> None:
    """Stop a router during a stream and check that the stream completes."""
    assert vm.router is not None
    request = completion(vm, "Explain every size.", max_tokens=200)
    with urllib.request.urlopen(request, timeout=60) as response:
        stream = parse_events(response)
        received = [next(stream) for _ in range(5)]
        vm.router.send_signal(signal.SIGTERM)
        received += list(stream)
    code = vm.router.wait(30)
    result = summarise(received)
    check(
        "planned stop in the middle of a stream",
        result["whole"] and code == 0,
        f"{result['chunks']} chunks, exit code {code}",
    )


def main() -> None:
    """Run the demo; on failure, print the end of each log file."""
    pools = {"chat": {"kind": "engine"}, "orders": {"kind": "service"}}
    with running_cluster(pool_settings=pools) as cluster:
        try:
            run(cluster)
        except BaseException:
            for path in sorted(Path(cluster.directory).glob("*.log")):
                print(f"--- {path.name}\n{path.read_text()[-2000:]}", file=sys.stderr)
            raise


def run(cluster: Cluster) -> None:
    """Start the cluster and run each step."""
    started = time.monotonic()
    cluster.start_platform()
    for name in ("engine1", "engine2"):
        cluster.start_engine(name, "--model", "chat=1")
    service = cluster.start_service("orders1", pool="orders")
    vms = [cluster.add_vm(name) for name in ("vm1", "vm2")]
    cluster.publish_vm_list()
    for vm in vms:
        cluster.start_agent(vm)
        cluster.start_router(vm)
    apply_lists(cluster, services=True)
    for vm in vms:
        cluster.wait_ready(vm)
    startup_s = time.monotonic() - started
    check("platform, 3 upstreams and 2 VMs", True, f"ready in {startup_s:.1f} s")
    show_completions(vms[0])
    show_call(vms[0], service)
    show_edit(cluster)
    show_stop(vms[1])


if __name__ == "__main__":
    main()
