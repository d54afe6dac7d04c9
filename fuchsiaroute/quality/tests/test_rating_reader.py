"""The shared quality table counts each rating once, also after store faults."""

from random import Random

import pytest
from returns.result import Failure, Success

from fuchsiaroute.configuration import RolloutState, Version
from fuchsiaroute.ids import RequestClass, RequestId, VersionId
from fuchsiaroute.quality import (
    MAX_TABLE_BYTES,
    BookError,
    Cell,
    QualityTable,
    RatingReader,
    TableEstimates,
    add_ratings,
    decode,
    encode,
    newer_table,
)
from fuchsiaroute.routing.tests.deployment import (
    QUESTION,
    ROLLOUT,
    S1,
    S2,
    make_configuration,
    make_rollout,
)
from fuchsiaroute.store import (
    MemoryTableStore,
    Rating,
    RatingPage,
    StoreError,
    StoreErrorKind,
    StoreFault,
)

RUNNING = make_configuration(rollouts=(make_rollout(),))


class FakeRatingService:
    """Rating service with pages of 10 ratings; tests append to its log."""

    def __init__(self):
        self.log = []
        self.is_down = False

    def add(self, count, *, version=S1, request_class=QUESTION, is_good=True):
        for _ in range(count):
            self.log.append(
                Rating(
                    request=RequestId(f"r{len(self.log)}"),
                    version=version,
                    request_class=request_class,
                    is_good=is_good,
                )
            )

    async def ratings(self, cursor):
        if self.is_down:
            return Failure(StoreError(kind=StoreErrorKind.REFUSED, message="down"))
        start = int(cursor or 0)
        page = tuple(self.log[start : start + 10])
        return Success(RatingPage(ratings=page, cursor=str(start + len(page))))


@pytest.fixture
def store():
    return MemoryTableStore()


@pytest.fixture
def service():
    return FakeRatingService()


def evidence(table):
    counts = table.trials[ROLLOUT].classes[QUESTION]
    return counts.target_ratings, counts.target_bad, counts.base_ratings


async def test_entries_in_turn_count_each_rating_once(store, service):
    entries = [RatingReader(store=store, service=service) for _ in range(3)]
    random = Random(5)
    for _ in range(40):
        service.add(random.randrange(25), version=random.choice((S1, S2)))
        entry = random.randrange(3)
        if random.random() < 0.2:  # The entry restarts without its state.
            entries[entry] = RatingReader(store=store, service=service)
        await entries[entry].refresh(RUNNING)
    for entry in entries:
        await entry.refresh(RUNNING)
        table = (await entry.refresh(RUNNING)).unwrap()
        assert table.total == len(service.log)
        on_target = sum(rating.version == S2 for rating in service.log)
        assert evidence(table) == (on_target, 0, len(service.log) - on_target)


@pytest.mark.parametrize("fault", [StoreFault.DOWN, StoreFault.ANSWER_LOST])
async def test_store_fault_neither_loses_nor_doubles_ratings(store, service, fault):
    first = RatingReader(store=store, service=service)
    second = RatingReader(store=store, service=service)
    service.add(5, version=S2)
    await first.refresh(RUNNING)
    store.fault = fault
    service.add(7, version=S2)
    assert (await first.refresh(RUNNING)).unwrap().total == 12
    service.add(8, version=S2)
    # If only the answer of the write was lost, the second entry loads the table first.
    await second.refresh(RUNNING)
    assert (await second.refresh(RUNNING)).unwrap().total == 20
    store.fault = StoreFault.NONE
    for entry in (first, second, RatingReader(store=store, service=service)):
        await entry.refresh(RUNNING)
        assert evidence((await entry.refresh(RUNNING)).unwrap()) == (20, 0, 0)


async def test_newer_stored_table_is_used_without_reading_ratings(store, service):
    first = RatingReader(store=store, service=service)
    second = RatingReader(store=store, service=service)
    service.add(5)
    await first.refresh(RUNNING)
    service.add(5)
    assert (await second.refresh(RUNNING)).unwrap().total == 5
    assert (await second.refresh(RUNNING)).unwrap().total == 10


async def test_tables_from_a_peer_count_once_in_any_order(store, service):
    service.add(30, version=S2)
    first = RatingReader(store=store, service=service)
    older = (await first.refresh(RUNNING)).unwrap()
    service.add(5, version=S2)
    newer = (await first.refresh(RUNNING)).unwrap()
    peer = RatingReader(store=MemoryTableStore(), service=service)
    for table in (newer, older, newer, older):
        peer.merge(decode(encode(table)))
    assert peer.table.total == 35
    assert newer_table(older, newer) is newer
    assert newer_table(newer, older) is newer
    assert evidence((await peer.refresh(RUNNING)).unwrap()) == (35, 0, 0)


