"""Plan and organisation for measurements that run whole processes."""

import hashlib
import random

from endivelug.config_store import ConfigStore
from endivelug.lists import parse_lists
from endivelug.object_store import ObjectStore
from endivelug.table import Table
from measurements._cluster import Cluster

KEY = "a-key-of-the-measurements"
PLANS = """
[standard]
models = chat
adapters =
versions = chat=1
routes = chat, orders
requests_s = 2000
tokens_s = 50000000
streams = 2000
work_class = chat=interactive, orders=interactive
weight = 1
"""


async def commit_lists(cluster: Cluster) -> None:
    """Commit one plan and one organisation as the next revision."""
    digest = hashlib.sha256(KEY.encode()).hexdigest()
    organisations = f"[org]\nplan = standard\nkeys = {digest}\n"
    table = Table(url=cluster.platform_url)
    objects = ObjectStore(url=cluster.platform_url)
    store = ConfigStore(table=table, objects=objects, rng=random.Random(1))
    head = await store.read_head()
    await store.commit(base=head.revision, lists=parse_lists(PLANS, organisations))
    table.close()
    objects.close()
