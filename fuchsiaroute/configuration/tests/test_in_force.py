import pytest
from returns.result import Failure, Success

from examples.timberline import declare
from fuchsiaroute.clock import ManualClock, Milliseconds
from fuchsiaroute.configuration import (
    MAX_CONFIRMATION_AGE,
    MAX_CONFIRMATION_AGE_IN_OUTAGE,
    NO_REVISION,
    ConfigurationInForce,
    ConfigurationLog,
    ConfigurationPoller,
    ConfigurationReader,
    NoChange,
    NoSnapshot,
    Outage,
    PollOutcome,
    Readiness,
    ReadinessInputs,
    StoreConfirmation,
    VersionState,
    evaluate_readiness,
    poll_interval,
)
from fuchsiaroute.configuration._delta import compute_delta, encode_delta
from fuchsiaroute.ids import ChangeId, FailureDomainId, Revision, VersionId
from fuchsiaroute.store import MemoryTableStore, Put, StoreFault, Transaction
from fuchsiaroute.verdict import Verdict

BASE = declare()
LAKES_A = (Outage(failure_domain=FailureDomainId("lakes-a")),)
CHANGES = (
    BASE,
    BASE.with_outages(LAKES_A),
    BASE.with_version_state(VersionId("timber-4"), VersionState.WITHDRAWN),
    BASE,
)


class Cluster:
    """A store in memory, and entries that load their configuration from it."""

    def __init__(self):
        self.clock = ManualClock()
        self.store = MemoryTableStore()
        self.log = ConfigurationLog(self.store, self.clock)
        self.accepted = 0

    def entry(self):
        in_force = ConfigurationInForce(self.clock)
        reader = ConfigurationReader(self.store, self.clock)
        return in_force, ConfigurationPoller(reader, in_force, self.clock)

    async def accept(self, configuration):
        outcome = await self.log.accept(
            configuration,
            change_id=ChangeId(f"change-{self.accepted}"),
            expected_revision=Revision(self.accepted),
            author="operator",
            summary="",
        )
        self.accepted += 1
        return outcome.unwrap()


class FakePeer:
    def __init__(self, snapshot):
        self.snapshot = snapshot

    async def fetch_configuration(self, known):
        if isinstance(self.snapshot, NoSnapshot):
            return NoChange.TOKEN
        is_higher = self.snapshot.change.revision > known
        return self.snapshot if is_higher else NoChange.TOKEN


@pytest.mark.parametrize("missed", [1, 2, 3, 70])
async def test_entry_that_missed_changes_loads_the_latest_one(missed):
    cluster = Cluster()
    in_force, poller = cluster.entry()
    await cluster.accept(BASE)
    assert await poller.poll() is PollOutcome.APPLIED
    for number in range(missed):
        await cluster.accept(CHANGES[number % len(CHANGES)])
    assert await poller.poll() is PollOutcome.APPLIED
    expected = CHANGES[(missed - 1) % len(CHANGES)]
    assert in_force.current().unwrap().configuration == expected
    assert await poller.poll() is PollOutcome.UNCHANGED


async def test_lower_revision_is_never_applied():
    cluster = Cluster()
    old, old_poller = cluster.entry()
    await cluster.accept(BASE)
    await old_poller.poll()
    await cluster.accept(CHANGES[1])
    new, new_poller = cluster.entry()
    await new_poller.poll()
    assert not new.apply_if_newer(old.snapshot)
    assert new.revision == 2
    assert old.apply_if_newer(new.snapshot)


async def test_new_entry_loads_the_highest_revision_of_its_peers():
    cluster = Cluster()
    first, first_poller = cluster.entry()
    second, second_poller = cluster.entry()
    await cluster.accept(BASE)
    await first_poller.poll()
    await cluster.accept(CHANGES[1])
    await second_poller.poll()
    cluster.store.fault = StoreFault.DOWN
    new, poller = cluster.entry()
    peers = [FakePeer(first.snapshot), FakePeer(second.snapshot)]
    assert await poller.poll() is PollOutcome.STORE_SILENT
    assert await poller.catch_up(peers) is PollOutcome.APPLIED
    assert new.revision == 2
    confirmation = StoreConfirmation(revision=Revision(2), instant=cluster.clock.now())
    new.record_confirmation(confirmation)
    assert isinstance(new.current(), Success)


