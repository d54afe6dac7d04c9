import asyncio
from dataclasses import replace
from random import Random

import pytest
from returns.result import Failure, Result, Success

from examples import timberline
from fuchsiaroute.admission import MAX_WAIT, Admission, AdmissionGate, Ticket
from fuchsiaroute.clock import ManualClock, Milliseconds
from fuchsiaroute.ids import OrganisationId, ProductId, RequestClass, RequestId
from fuchsiaroute.request import Request
from fuchsiaroute.verdict import Refusal, RefusalReason, Verdict

CONFIGURATION = timberline.declare()
LARGE, SMALL = OrganisationId("county-00"), OrganisationId("county-09")
OTHER_PRODUCT = replace(
    CONFIGURATION.products[0], id=ProductId("campground-board"), priority=2
)
TARGET = "timber-4"
FULL = Refusal(reason=RefusalReason.OVERLOADED, verdict=Verdict.NOT_RUN, message="full")


class Harness:
    def __init__(self) -> None:
        self.clock = ManualClock()
        self.admission = Admission(clock=self.clock, random=Random(1))
        products = (*CONFIGURATION.products, OTHER_PRODUCT)
        self.admission.update_configuration(replace(CONFIGURATION, products=products))
        self.gate = AdmissionGate(self.admission)
        self.capacity = 0
        self.started: list[OrganisationId] = []

    def request(
        self, organisation: OrganisationId = LARGE, **changes: object
    ) -> Request:
        request = Request(
            id=RequestId("r"),
            organisation=organisation,
            product=CONFIGURATION.products[0].id,
            request_class=RequestClass("stand-lookup"),
            deadline=Milliseconds(self.clock.wall() + 30_000),
        )
        return replace(request, **changes)  # type: ignore[arg-type]

    def ticket(self, organisation: OrganisationId = LARGE, **changes: object) -> Ticket:
        return self.admission.admit(self.request(organisation, **changes)).unwrap()

    def enqueue(self, ticket: Ticket) -> None:
        self.admission.enqueue(ticket, TARGET).unwrap()

    def start_order(self) -> list[OrganisationId]:
        order = []
        while (head := self.admission.head(TARGET)) is not None:
            self.admission.start(head, TARGET)
            order.append(head.request.organisation)
        return order

    async def reserve(self, ticket: Ticket) -> Result[str, Refusal]:
        def reserve() -> Result[str, Refusal]:
            if self.capacity == 0:
                return Failure(FULL)
            self.capacity -= 1
            return Success("place")

        def release(_: str) -> None:
            self.capacity += 1

        return await self.gate.reserve(ticket, TARGET, reserve, release=release)


def test_flood_of_one_organisation_does_not_delay_another() -> None:
    harness = Harness()
    harness.ticket(LARGE)
    for _ in range(50):
        harness.enqueue(harness.ticket(LARGE))
    harness.enqueue(harness.ticket(SMALL))
    assert harness.start_order().index(SMALL) == 0


def test_running_requests_are_weighted_by_organisation() -> None:
    harness = Harness()
    for _ in range(3):
        harness.ticket(LARGE)
    harness.ticket(SMALL)
    for organisation in (LARGE, SMALL, LARGE, SMALL):
        harness.enqueue(harness.ticket(organisation))
    # With weights 3 and 1, 3 running requests count as much as 1.
    assert harness.start_order() == [LARGE, SMALL, LARGE, SMALL]


def test_higher_priority_starts_first_and_is_shed_last() -> None:
    harness = Harness()
    low = [harness.ticket(SMALL, product=OTHER_PRODUCT.id) for _ in range(3)]
    for ticket in low:
        harness.enqueue(ticket)
    harness.enqueue(harness.ticket(LARGE))
    head = harness.admission.head(TARGET)
    assert head is not None
    assert head.request.organisation == LARGE


