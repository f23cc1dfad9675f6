from endivelug.forwarding.weights_rollout import RolloutEngine, next_engines


def engine(name, version=1, **changes):
    values = {"requests": 0, "ordered": False, "silent": False, **changes}
    return RolloutEngine(name=name, version=version, **values)


# Guards against a rollout that takes away the engines that carry the requests: one of
# five was silent, two more under orders, and the short streams were lost.
def test_silent_engines_count_against_the_number_at_once():
    engines = [engine("a"), engine("b"), engine("c"), engine("d"), engine("e")]
    assert len(next_engines(engines, desired_version=2)) == 2
    engines[0] = engine("a", silent=True)
    assert len(next_engines(engines, desired_version=2)) == 1


# Guards against a rollout that never ends because many engines are silent.
def test_one_engine_is_ordered_even_where_most_are_silent():
    engines = [engine(name, silent=True) for name in "abc"] + [engine("d")]
    assert next_engines(engines, desired_version=2) == ["d"]


# Guards against orders to an engine that has one, or has the weights.
def test_engines_with_an_order_or_the_weights_are_left():
    engines = [engine("a", ordered=True), engine("b", version=2), engine("c")]
    assert next_engines(engines, desired_version=2) == []
    assert next_engines([engine("b", version=3)], desired_version=2) == []


# Guards against an order that holds up many requests first.
def test_the_engine_with_the_least_work_is_first():
    engines = [engine("a", requests=9), engine("b", requests=1)]
    assert next_engines(engines, desired_version=2) == ["b"]
