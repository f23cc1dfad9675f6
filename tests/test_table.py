import asyncio
import time

import pytest

from builders import serving_platform
from endivelug.exceptions import TableOutcomeUnknown, TableUnavailable
from endivelug.transactions import (
    Absent,
    Get,
    Put,
    RevisionEquals,
    Transaction,
    ValueEquals,
)


def put_if_absent(key, value):
    return Transaction(
        conditions=[Absent(key=key)],
        success=[Put(key=key, value=value)],
        failure=[Get(key=key)],
    )


def test_conditions_and_nested_transactions():
    async def run():
        async with serving_platform() as (_, _, table):
            assert (await table.run(put_if_absent("a", b"1"))).succeeded
            result = await table.run(
                Transaction(
                    success=[put_if_absent("a", b"2"), put_if_absent("b", b"3")]
                )
            )
            assert [nested.succeeded for nested in result.nested] == [False, True]
            assert result.nested[0].rows[0].value == b"1"
            row = await table.get("a")
            for condition, holds in [
                (RevisionEquals(key="a", mod_revision=row.mod_revision), True),
                (RevisionEquals(key="a", mod_revision=row.mod_revision + 1), False),
                (ValueEquals(key="a", value=b"1"), True),
                (ValueEquals(key="c", value=b""), False),
            ]:
                check = Transaction(conditions=[condition])
                assert (await table.run(check)).succeeded is holds
            assert [row.key for row in await table.scan("a", "c")] == ["a", "b"]
            await table.delete_range("a", "b")
            assert [row.key for row in await table.scan("a", "c")] == ["b"]

    asyncio.run(run())


# Guards against reporting "may have run" after an outage, and "not run" after a lost
# response.
def test_faults_raise_the_matching_error():
    async def run():
        async with serving_platform(timeout_s=0.3) as (state, _, table):
            state.faults.outage_until = time.monotonic() + 60
            with pytest.raises(TableUnavailable):
                await table.run(put_if_absent("a", b"1"))
            state.faults.outage_until = 0.0
            assert await table.get("a") is None
            state.faults.lose_answers = 1
            with pytest.raises(TableOutcomeUnknown):
                await table.run(put_if_absent("a", b"1"))
            assert (await table.get("a")).value == b"1"

    asyncio.run(run())
