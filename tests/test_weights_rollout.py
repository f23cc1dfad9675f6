from endivelug.forwarding.weights_rollout import RolloutEngine, next_engines


def engine(name, version=1, **changes):
    values = {"requests": 0, "ordered": False, "silent": False, **changes}
    return RolloutEngine(name=name, version=version, **values)


# Guards against a rollout that leaves too few engines for the requests: one of five was
# silent, two more had orders in progress, and short streams were lost.
def test_silent_engines_count_as_loading():
    engines = [engine("a"), engine("b"), engine("c"), engine("d"), engine("e")]
    assert len(next_engines(engines, desired_version=2)) == 2
    engines[0] = engine("a", silent=True)
    assert len(next_engines(engines, desired_version=2)) == 1


# Guards against a rollout that never ends because many engines are silent.
def test_one_engine_gets_an_order_even_if_most_are_silent():
    engines = [engine(name, silent=True) for name in "abc"] + [engine("d")]
    assert next_engines(engines, desired_version=2) == ["d"]


# Guards against orders to engines with an order in progress or the desired weights.
def test_engines_with_an_order_or_the_desired_weights_get_none():
    engines = [engine("a", ordered=True), engine("b", version=2), engine("c")]
    assert next_engines(engines, desired_version=2) == []
    assert next_engines([engine("b", version=3)], desired_version=2) == []


# Guards against an order that delays many requests although another engine has fewer.
def test_the_engine_with_the_fewest_requests_is_first():
    engines = [engine("a", requests=9), engine("b", requests=1)]
    assert next_engines(engines, desired_version=2) == ["b"]


# Guards against engines that are still on old weights when these may no longer be used,
# so that requests are refused although the engines are idle.
def test_more_engines_load_at_a_time_as_the_limit_of_the_old_weights_approaches():
    engines = [engine(name, usable_until=10.0) for name in "abcdef"]
    assert len(next_engines(engines, desired_version=2, now=0.0, order_s=3.0)) == 2
    assert len(next_engines(engines, desired_version=2, now=4.0, order_s=3.0)) == 3
    assert len(next_engines(engines, desired_version=2, now=8.0, order_s=3.0)) == 6


# Guards against engines that wait for their turn although they serve nothing any more.
def test_engines_whose_weights_are_too_old_are_ordered_at_once():
    engines = [engine(name, usable_until=1.0) for name in "abcd"]
    engines += [engine(name, usable_until=90.0) for name in "efgh"]
    names = next_engines(engines, desired_version=2, now=2.0, order_s=3.0)
    assert names == ["a", "b", "c", "d"]
