"""Builders of test data; parameters cover only the values that tests vary."""

import contextlib
import dataclasses
import random
from collections.abc import AsyncIterator

from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port
from tornado.web import Application

from endivelug.config_store import ConfigStore
from endivelug.links import Identity
from endivelug.lists import Lists, Organisation, key_digest, parse_lists
from endivelug.messages import EngineView, UpstreamEntry
from endivelug.object_store import ObjectStore
from endivelug.placement import Candidate
from endivelug.standin_platform import PlatformState, make_platform
from endivelug.table import Table

SECRET = b"a secret of the test suite"

SETTINGS = """
[vm]
name = vm1
data_centre = dc1
[router]
listen = 127.0.0.1:0
admin_listen = 127.0.0.1:0
[agent]
listen = 127.0.0.1:0
metrics_listen = 127.0.0.1:0
[links]
secret = a secret of the test suite
[platform]
table = http://127.0.0.1:1
object_store = http://127.0.0.1:1
vm_list = http://127.0.0.1:1
[pool chat]
kind = engine
"""


def make_identity(vm="vm1", *, role="agent", secret=SECRET, incarnation=1):
    return Identity(
        vm=vm,
        data_centre="dc1",
        role=role,
        incarnation=incarnation,
        secret=secret,
    )


@contextlib.asynccontextmanager
async def serving(application: Application) -> AsyncIterator[str]:
    """Serve a tornado application on a free loopback port."""
    socket, port = bind_unused_port()
    server = HTTPServer(application)
    server.add_socket(socket)
    try:
        yield f"http://127.0.0.1:{port}"
    finally:
        server.stop()
        await server.close_all_connections()


@contextlib.asynccontextmanager
async def serving_platform(*, timeout_s=1.0):
    """Serve a stand-in platform and yield its state, its URL and a table client."""
    state = PlatformState()
    async with serving(make_platform(state)) as url:
        table = Table(url=url, timeout_s=timeout_s)
        try:
            yield state, url, table
        finally:
            table.close()


PLANS = """[counter]
models = base
adapters = kampo
versions = base=v1
routes = chat, stock
requests_s = 10
tokens_s = 2000
streams = 8
work_class = chat=interactive, stock=batch
weight = 1
"""

ORGANISATIONS = f"""[clinic]
plan = counter
keys = {key_digest("clinic key").hex()}
"""


def make_lists(*, organisations=2):
    """Return lists with plans ``counter`` and ``desk``; org-N has key ``key N``."""
    plans = parse_lists(PLANS, ORGANISATIONS).plans
    desk = dataclasses.replace(plans["counter"], name="desk", requests_s=20.0)
    return Lists(
        plans={**plans, "desk": desk},
        organisations={
            f"org-{number}": Organisation(
                name=f"org-{number}",
                plan="counter",
                keys=(key_digest(f"key {number}"),),
            )
            for number in range(organisations)
        },
    )


def config_store(url, *, seed=1, timeout_s=0.3):
    """Return a store on a stand-in platform; the caller has to close it."""
    return ConfigStore(
        table=Table(url=url, timeout_s=timeout_s),
        objects=ObjectStore(url=url, timeout_s=timeout_s),
        rng=random.Random(seed),
    )


def make_upstream(name, *, kind="engine", pool="chat", state="live", **fields):
    return UpstreamEntry(
        **{
            "name": name,
            "address": "127.0.0.1:1",
            "kind": kind,
            "pool": pool,
            "models": ["chat=1"] if kind == "engine" else [],
            "adapters": [],
            "incarnation": 1,
            "state": state,
            **fields,
        }
    )


def make_candidates(count, *, version="1"):
    """Return idle engines e0, e1, ..., each owned by another VM."""
    return [
        Candidate(
            name=f"e{number}",
            incarnation=1,
            weights_version=version,
            owner=f"vm{number}",
        )
        for number in range(count)
    ]


def make_view(engine, **values):
    """Return a view of an idle engine without cached keys."""
    defaults = {
        "incarnation": 1,
        "depth": 0,
        "interactive_tokens": 0,
        "batch_tokens": 0,
        "streams": 0,
        "preferred_count": 1,
        "known": True,
        "recent_tokens": 0,
    }
    return EngineView(engine=engine, **(defaults | values))
