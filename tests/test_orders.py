from hypothesis import given, settings
from hypothesis import strategies as st

from endivelug.load_slots import Slot, is_order_complete
from endivelug.messages import UpstreamEntry
from endivelug.orders import (
    DesiredModel,
    LoadAdapter,
    LoadWeights,
    UnloadWeights,
    next_orders,
    order_kind,
)


def make_engine(name, *models, adapters=(), state="live"):
    return UpstreamEntry(
        name=name,
        address="127.0.0.1:1",
        kind="engine",
        pool="chat",
        models=list(models),
        adapters=list(adapters),
        incarnation=1,
        state=state,
    )


def make_slot(order, *, deadline=100.0):
    return Slot(
        engine=order.engine,
        data_centre="dc1",
        kind=order_kind(order),
        model=order.model,
        version=getattr(order, "version", ""),
        adapter=getattr(order, "adapter", ""),
        token=b"",
        deadline=deadline,
    )


def plan(desired, engines, *, slots=(None, None), uncertain=(), now=0.0):
    return next_orders(
        desired=desired,
        observed=engines,
        data_centre="dc1",
        slots=list(slots),
        excluded_engines=set(),
        uncertain_engines=set(uncertain),
        now=now,
        clock_bound_s=0.5,
    )


A2 = DesiredModel(model="a", version="2", adapters=("x",))


def test_rolling_update_keeps_one_engine_serving_and_uses_two_slots():
    engines = [make_engine(name, "a=1") for name in "efg"]
    assert [order.engine for order in plan([A2], engines).orders] == ["e", "f"]
    two = engines[:2]
    assert [order.engine for order in plan([A2], two).orders] == ["e"]
    alone = plan([A2], engines[:1])
    assert alone.orders == [] and "stays served" in alone.blocked[0]
    leaving = [make_engine("e", "a=1"), make_engine("f", "a=1", state="leaving")]
    assert plan([A2], leaving).orders == []
    # An order of an earlier lease holder may still stop engine f.
    assert plan([A2], two, uncertain=["f"]).orders == []


def test_last_serving_engine_is_replaced_by_way_of_an_empty_one():
    desired = [A2, DesiredModel(model="b", version="1")]
    engines = [make_engine("e", "a=1"), make_engine("f", "b=1"), make_engine("g")]
    assert plan(desired, engines).orders[0] == LoadWeights(
        engine="g", model="a", version="2"
    )


def test_slots_of_any_engine_count_until_their_deadline():
    engines = [make_engine(name, "a=1") for name in "efgh"]
    load = LoadWeights(engine="far", model="a", version="2")
    slot = make_slot(load)
    assert len(plan([A2], engines, slots=(slot, slot)).orders) == 0
    assert len(plan([A2], engines, slots=(slot, None), now=100.4).orders) == 1
    assert len(plan([A2], engines, slots=(slot, None), now=100.6).orders) == 2


def test_adapters_and_surplus_models_are_changed_after_the_weights():
    engines = [make_engine("e", "a=2", "old=1"), make_engine("f", "a=2")]
    assert plan([A2], engines).orders == [
        UnloadWeights(engine="e", model="old"),
        LoadAdapter(engine="f", model="a", version="2", adapter="x"),
    ]
    unload = make_slot(UnloadWeights(engine="e", model="old"))
    assert not is_order_complete(unload, engines)
    assert is_order_complete(unload, [make_engine("e", "a=2")])


models = st.lists(
    st.sampled_from(["a=1", "a=2", "b=1", "c=1", "z=1"]),
    max_size=2,
    unique_by=lambda m: m[0],
)


def may_interrupt(order, model):
    """Return whether an engine may not serve the model while it runs this order."""
    match order:
        case LoadWeights():
            return True
        case UnloadWeights():
            return order.model == model
    return False


# Guards against a model that loses its last serving engine at any step of a change, and
# against plans that are never completed.
@settings(max_examples=400, derandomize=True, deadline=None)
@given(
    st.lists(models, min_size=1, max_size=7),
    st.sets(st.sampled_from("abc"), min_size=1),
    st.integers(0, 3),
)
def test_every_change_is_completed_and_keeps_all_models_served(
    loaded, names, min_engines
):
    desired = [
        DesiredModel(model=name, version="2", engines=min_engines if name == "a" else 0)
        for name in sorted(names)
    ]
    engines = {f"e{i}": make_engine(f"e{i}", *m) for i, m in enumerate(loaded)}
    in_progress = {}
    for _ in range(100):
        served = {r[0] for e in engines.values() for r in e.models} & names
        slots = [make_slot(order) for order in in_progress.values()]
        slots += [None] * (2 - len(slots))
        orders = plan(desired, list(engines.values()), slots=slots).orders
        assert len(orders) <= 2 - len(in_progress)
        in_progress |= {order.engine: order for order in orders}
        for name in served:
            assert any(
                name in {report[0] for report in engine.models}
                and not may_interrupt(in_progress.get(engine.name), name)
                for engine in engines.values()
            ), (name, in_progress)
        if not in_progress:
            break
        order = in_progress.pop(next(iter(in_progress)))
        remaining = [r for r in engines[order.engine].models if r[0] != order.model]
        if isinstance(order, LoadWeights):
            remaining.append(f"{order.model}={order.version}")
        engines[order.engine] = make_engine(order.engine, *remaining)
    assert not in_progress, "the change was not completed"
    final_plan = plan(desired, list(engines.values()))
    reports = {report for engine in engines.values() for report in engine.models}
    reports = {report for report in reports if report[0] in names}
    assert final_plan.blocked or reports == {f"{name}=2" for name in names}
