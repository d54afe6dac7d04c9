import asyncio

import pytest
from returns.result import Failure, Success

from examples.timberline import declare
from fuchsiaroute.clock import ManualClock, Milliseconds
from fuchsiaroute.configuration import (
    NO_REVISION,
    ChangeErrorKind,
    ConfigurationLog,
    Outage,
)
from fuchsiaroute.ids import ChangeId, FailureDomainId, Revision
from fuchsiaroute.store import MemoryTableStore, StoreError, StoreErrorKind

BASE = declare()
OTHER = BASE.with_outages((Outage(failure_domain=FailureDomainId("lakes-a")),))
ONE_MINUTE = Milliseconds(60_000)


class ScriptedStore(MemoryTableStore):
    """
    Store whose commits follow the steps of ``script``.

    ok: committed; lost: committed without response; late: kept in ``late``, without
    response; dropped: not committed, without response; refused: not committed.
    """

    def __init__(self, script=()):
        super().__init__()
        self.script = list(script)
        self.late = []

    async def read(self, keys):
        records = await super().read(keys)
        await asyncio.sleep(0)
        return records

    async def commit(self, transaction):
        step = self.script.pop(0) if self.script else "ok"
        if step == "ok":
            return await super().commit(transaction)
        if step == "lost":
            await super().commit(transaction)
        if step == "late":
            self.late.append(transaction)
        kinds = {"refused": StoreErrorKind.REFUSED}
        kind = kinds.get(step, StoreErrorKind.UNKNOWN)
        return Failure(StoreError(kind=kind, message=step))


def submit(log, name="one", configuration=BASE, expected=NO_REVISION):
    return log.accept(
        configuration,
        change_id=ChangeId(name),
        expected_revision=expected,
        author=f"author of {name}",
        summary=f"summary of {name}",
    )


async def run_concurrently(clock, *submissions):
    tasks = [asyncio.create_task(item) for item in submissions]
    await clock.advance(ONE_MINUTE)
    return [task.result() for task in tasks]


async def accept(log, clock, *arguments, **options):
    (outcome,) = await run_concurrently(clock, submit(log, *arguments, **options))
    return outcome


def set_up(script=()):
    store, clock = ScriptedStore(script), ManualClock()
    return store, clock, ConfigurationLog(store, clock)


@pytest.mark.parametrize(
    ("script", "expected"),
    [
        (["ok"], "accepted"),
        (["lost"], "accepted"),
        (["dropped"], "accepted"),
        (["late", "dropped", "lost", "dropped"], "accepted"),
        (["refused"], ChangeErrorKind.NOT_WRITTEN),
        (["dropped", "refused"] * 3, ChangeErrorKind.UNKNOWN),
        (["lost", "refused", "refused", "refused", "refused"], ChangeErrorKind.UNKNOWN),
    ],
)
async def test_outcome_of_a_commit_whose_responses_are_lost(script, expected):
    store, clock, log = set_up(script)
    outcome = await accept(log, clock)
    seen = outcome.failure().kind if isinstance(outcome, Failure) else "accepted"
    assert seen is expected or seen == expected


async def test_unknown_outcome_is_resolved_by_the_same_change_id():
    store, clock, log = set_up(["lost"] + ["dropped"] * 4)
    unknown = await accept(log, clock)
    assert unknown.failure().kind is ChangeErrorKind.UNKNOWN
    await accept(log, clock, "two", OTHER, Revision(1))
    again = await accept(log, clock)
    assert again.unwrap().change.revision == 1
    assert (await log.status(ChangeId("one"))).unwrap() == again.unwrap()
    assert store.script == []


async def test_delayed_commit_has_no_effect_after_another_change():
    store, clock, log = set_up(["late"] + ["dropped"] * 4)
    unknown = await accept(log, clock)
    assert unknown.failure().kind is ChangeErrorKind.UNKNOWN
    await accept(log, clock, "two", OTHER)
    await MemoryTableStore.commit(store, store.late[0])
    conflict = await accept(log, clock)
    assert conflict.failure().kind is ChangeErrorKind.CONFLICT
    assert (await log.head()).unwrap().change_id == "two"
    status = await log.status(ChangeId("one"))
    assert status.failure().kind is ChangeErrorKind.UNKNOWN


async def test_conflict_names_the_other_change():
    _, clock, log = set_up()
    await accept(log, clock)
    error = (await accept(log, clock, "two", OTHER)).failure()
    assert error.kind is ChangeErrorKind.CONFLICT
    assert error.other.change_id == "one"
    assert error.other.author == "author of one"
    assert error.other.summary == "summary of one"


@pytest.mark.parametrize("fault", ["ok", "lost"])
async def test_exactly_one_of_several_concurrent_changes_is_accepted(fault):
    store, clock, log = set_up([fault] * 6)
    names = ["one", "two", "three"]
    outcomes = await run_concurrently(clock, *(submit(log, name) for name in names))
    winners = [outcome for outcome in outcomes if isinstance(outcome, Success)]
    assert len(winners) == 1
    winner = winners[0].unwrap().change.change_id
    losers = [outcome.failure() for outcome in outcomes if outcome not in winners]
    assert {error.kind for error in losers} == {ChangeErrorKind.CONFLICT}
    assert {error.other.change_id for error in losers} == {winner}


async def test_repeated_change_is_idempotent_and_reused_id_is_refused():
    store, clock, log = set_up()
    first = await accept(log, clock)
    writes = store.writes
    assert await accept(log, clock) == first
    assert store.writes == writes
    reused = await accept(log, clock, configuration=OTHER)
    assert reused.failure().kind is ChangeErrorKind.CHANGE_ID_REUSED


async def test_status_of_a_change_without_record_is_unknown():
    _, _, log = set_up()
    status = await log.status(ChangeId("never"))
    assert status.failure().kind is ChangeErrorKind.UNKNOWN