@pytest.mark.parametrize(
    ("remaining", "reason"),
    [(0, RefusalReason.DEADLINE), (-5, RefusalReason.DEADLINE)],
)
def test_request_with_a_passed_deadline_is_refused(
    remaining: int, reason: RefusalReason
) -> None:
    harness = Harness()
    deadline = harness.clock.wall() + remaining
    refusal = harness.admission.admit(harness.request(deadline=deadline)).failure()
    assert (refusal.reason, refusal.verdict) == (reason, Verdict.NOT_RUN)


def test_request_with_too_long_an_expected_wait_is_refused_at_once() -> None:
    harness = Harness()
    tickets = [harness.ticket(LARGE) for _ in range(60)]
    for ticket in tickets:
        harness.enqueue(ticket)
    for ticket in tickets[:20]:
        harness.admission.start(ticket, TARGET)
        harness.clock.tick(Milliseconds(100))
    late = harness.ticket(LARGE)
    refusal = harness.admission.enqueue(late, TARGET).failure()
    assert refusal.reason is RefusalReason.OVERLOADED
    assert refusal.verdict is Verdict.NOT_RUN
    # 40 requests are ahead and one starts every 100 ms; jitter adds up to a half.
    assert 4_000 <= refusal.retry_after <= 6_000
    small = harness.ticket(SMALL)
    assert isinstance(harness.admission.enqueue(small, TARGET), Success)


def test_waiting_requests_expire_at_their_latest_start() -> None:
    harness = Harness()
    soon = Milliseconds(harness.clock.wall() + 1_000)
    harness.enqueue(harness.ticket(deadline=soon))
    harness.enqueue(harness.ticket(SMALL))
    harness.clock.tick(Milliseconds(1_001))
    expired = harness.admission.expire(TARGET)
    assert [ticket.request.organisation for ticket, _ in expired] == [LARGE]
    harness.clock.tick(MAX_WAIT)
    assert len(harness.admission.expire(TARGET)) == 1
    assert harness.admission.waiting == 0


def test_expected_duration_is_taken_off_the_maximum_wait() -> None:
    harness = Harness()
    done = harness.ticket()
    harness.clock.tick(Milliseconds(1_500))
    harness.admission.release(done, is_answered=True)
    deadline = Milliseconds(harness.clock.wall() + 4_000)
    ticket = harness.ticket(deadline=deadline)
    assert ticket.latest_start == harness.clock.now() + 2_500


def test_second_release_has_no_effect() -> None:
    harness = Harness()
    ticket = harness.ticket()
    for _ in range(2):
        harness.admission.release(ticket, is_answered=False)
    assert harness.admission.open_tickets == 0
    assert harness.admission._running[LARGE] == 0


async def test_gate_resumes_waiters_when_capacity_is_available() -> None:
    harness = Harness()
    tasks = [
        asyncio.create_task(harness.reserve(harness.ticket(organisation)))
        for organisation in (LARGE, LARGE, SMALL)
    ]
    await asyncio.sleep(0)
    assert harness.admission.waiting == 3
    harness.capacity = 2
    harness.gate.wake()
    await asyncio.sleep(0)
    assert [task.done() for task in tasks] == [True, False, True]
    harness.clock.tick(Milliseconds(MAX_WAIT + 1))
    harness.gate.wake()
    refusal = (await tasks[1]).failure()
    assert refusal.reason is RefusalReason.OVERLOADED


@pytest.mark.parametrize("is_resumed", [False, True], ids=["waiting", "just resumed"])
async def test_cancelled_waiter_releases_its_ticket_and_reservation(
    is_resumed: bool,
) -> None:
    harness = Harness()
    ticket = harness.ticket()
    task = asyncio.create_task(harness.reserve(ticket))
    await asyncio.sleep(0)
    if is_resumed:
        harness.capacity = 1
        harness.gate.wake()
        assert harness.capacity == 0
    task.cancel()
    harness.capacity += 0 if is_resumed else 1
    harness.gate.wake()
    await asyncio.gather(task, return_exceptions=True)
    assert task.cancelled()
    assert harness.capacity == 1
    assert harness.admission.waiting == 0
    harness.admission.release(ticket, is_answered=False)
    assert harness.admission._running[LARGE] == 0
