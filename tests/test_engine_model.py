import pytest
from measurements._engine_model import Engine
from measurements._simulation import CacheStore, Clock, Job, Segment


def make_job(*, organisation="a", relied_depth=0, relied_incarnation=1):
    return Job(
        segments=[Segment(key=1, tokens=1000, identity=(organisation, "1", "text"))],
        interactive=True,
        output_tokens=2,
        may_import=False,
        relied_depth=relied_depth,
        relied_incarnation=relied_incarnation,
        organisation=organisation,
        version="1",
        on_first_token=lambda job: None,
        on_end=lambda job: None,
        on_failed=lambda job: None,
    )


# Guards against a measurement model whose count of false reliance is always zero.
@pytest.mark.parametrize(
    ("job", "false_reliance"),
    [
        ({}, 0),
        ({"relied_depth": 1, "relied_incarnation": 2}, 0),
        ({"relied_depth": 1, "relied_incarnation": 1}, 1),
        ({"organisation": "b"}, 1),
    ],
)
def test_false_reliance_is_counted_against_the_truth(job, false_reliance):
    clock = Clock()
    engine = Engine(
        name="e0",
        clock=clock,
        capacity=10_000,
        store=CacheStore(capacity=0, tokens_s=1.0),
        version="1",
        computed_keys=set(),
    )
    engine.crash()
    engine.restart()
    engine.submit(make_job(relied_incarnation=2))
    clock.run(10.0)
    engine.submit(make_job(**job))
    clock.run(20.0)
    assert engine.false_reliance == false_reliance
    assert engine.wasted_tokens == 0
