"""Fuzz the configuration store, as a state machine with a list of revisions."""

import asyncio
import copy
import time

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from builders import config_store, make_lists, serving
from endivelug.configuration import Configuration
from endivelug.exceptions import (
    EditOutcomeUnknown,
    ObjectStoreUnavailable,
    RevisionConflict,
    TableUnavailable,
)
from endivelug.lists import Lists, key_digest
from endivelug.standin_platform import PlatformState, make_platform

EDITORS = st.integers(0, 1)
FOLLOWERS = st.integers(0, 2)


class ConfigStoreMachine(RuleBasedStateMachine):
    """Two editors and three followers on a table with outages and lost answers."""

    def __init__(self):
        super().__init__()
        self.runner = asyncio.Runner()
        self.state = PlatformState()
        self.serving = serving(make_platform(self.state))
        url = self.runner.run(self.serving.__aenter__())
        # Each editor has its own store, so that they share no connections. Followers
        # read through the first editor's store.
        self.stores = [self.runner.run(self._store(url, seed)) for seed in range(2)]
        # The oracle: the content of each revision, and base and lists of each editor.
        self.history = [Lists(plans={}, organisations={})]
        self.bases = [(0, make_lists(organisations=3)) for _ in range(2)]
        self.followers = [Configuration() for _ in range(3)]
        self.held_before = []
        self.number = 0

    async def _store(self, url, seed):
        return config_store(url, seed=seed, timeout_s=1.0)

    @initialize()
    def first_edit(self):
        self.commit(0, timeout_s=2.0)

    @rule(
        editor=EDITORS,
        chosen=st.integers(0, 4),
        fresh=st.sampled_from([True, True, False]),
        remove=st.booleans(),
        lose=st.sampled_from([0, 1, 2]),
        timeout_s=st.sampled_from([0.05, 0.4, 0.4]),
    )
    def edit(self, editor, chosen, fresh, remove, lose, timeout_s):
        """Edit the newest content, or what the editor checked out before."""
        if fresh and len(self.history) > 1:
            self.bases[editor] = (len(self.history) - 1, self.history[-1])
        base, lists = self.bases[editor]
        lists = copy.deepcopy(lists)
        name = f"org-{chosen}"
        if remove and name in lists.organisations and len(lists.organisations) > 1:
            del lists.organisations[name]
        else:
            self.number += 1
            new = make_lists(organisations=5).organisations[name]
            new.keys = (key_digest(f"new {self.number}"),)
            lists.organisations[name] = new
        self.bases[editor] = (base, lists)
        self.state.faults.lose_answers = lose
        self.commit(editor, timeout_s=timeout_s)

    @rule(editor=EDITORS, timeout_s=st.sampled_from([0.05, 0.4]))
    def repeat(self, editor, timeout_s):
        self.commit(editor, timeout_s=timeout_s)

    def commit(self, editor, timeout_s):
        base, lists = self.bases[editor]
        store, before = self.stores[editor], len(self.history) - 1
        try:
            done = self.runner.run(
                store.commit(base=base, lists=lists, timeout_s=timeout_s)
            )
        except RevisionConflict as conflict:
            assert base != before
            assert conflict.actual == before
        except (TableUnavailable, ObjectStoreUnavailable):
            assert self.in_outage()
        except EditOutcomeUnknown as unknown:
            assert unknown.revision == before + 1
            if self.durable_revision() == before + 1:
                self.history.append(copy.deepcopy(lists))
        else:
            if done.changes:
                assert (base, done.revision) == (before, before + 1)
                self.history.append(copy.deepcopy(lists))
            else:
                assert done.revision == before
                assert self.history[before] == lists
            self.bases[editor] = (done.revision, lists)
        # Durable edits are exactly those that were reported as made, or whose unknown
        # outcome turned out as made.
        assert self.durable_revision() == len(self.history) - 1

    @rule(follower=FOLLOWERS)
    def follow(self, follower):
        store, held = self.stores[0], self.followers[follower]
        try:
            head = self.runner.run(store.read_head())
            self.runner.run(store.update(held, head))
        except TableUnavailable:
            assert self.in_outage()
            return
        assert held.revision == len(self.history) - 1

    @rule(giver=FOLLOWERS, taker=FOLLOWERS, whole=st.booleans())
    def offer(self, giver, taker, whole):
        """Pass on what a follower holds, which may be old, to another one."""
        source, target = self.followers[giver], self.followers[taker]
        if not source.revision:
            return
        if whole:
            target.apply_snapshot(source.revision, source.digest, source.snapshot())
            return
        first = max(1, source.revision - 1)
        bodies = source.deltas_after(first - 1)
        if bodies:
            target.apply_deltas(first, bodies)

    @rule(outage=st.booleans())
    def fault(self, outage):
        self.state.faults.outage_until = time.monotonic() + 3600 if outage else 0.0

    @invariant()
    def content_matches_the_revision(self):
        for number, held in enumerate(self.followers):
            assert held.lists() == self.history[held.revision], number

    @invariant()
    def revisions_never_decrease(self):
        held = [follower.revision for follower in self.followers]
        assert all(
            new >= old
            for new, old in zip(held, self.held_before or [0] * 3, strict=True)
        )
        self.held_before = held

    def in_outage(self):
        return time.monotonic() < self.state.faults.outage_until

    def durable_revision(self):
        deltas = [key for key in self.state.table.keys if "delta" in key]
        return int(deltas[-1].rpartition("/")[2]) if deltas else 0

    def teardown(self):
        for store in self.stores:
            store.close()
        self.runner.run(self.serving.__aexit__(None, None, None))
        self.runner.close()


TestConfigStore = ConfigStoreMachine.TestCase
TestConfigStore.settings = settings(
    max_examples=120,
    stateful_step_count=20,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
