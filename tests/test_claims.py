import pytest

from endivelug.claims import (
    Claim,
    Claimed,
    Completed,
    Released,
    Unresolved,
    claim_keys,
    claim_transaction,
    outcome_for_duplicate,
    outcome_transaction,
    parse_record,
    release_transaction,
    request_digest,
    written_keys,
)
from endivelug.refusals import InProgress, MayHaveRun, NotRun, Ran

DAY_S = 86400.0
DIGEST = request_digest(method="POST", target="/reserve", body=b"{}")


def make_claim(*, now=DAY_S, deadline=DAY_S + 10, organisation="org"):
    return Claim(
        keys=claim_keys(organisation=organisation, idempotency_key="k", now=now),
        request_digest=DIGEST,
        claimant="vm1",
        token=b"token",
        deadline=deadline,
    )


# Guards against a duplicate after midnight, or at a VM with a wrong clock, that misses
# the claim, and against an organisation whose name yields keys of another one.
def test_keys_of_neighbouring_days_overlap():
    before, day, after = make_claim(now=1.5 * DAY_S).keys
    assert make_claim(now=2.5 * DAY_S).keys[:2] == (day, after)
    assert make_claim(now=0.5 * DAY_S).keys[1:] == (before, day)
    assert make_claim(organisation="a/b").key.count("/") == make_claim().key.count("/")


@pytest.mark.parametrize(
    ("state", "digest", "now", "outcome"),
    [
        (Claimed(), DIGEST, DAY_S, InProgress),
        (Claimed(), DIGEST, DAY_S + 11, MayHaveRun),
        (Unresolved(kind="upstream-broken"), DIGEST, DAY_S, MayHaveRun),
        (Completed(status=200, content_type="", body=b"x"), DIGEST, DAY_S, Ran),
        (Completed(status=200, content_type="", body=b"x"), b"?", DAY_S, NotRun),
    ],
)
def test_outcome_for_a_duplicate(state, digest, now, outcome):
    record = parse_record(make_claim().value(state))
    assert record.state == state
    assert isinstance(outcome_for_duplicate(record, digest=digest, now=now), outcome)


# Guards against a batch that etcd refuses because it may write one key twice.
def test_written_keys_include_nested_branches():
    claim = make_claim()
    for transaction in (
        claim_transaction(claim, replaceable={}),
        outcome_transaction(claim, Unresolved(kind="x")),
        release_transaction(claim, replaceable={claim.key: claim.value(Released())}),
    ):
        assert written_keys(transaction) == {claim.key}
