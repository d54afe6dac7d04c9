"""The routing step with real parts, and the pause of bad roll-outs."""

from dataclasses import replace
from random import Random

import pytest
from returns.result import Success

from fuchsiaroute.clock import ManualClock
from fuchsiaroute.configuration import (
    NO_REVISION,
    ConfigurationLog,
    ConfigurationReader,
    NoSnapshot,
    RolloutState,
    VersionState,
)
from fuchsiaroute.costlimit import Allowances, CostMeter
from fuchsiaroute.entry import (
    AttemptRecord,
    Bill,
    Call,
    CurrentConfiguration,
    MeteredBillStep,
    ModelTarget,
    RatingPoll,
    ServiceTarget,
    StoredRolloutPauser,
    VersionRouteStep,
)
from fuchsiaroute.ids import ChangeId, RequestId, SessionId
from fuchsiaroute.quality import RatingReader, TableEstimates
from fuchsiaroute.rollout import RolloutAction, apply_action
from fuchsiaroute.routing.tests.deployment import (
    APP,
    FIRM,
    L1,
    QUESTION,
    ROLLOUT,
    S1,
    S2,
    SMALL,
    make_configuration,
    make_request,
    make_rollout,
)
from fuchsiaroute.session import PinSigner
from fuchsiaroute.store import (
    MemoryTableStore,
    Rating,
    RatingPage,
    StoreFault,
)
from fuchsiaroute.verdict import RefusalReason

WEAK = b'{"choices":[{"finish_reason":"length"}]}'
STRONG = b'{"choices":[{"finish_reason":"stop"}]}'


class FakeRatings:
    def __init__(self):
        self.log = []

    def add(self, count, version, *, bad=0):
        for number in range(count):
            self.log.append(
                Rating(
                    request=RequestId(f"r{len(self.log)}"),
                    version=version,
                    request_class=QUESTION,
                    is_good=number >= bad,
                )
            )

    async def ratings(self, cursor):
        start = int(cursor or 0)
        page = tuple(self.log[start:])
        return Success(RatingPage(ratings=page, cursor=str(start + len(page))))


class FakeBillStep:
    def __init__(self):
        self.costs = []

    async def bill(self, bill):
        self.costs.append(bill.cost)


class RoutingParts:
    """The routing step and the rating poll of one entry."""

    def __init__(self, store, service, clock):
        self.current = CurrentConfiguration()
        estimates = TableEstimates()
        self.allowances = Allowances(
            store=store,
            meter=CostMeter(clock=clock),
            clock=clock,
            entry_count=lambda: 1,
        )
        self.route = VersionRouteStep(
            current=self.current,
            pins=PinSigner(keys=["k"], clock=clock),
            estimates=estimates,
            allowances=self.allowances,
            random=Random(1),
        )
        self.poll = RatingPoll(
            reader=RatingReader(store=store, service=service),
            estimates=estimates,
            route=self.route,
            pauser=StoredRolloutPauser(store=store, clock=clock),
            current=self.current,
            clock=clock,
            random=Random(2),
        )

    async def decide(self, target=None, **changes):
        request = make_request(**changes)
        call = Call(request=request, target=target or ModelTarget(), body=b"{}")
        return await self.route.decide(call)

    async def versions(self, **changes):
        return (await self.decide(**changes)).unwrap().decision.versions


class Deployment:
    def __init__(self):
        self.store = MemoryTableStore()
        self.service = FakeRatings()
        self.changes = 0
        self.clock = ManualClock()

    async def accept(self, configuration):
        log = ConfigurationLog(self.store, self.clock)
        self.changes += 1
        outcome = await log.accept(
            configuration,
            change_id=ChangeId(f"operator-{self.changes}"),
            expected_revision=await self.revision(),
            author="operator",
            summary="",
        )
        outcome.unwrap()

    async def revision(self):
        latest = (await ConfigurationReader(self.store, self.clock).latest()).unwrap()
        is_first = isinstance(latest, NoSnapshot)
        return NO_REVISION if is_first else latest.change.revision

    async def accepted(self):
        latest = (await ConfigurationReader(self.store, self.clock).latest()).unwrap()
        return latest.change.revision, latest.configuration

    async def start_entry(self):
        entry = RoutingParts(self.store, self.service, self.clock)
        await self.update(entry)
        return entry

    async def update(self, entry):
        entry.current.apply(*(await self.accepted()))


@pytest.fixture
async def deployment():
    deployment = Deployment()
    rollout = make_rollout(stages=(1.0,))
    await deployment.accept(make_configuration(rollouts=(rollout,)))
    return deployment


async def test_session_keeps_its_version_across_entries_and_a_paused_rollout(
    deployment,
):
    entry = await deployment.start_entry()
    session = SessionId("s1")
    routed = (await entry.decide(session=session, model=SMALL)).unwrap()
    assert routed.decision.versions == (S2,)
    _, configuration = await deployment.accepted()
    paused = apply_action(configuration, ROLLOUT, RolloutAction.PAUSE).unwrap()
    await deployment.accept(paused)
    replacement = await deployment.start_entry()
    assert await replacement.versions(session=session, pin=routed.pin) == (S2,)
    assert await replacement.versions(session=SessionId("s2"), model=SMALL) == (S1,)
    await deployment.accept(paused.with_version_state(S2, VersionState.WITHDRAWN))
    await deployment.update(replacement)
    refusal = (await replacement.decide(session=session, pin=routed.pin)).failure()
    assert refusal.reason is RefusalReason.VERSION_WITHDRAWN


