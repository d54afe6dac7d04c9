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


class Harness:
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

    def own_slots(self, endpoint: EndpointId, slots: int) -> None:
        self.chooser.cold_slots.confirm(
            ColdSlot(endpoint=endpoint, number=number) for number in range(slots)
        )


def test_own_requests_are_spread_evenly() -> None:
    harness = Harness()
    chosen = Counter(harness.choose().endpoint.id for _ in range(100))
    assert set(chosen) == {endpoint.id for endpoint in WORKERS}
    assert max(chosen.values()) - min(chosen.values()) <= 4


def test_requests_to_a_plain_service_use_all_its_endpoints() -> None:
    harness = Harness()
    chosen = {harness.choose(timberline.PERMIT_APP).endpoint.id for _ in range(30)}
    assert len(chosen) == timberline.SERVICE_COUNT


def test_load_reports_steer_requests_to_less_loaded_endpoints() -> None:
    harness = Harness()
    for endpoint in WORKERS[1:]:
        harness.chooser.record_load_report(
            LoadReport(
                endpoint=endpoint.id,
                incarnation=INCARNATION,
                in_flight=30,
                taken_at=harness.clock.wall(),
            )
        )
    chosen = Counter(harness.choose().endpoint.id for _ in range(15))
    assert chosen[WORKERS[0].id] >= 5


def test_request_is_refused_as_not_run_if_all_endpoints_are_full() -> None:
    harness = Harness()
    for _ in range(sum(int(endpoint.capacity * 1.1) + 1 for endpoint in WORKERS)):
        harness.choose()
    outcome = harness.chooser.choose(harness.request(), TARGET)
    refusal = outcome.failure()
    assert refusal.reason is RefusalReason.OVERLOADED
    assert refusal.verdict is Verdict.NOT_RUN
    assert refusal.retry_after > 0


def test_affinity_keeps_a_prefix_on_one_endpoint_at_low_load() -> None:
    harness = Harness()
    chosen = Counter()
    for _ in range(60):
        reservation = harness.choose(prefix_hash=99)
        chosen[reservation.endpoint.id] += 1
        harness.chooser.release(reservation, Outcome.ANSWERED)
    assert len(chosen) == 1


def test_load_overrides_affinity() -> None:
    harness = Harness()
    chosen = Counter(harness.choose(prefix_hash=99).endpoint.id for _ in range(100))
    assert max(chosen.values()) <= 100 / len(WORKERS) * 1.25 + 2


def test_cold_endpoint_gets_no_request_without_a_slot() -> None:
    harness = Harness(is_warm=False)
    outcome = harness.chooser.choose(harness.request(), TARGET)
    assert isinstance(outcome, Failure)
    assert outcome.failure().verdict is Verdict.NOT_RUN
    harness.own_slots(WORKERS[2].id, 2)
    kinds = [harness.choose().kind for _ in range(2)]
    assert kinds == [ReservationKind.COLD_SLOT] * 2
    assert isinstance(harness.chooser.choose(harness.request(), TARGET), Failure)


@pytest.mark.parametrize(
    ("outcome", "is_released"),
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
def test_slot_is_released_only_if_the_request_cannot_be_running(
    outcome: Outcome, is_released: bool
) -> None:
    harness = Harness(is_warm=False)
    harness.own_slots(WORKERS[0].id, 1)
    harness.chooser.release(harness.choose(), outcome)
    again = harness.chooser.choose(harness.request(), TARGET)
    assert isinstance(again, Success) is is_released


def test_endpoint_that_has_just_become_warm_is_not_flooded() -> None:
    harness = Harness(is_warm=False)
    harness.warm(*(endpoint.id for endpoint in WORKERS[1:]))
    harness.pass_time(10_000)
    for _ in range(80):
        harness.choose()
    harness.warm(WORKERS[0].id)
    chosen = Counter(harness.choose().endpoint.id for _ in range(30))
    assert chosen[WORKERS[0].id] <= 3


@pytest.mark.parametrize("cause", ["outage", "cold", "restart", "pause"])
def test_reservation_is_invalid_after_a_state_change_or_a_pause(cause: str) -> None:
    harness = Harness()
    reservation = harness.choose()
    chooser, endpoint = harness.chooser, reservation.endpoint
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
        harness.clock.tick(Milliseconds(5_000))
    assert not chooser.may_dispatch(reservation)


def test_second_release_has_no_effect() -> None:
    harness = Harness()
    reservation = harness.choose()
    for _ in range(2):
        harness.chooser.release(reservation, Outcome.ANSWERED)
    assert harness.chooser.in_flight(reservation.endpoint.id) == 0


def test_endpoints_get_no_requests_in_an_outage_and_are_cold_after_it() -> None:
    harness = Harness()
    domain = WORKERS[0].failure_domain
    outage = CONFIGURATION.with_outages((Outage(failure_domain=domain),))
    harness.chooser.update_configuration(outage)
    chosen = {harness.choose().endpoint.failure_domain for _ in range(60)}
    assert domain not in chosen
    harness.chooser.update_configuration(CONFIGURATION)
    chosen = {harness.choose().endpoint.failure_domain for _ in range(10)}
    assert domain not in chosen


@pytest.mark.parametrize(
    ("is_out", "reason"),
    [(False, RefusalReason.OVERLOADED), (True, RefusalReason.NO_ENDPOINT)],
    ids=["cold", "all domains in an outage"],
)
def test_refusal_reason_depends_on_whether_waiting_helps(
    is_out: bool, reason: RefusalReason
) -> None:
    harness = Harness(is_warm=False)
    domains = CONFIGURATION.failure_domains if is_out else ()
    outages = tuple(Outage(failure_domain=domain.id) for domain in domains)
    harness.chooser.update_configuration(CONFIGURATION.with_outages(outages))
    refusal = harness.chooser.choose(harness.request(), TARGET).failure()
    assert refusal.reason is reason


def test_endpoint_that_refused_as_full_gets_no_requests_during_the_backoff() -> None:
    harness = Harness()
    refusing = harness.choose()
    harness.chooser.release(refusing, Outcome.REFUSED_FULL)
    chosen = {harness.choose().endpoint.id for _ in range(40)}
    assert refusing.endpoint.id not in chosen
    harness.clock.tick(Milliseconds(200))
    assert refusing.endpoint.id in {harness.choose().endpoint.id for _ in range(40)}
