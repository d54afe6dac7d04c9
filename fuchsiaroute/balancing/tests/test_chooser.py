from collections import Counter
from dataclasses import replace
from random import Random

import pytest
from returns.result import Failure, Success

from examples import timberline
from fuchsiaroute.balancing import (
    ColdSlot,
    EndpointChooser,
    Reservation,
    ReservationKind,
    Target,
)
from fuchsiaroute.clock import ManualClock, Milliseconds
from fuchsiaroute.configuration import Outage
from fuchsiaroute.endpoints import LoadReport, Outcome, Warmth, WarmthFact
from fuchsiaroute.ids import (
    EndpointId,
    Incarnation,
    InstanceId,
    OrganisationId,
    ProductId,
    RequestClass,
    RequestId,
    VersionId,
)
from fuchsiaroute.request import Request
from fuchsiaroute.verdict import RefusalReason, Verdict

CONFIGURATION = timberline.declare()
WORKERS = CONFIGURATION.endpoints[: timberline.WORKER_COUNT]
TARGET = VersionId("timber-4")
INCARNATION = Incarnation(7)


class Scene:
    def __init__(self, *, is_warm: bool = True) -> None:
        self.clock = ManualClock()
        self.chooser = EndpointChooser(
            entry=InstanceId("entry-0"), clock=self.clock, random=Random(1)
        )
        self.chooser.update_configuration(CONFIGURATION)
        if is_warm:
            self.warm(*(endpoint.id for endpoint in CONFIGURATION.endpoints))
            self.pass_time(10_000)

    def warm(self, *endpoints: EndpointId) -> None:
        warmth = Warmth(incarnation=INCARNATION, is_warm=True)
        self.chooser.merge_warmth(
            WarmthFact(endpoint=name, warmth=warmth) for name in endpoints
        )

    def pass_time(self, duration: int) -> None:
        for _ in range(duration // 1_000):
            self.clock.tick(Milliseconds(1_000))
            self.chooser.cold_slots.tick()

    def request(self, **changes: object) -> Request:
        request = Request(
            id=RequestId("r"),
            organisation=OrganisationId("county-00"),
            product=ProductId("permit-desk"),
            request_class=RequestClass("stand-lookup"),
            deadline=Milliseconds(self.clock.wall() + 30_000),
        )
        return replace(request, **changes)  # type: ignore[arg-type]

    def choose(self, target: Target = TARGET, **changes: object) -> Reservation:
        return self.chooser.choose(self.request(**changes), target).unwrap()

    def own(self, endpoint: EndpointId, slots: int) -> None:
        self.chooser.cold_slots.confirm(
            ColdSlot(endpoint=endpoint, number=number) for number in range(slots)
        )


def test_own_requests_are_spread_evenly() -> None:
    scene = Scene()
    chosen = Counter(scene.choose().endpoint.id for _ in range(100))
    assert set(chosen) == {endpoint.id for endpoint in WORKERS}
    assert max(chosen.values()) - min(chosen.values()) <= 4


def test_plain_services_are_chosen_alike() -> None:
    scene = Scene()
    chosen = {scene.choose(timberline.PERMIT_APP).endpoint.id for _ in range(30)}
    assert len(chosen) == timberline.SERVICE_COUNT


def test_reported_load_of_other_entries_counts() -> None:
    scene = Scene()
    for endpoint in WORKERS[1:]:
        scene.chooser.record_load_report(
            LoadReport(
                endpoint=endpoint.id,
                incarnation=INCARNATION,
                in_flight=30,
                taken_at=scene.clock.wall(),
            )
        )
    chosen = Counter(scene.choose().endpoint.id for _ in range(15))
    assert chosen[WORKERS[0].id] >= 5


def test_all_full_is_refused_as_not_run() -> None:
    scene = Scene()
    for _ in range(sum(int(endpoint.capacity * 1.1) + 1 for endpoint in WORKERS)):
        scene.choose()
    outcome = scene.chooser.choose(scene.request(), TARGET)
    refusal = outcome.failure()
    assert refusal.reason is RefusalReason.OVERLOADED
    assert refusal.verdict is Verdict.NOT_RUN
    assert refusal.retry_after > 0


def test_affinity_keeps_a_prefix_on_two_endpoints_at_most() -> None:
    scene = Scene()
    chosen = Counter()
    for _ in range(60):
        reservation = scene.choose(prefix_hash=99)
        chosen[reservation.endpoint.id] += 1
        scene.chooser.release(reservation, Outcome.ANSWERED)
    assert len(chosen) == 1


def test_affinity_gives_way_to_load() -> None:
    scene = Scene()
    chosen = Counter(scene.choose(prefix_hash=99).endpoint.id for _ in range(100))
    assert max(chosen.values()) <= 100 / len(WORKERS) * 1.25 + 2


def test_a_cold_endpoint_gets_nothing_without_a_slot() -> None:
    scene = Scene(is_warm=False)
    outcome = scene.chooser.choose(scene.request(), TARGET)
    assert isinstance(outcome, Failure)
    assert outcome.failure().verdict is Verdict.NOT_RUN
    scene.own(WORKERS[2].id, 2)
    kinds = [scene.choose().kind for _ in range(2)]
    assert kinds == [ReservationKind.COLD_SLOT] * 2
    assert isinstance(scene.chooser.choose(scene.request(), TARGET), Failure)


@pytest.mark.parametrize(
    ("outcome", "is_free"),
    [
        (Outcome.ANSWERED, True),
        (Outcome.REFUSED_COLD, True),
        (Outcome.FAILED_BEFORE_SENT, True),
        (Outcome.REVOKED, True),
        (Outcome.FAILED_AFTER_SENT, False),
        (Outcome.SILENT, False),
        (Outcome.TRUNCATED, False),
        (Outcome.CANCELLED, False),
    ],
)
def test_a_slot_is_free_once_nothing_can_run(outcome: Outcome, is_free: bool) -> None:
    scene = Scene(is_warm=False)
    scene.own(WORKERS[0].id, 1)
    scene.chooser.release(scene.choose(), outcome)
    again = scene.chooser.choose(scene.request(), TARGET)
    assert isinstance(again, Success) is is_free


def test_no_herd_on_an_endpoint_that_has_just_become_warm() -> None:
    scene = Scene(is_warm=False)
    scene.warm(*(endpoint.id for endpoint in WORKERS[1:]))
    scene.pass_time(10_000)
    for _ in range(80):
        scene.choose()
    scene.warm(WORKERS[0].id)
    chosen = Counter(scene.choose().endpoint.id for _ in range(30))
    assert chosen[WORKERS[0].id] <= 3


@pytest.mark.parametrize("cause", ["outage", "cold", "restart", "pause"])
def test_a_choice_is_checked_again_before_dispatch(cause: str) -> None:
    scene = Scene()
    reservation = scene.choose()
    chooser, endpoint = scene.chooser, reservation.endpoint
    assert chooser.may_dispatch(reservation)
    if cause == "outage":
        outage = Outage(failure_domain=endpoint.failure_domain)
        chooser.update_configuration(CONFIGURATION.with_outages((outage,)))
    elif cause == "cold":
        fact = WarmthFact(endpoint=endpoint.id, warmth=reservation.warmth.found_cold())
        chooser.merge_warmth([fact])
    elif cause == "restart":
        chooser.record_incarnation(endpoint.id, Incarnation(8))
    else:
        scene.clock.tick(Milliseconds(5_000))
    assert not chooser.may_dispatch(reservation)


def test_finishing_twice_counts_once() -> None:
    scene = Scene()
    reservation = scene.choose()
    for _ in range(2):
        scene.chooser.release(reservation, Outcome.ANSWERED)
    assert scene.chooser.in_flight(reservation.endpoint.id) == 0


def test_an_outage_gets_no_work_and_returns_through_slots() -> None:
    scene = Scene()
    domain = WORKERS[0].failure_domain
    outage = CONFIGURATION.with_outages((Outage(failure_domain=domain),))
    scene.chooser.update_configuration(outage)
    chosen = {scene.choose().endpoint.failure_domain for _ in range(60)}
    assert domain not in chosen
    scene.chooser.update_configuration(CONFIGURATION)
    chosen = {scene.choose().endpoint.failure_domain for _ in range(10)}
    assert domain not in chosen


@pytest.mark.parametrize(
    ("is_out", "reason"),
    [(False, RefusalReason.OVERLOADED), (True, RefusalReason.NO_ENDPOINT)],
    ids=["cold, so worth waiting", "out"],
)
def test_the_reason_tells_whether_waiting_helps(
    is_out: bool, reason: RefusalReason
) -> None:
    scene = Scene(is_warm=False)
    domains = CONFIGURATION.failure_domains if is_out else ()
    outages = tuple(Outage(failure_domain=domain.id) for domain in domains)
    scene.chooser.update_configuration(CONFIGURATION.with_outages(outages))
    refusal = scene.chooser.choose(scene.request(), TARGET).failure()
    assert refusal.reason is reason


def test_an_endpoint_that_says_it_is_full_gets_a_pause() -> None:
    scene = Scene()
    refusing = scene.choose()
    scene.chooser.release(refusing, Outcome.REFUSED_FULL)
    chosen = {scene.choose().endpoint.id for _ in range(40)}
    assert refusing.endpoint.id not in chosen
    scene.clock.tick(Milliseconds(200))
    assert refusing.endpoint.id in {scene.choose().endpoint.id for _ in range(40)}
