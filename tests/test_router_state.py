import asyncio
import random

from builders import SETTINGS, make_upstream
from endivelug.messages import LocalState
from endivelug.router_state import UPSTREAM_WAIT_S, RouterState
from endivelug.settings import parse_settings


def make_state(now):
    state = RouterState(
        settings=parse_settings(SETTINGS), clock=lambda: now[0], rng=random.Random(1)
    )
    state.configuration.revision = 1
    return state


def apply_state(state, *upstreams):
    message = LocalState(agents=[], upstreams=list(upstreams), connected=True)
    asyncio.run(state.handle(None, message))


# Guards against a router that accepts requests before it knows a live upstream, and
# against one that never becomes ready because all upstreams are dead.
def test_readiness_waits_for_upstreams_but_not_for_ever():
    now = [100.0]
    state = make_state(now)
    assert state.refusal().kind == "not-ready"
    apply_state(state, make_upstream("e1", state="dead"))
    assert not state.is_ready()
    service = make_upstream("s1", kind="service", pool="orders")
    apply_state(state, make_upstream("e1", state="dead"), service)
    assert not state.is_ready()
    apply_state(state, make_upstream("e1", state="live"), service)
    assert state.is_ready()
    apply_state(state, make_upstream("e1", state="dead"), service)
    assert state.is_ready()
    state = make_state(now)
    apply_state(state)
    now[0] += UPSTREAM_WAIT_S
    assert state.is_ready()


# Guards against a partitioned data centre that keeps serving a revoked plan.
def test_stale_configuration_is_refused():
    now = [100.0]
    state = make_state(now)
    apply_state(state, make_upstream("e1"))
    state.staleness.record_contact("", 100.0)
    assert state.refusal() is None
    now[0] += state.staleness.stale_limit_s + 1
    assert state.refusal().kind == "configuration-stale"
    assert state.refusal().retry_after_s