async def test_rollout_with_bad_ratings_is_paused_in_every_entry(deployment):
    entry = await deployment.start_entry()
    deployment.service.add(400, S1, bad=20)
    deployment.service.add(60, S2, bad=25)
    await entry.poll.poll()
    assert await entry.versions(model=SMALL) == (S1,)
    _, configuration = await deployment.accepted()
    (rollout,) = configuration.rollouts
    assert (rollout.state, rollout.attempt) == (RolloutState.PAUSED, 0)
    other = await deployment.start_entry()
    assert await other.versions(model=SMALL) == (S1,)


async def test_rollout_with_good_ratings_continues(deployment):
    entry = await deployment.start_entry()
    deployment.service.add(400, S1, bad=20)
    deployment.service.add(60, S2, bad=3)
    await entry.poll.poll()
    assert await entry.versions(model=SMALL) == (S2,)


@pytest.mark.parametrize("fault", [StoreFault.DOWN, StoreFault.ANSWER_LOST])
async def test_rollout_with_bad_ratings_is_paused_locally_while_the_store_fails(
    deployment, fault
):
    entry = await deployment.start_entry()
    deployment.service.add(400, S1, bad=20)
    deployment.service.add(60, S2, bad=25)
    deployment.store.fault = fault
    await entry.poll.poll()
    assert await entry.versions(model=SMALL) == (S1,)
    request = make_request(model=SMALL)
    refusal = entry.route.check_dispatch(request, S2).failure()
    assert refusal.reason is RefusalReason.VERSION_WITHDRAWN
    deployment.store.fault = StoreFault.NONE
    await entry.poll.poll()
    _, configuration = await deployment.accepted()
    assert configuration.rollouts[0].state is RolloutState.PAUSED


async def test_resumed_rollout_runs_until_new_ratings_are_bad(deployment):
    entry = await deployment.start_entry()
    deployment.service.add(400, S1, bad=20)
    deployment.service.add(60, S2, bad=25)
    await entry.poll.poll()
    _, configuration = await deployment.accepted()
    resumed = apply_action(configuration, ROLLOUT, RolloutAction.RESUME).unwrap()
    await deployment.accept(resumed)
    await deployment.update(entry)
    await entry.poll.poll()
    assert await entry.versions(model=SMALL) == (S2,)
    deployment.service.add(400, S1, bad=20)
    deployment.service.add(60, S2, bad=25)
    await entry.poll.poll()
    assert await entry.versions(model=SMALL) == (S1,)


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({}, (S2, L1)),
        ({"is_streamed": True}, (L1,)),
        ({"is_idempotent": False}, (L1,)),
        ({"session": SessionId("s")}, (L1,)),
    ],
)
async def test_only_buffered_answers_may_be_escalated(deployment, changes, expected):
    _, configuration = await deployment.accepted()
    product = configuration.products[0]
    specs = tuple(replace(spec, quality_target=0.893) for spec in product.classes)
    products = (replace(product, classes=specs),)
    await deployment.accept(replace(configuration, products=products))
    entry = await deployment.start_entry()
    assert await entry.versions(**changes) == expected


@pytest.mark.parametrize(("answer", "expected"), [(WEAK, True), (STRONG, False)])
async def test_weak_answer_is_escalated(deployment, answer, expected):
    entry = await deployment.start_entry()
    assert entry.route.should_escalate(make_request(), S1, answer) is expected


async def test_request_beyond_the_cost_limit_of_its_organisation_is_refused(deployment):
    _, configuration = await deployment.accepted()
    organisations = tuple(
        replace(item, daily_cost_limit=120) if item.id == FIRM else item
        for item in configuration.organisations
    )
    await deployment.accept(replace(configuration, organisations=organisations))
    entry = await deployment.start_entry()
    bills = FakeBillStep()
    billing = MeteredBillStep(bill=bills, allowances=entry.allowances)
    for number in range(4):
        request = make_request(f"r{number}", model=SMALL)
        call = Call(request=request, target=ModelTarget(), body=b"{}")
        outcome = await entry.route.decide(call)
        if not isinstance(outcome, Success):
            break
        record = AttemptRecord(version=S2, endpoint="e1", cost=52)
        await billing.bill(Bill(request=request, attempts=(record,)))
    assert outcome.failure().reason is RefusalReason.COST_LIMIT
    assert bills.costs == [52, 52]


async def test_plain_service_has_no_version_and_no_pin(deployment):
    entry = await deployment.start_entry()
    target = ServiceTarget(service=APP, path="/x", cost=5)
    routed = (await entry.decide(target=target, model=APP)).unwrap()
    assert (routed.decision.versions, routed.pin) == ((), "")


async def test_cost_of_an_answer_by_its_size(deployment):
    entry = await deployment.start_entry()
    assert entry.route.cost(S1, 64 * 1_000) == 200
    assert entry.route.cost("gone", 64 * 1_000) == 0