async def test_table_is_unchanged_while_the_rating_service_is_down(store, service):
    service.add(10)
    reader = RatingReader(store=store, service=service)
    await reader.refresh(RUNNING)
    service.is_down = True
    assert isinstance(await reader.refresh(RUNNING), Failure)
    assert reader.table.total == 10


async def test_refresh_without_new_ratings_writes_nothing(store, service):
    reader = RatingReader(store=store, service=service)
    service.add(3)
    await reader.refresh(RUNNING)
    writes = store.writes
    await reader.refresh(RUNNING)
    assert store.writes == writes


def test_resumed_rollout_starts_with_no_ratings():
    page = RatingPage(
        ratings=(
            Rating(
                request=RequestId("r"),
                version=S2,
                request_class=QUESTION,
                is_good=False,
            ),
        ),
        cursor="1",
    )
    table = add_ratings(QualityTable(), page, RUNNING)
    paused = make_configuration(rollouts=(make_rollout(RolloutState.PAUSED),))
    table = add_ratings(table, page, paused)
    assert evidence(table) == (1, 1, 0)
    rollout = make_rollout()
    resumed = make_configuration(
        rollouts=(type(rollout)(**{**vars(rollout), "attempt": 1}),)
    )
    assert evidence(add_ratings(table, page, resumed)) == (1, 1, 0)
    table = add_ratings(add_ratings(table, page, resumed), page, resumed)
    assert evidence(table) == (2, 2, 0)
    # An entry whose configuration has the earlier attempt adds nothing to the new one.
    assert evidence(add_ratings(table, page, RUNNING)) == (2, 2, 0)


def test_new_stage_counts_separately_and_outdated_entry_does_not_revert_it(service):
    service.add(1, version=S2, is_good=False)
    page = RatingPage(ratings=tuple(service.log), cursor="1")
    table = add_ratings(QualityTable(), page, RUNNING)
    next_stage = make_configuration(rollouts=(make_rollout(stage=1),))
    table = add_ratings(table, page, next_stage)
    assert evidence(table) == (1, 1, 0)
    assert table.trials[ROLLOUT].target_ratings == 2
    assert decode(encode(table)).trials == table.trials
    unchanged = add_ratings(table, page, RUNNING)
    assert unchanged.trials == table.trials


def test_ratings_of_undeclared_versions_and_classes_do_not_count(service):
    service.add(3, version=VersionId("gone"))
    service.add(3, request_class=RequestClass("gone"))
    page = RatingPage(ratings=tuple(service.log), cursor="6")
    table = add_ratings(QualityTable(), page, RUNNING)
    assert (table.total, table.cells) == (6, {})


def test_encoded_table_of_the_target_size_is_below_a_third_of_the_limit():
    names = [RequestClass(f"class-{number:02}".ljust(64, "x")) for number in range(16)]
    versions = [VersionId(f"v-{number:02}".ljust(64, "x")) for number in range(35)]
    cell = Cell(
        short_ratings=60.0,
        short_good=59.99,
        long_ratings=800.0,
        long_good=799.99,
        tick=10**9,
        is_changed=True,
    )
    table = QualityTable(
        cursor="c" * 64,
        total=10**12,
        ticks=dict.fromkeys(names, 10**9),
        cells={version: dict.fromkeys(names[:14], cell) for version in versions},
    )
    encoded = encode(table)
    assert len(encoded) <= MAX_TABLE_BYTES // 3
    assert decode(encoded) == table


@pytest.mark.parametrize("encoded", [b"", b"\xc1", b"\x90", b"x" * 100_000])
def test_decode_rejects_bytes_that_are_no_table(encoded):
    with pytest.raises(BookError):
        decode(encoded)


def test_estimates_start_at_the_declared_quality_and_follow_ratings():
    version = Version(id=S1, cost_per_1000_tokens=1, prior_quality=0.9)
    estimates = TableEstimates()
    assert estimates.estimate(version, QUESTION).mean == pytest.approx(0.9)
    cell = Cell(long_ratings=800.0, long_good=400.0, is_changed=True)
    estimates.update(QualityTable(cells={S1: {QUESTION: cell}}))
    found = estimates.estimate(version, QUESTION)
    assert found.mean == pytest.approx(0.5, abs=0.01)
    assert found.lower < found.mean