async def test_entry_without_store_and_peers_refuses_with_not_run():
    cluster = Cluster()
    cluster.store.fault = StoreFault.DOWN
    in_force, poller = cluster.entry()
    in_force.update_quorum(True)
    await poller.catch_up([FakePeer(NoSnapshot.TOKEN)])
    refusal = in_force.current().failure()
    assert refusal.verdict is Verdict.NOT_RUN
    assert in_force.readiness is Readiness.NO_CONFIGURATION


async def test_entry_is_not_ready_while_a_known_revision_is_not_loaded():
    cluster = Cluster()
    in_force, poller = cluster.entry()
    await cluster.accept(BASE)
    await poller.poll()
    in_force.record_revision(Revision(2))
    assert isinstance(in_force.current(), Success)
    cluster.clock.tick(Milliseconds(2_001))
    assert in_force.readiness is Readiness.BEHIND
    assert isinstance(in_force.current(), Failure)
    await cluster.accept(CHANGES[1])
    await poller.poll()
    assert in_force.readiness is Readiness.READY


@pytest.mark.parametrize(
    ("has_configuration", "is_behind", "age", "majority", "expected"),
    [
        (False, False, 0, True, Readiness.NO_CONFIGURATION),
        (True, True, 0, True, Readiness.BEHIND),
        (True, False, MAX_CONFIRMATION_AGE, False, Readiness.READY),
        (True, False, MAX_CONFIRMATION_AGE + 1, False, Readiness.ISOLATED),
        (True, False, MAX_CONFIRMATION_AGE + 1, True, Readiness.READY_IN_OUTAGE),
        (True, False, 600_000, True, Readiness.READY_IN_OUTAGE),
        (True, False, MAX_CONFIRMATION_AGE_IN_OUTAGE, True, Readiness.READY_IN_OUTAGE),
        (True, False, MAX_CONFIRMATION_AGE_IN_OUTAGE + 1, True, Readiness.ISOLATED),
    ],
)
def test_readiness(has_configuration, is_behind, age, majority, expected):
    inputs = ReadinessInputs(
        has_configuration=has_configuration,
        is_behind=is_behind,
        age=Milliseconds(age),
        has_quorum=majority,
    )
    assert evaluate_readiness(inputs) is expected


@pytest.mark.parametrize(
    ("entries", "interval"), [(1, 1_000), (8, 1_000), (390, 1_950), (4_000, 2_000)]
)
def test_poll_interval_keeps_to_the_read_budget(entries, interval):
    assert poll_interval(entries) == interval


def test_new_process_has_no_revision():
    assert ConfigurationInForce(ManualClock()).revision == NO_REVISION


@pytest.mark.parametrize("key", ["configuration/delta/2", "configuration/body/2"])
async def test_body_with_unexpected_digest_is_never_applied(key):
    cluster = Cluster()
    in_force, poller = cluster.entry()
    await cluster.accept(BASE)
    await poller.poll()
    await cluster.accept(CHANGES[1])
    (body,) = (await cluster.store.read(["configuration/body/1"])).unwrap()
    put = Put(key=key, value=encode_delta(compute_delta(body.value, body.value + b" ")))
    await cluster.store.commit(Transaction(puts=(put,)))
    new, new_poller = cluster.entry()
    assert await poller.poll() is PollOutcome.APPLIED
    assert in_force.current().unwrap().configuration == CHANGES[1]
    is_body = key.startswith("configuration/body")
    expected = PollOutcome.STORE_SILENT if is_body else PollOutcome.APPLIED
    assert await new_poller.poll() is expected
    assert new.revision == (NO_REVISION if is_body else 2)
