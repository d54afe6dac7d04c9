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


class Scene:
    def __init__(self) -> None:
        self.clock = ManualClock()
        self.admission = Admission(clock=self.clock, random=Random(1))
        products = (*CONFIGURATION.products, OTHER_PRODUCT)
        self.admission.update_configuration(replace(CONFIGURATION, products=products))
        self.gate = AdmissionGate(self.admission)
        self.room = 0
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

    def wait(self, ticket: Ticket) -> None:
        self.admission.enqueue(ticket, TARGET).unwrap()

    def start_order(self) -> list[OrganisationId]:
        order = []
        while (head := self.admission.head(TARGET)) is not None:
            self.admission.start(head, TARGET)
            order.append(head.request.organisation)
        return order

    async def reserve(self, ticket: Ticket) -> Result[str, Refusal]:
        def reserve() -> Result[str, Refusal]:
            if self.room == 0:
                return Failure(FULL)
            self.room -= 1
            return Success("place")

        def release(_: str) -> None:
            self.room += 1

        return await self.gate.reserve(ticket, TARGET, reserve, release=release)


def test_a_flood_of_one_organisation_delays_only_itself() -> None:
    scene = Scene()
    scene.ticket(LARGE)
    for _ in range(50):
        scene.wait(scene.ticket(LARGE))
    scene.wait(scene.ticket(SMALL))
    assert scene.start_order().index(SMALL) == 0


def test_running_requests_count_by_weight() -> None:
    scene = Scene()
    for _ in range(3):
        scene.ticket(LARGE)
    scene.ticket(SMALL)
    for organisation in (LARGE, SMALL, LARGE, SMALL):
        scene.wait(scene.ticket(organisation))
    # Weight 3 against 1: 3 running requests are as many as 1.
    assert scene.start_order() == [LARGE, SMALL, LARGE, SMALL]


def test_higher_priority_starts_first_and_is_shed_last() -> None:
    scene = Scene()
    low = [scene.ticket(SMALL, product=OTHER_PRODUCT.id) for _ in range(3)]
    for ticket in low:
        scene.wait(ticket)
    scene.wait(scene.ticket(LARGE))
    head = scene.admission.head(TARGET)
    assert head is not None
    assert head.request.organisation == LARGE


@pytest.mark.parametrize(
    ("remaining", "reason"),
    [(0, RefusalReason.DEADLINE), (-5, RefusalReason.DEADLINE)],
)
def test_a_passed_deadline_is_refused(remaining: int, reason: RefusalReason) -> None:
    scene = Scene()
    deadline = scene.clock.wall() + remaining
    refusal = scene.admission.admit(scene.request(deadline=deadline)).failure()
    assert (refusal.reason, refusal.verdict) == (reason, Verdict.NOT_RUN)


def test_a_request_that_would_wait_in_vain_is_refused_at_once() -> None:
    scene = Scene()
    tickets = [scene.ticket(LARGE) for _ in range(60)]
    for ticket in tickets:
        scene.wait(ticket)
    for ticket in tickets[:20]:
        scene.admission.start(ticket, TARGET)
        scene.clock.tick(Milliseconds(100))
    late = scene.ticket(LARGE)
    refusal = scene.admission.enqueue(late, TARGET).failure()
    assert refusal.reason is RefusalReason.OVERLOADED
    assert refusal.verdict is Verdict.NOT_RUN
    # 40 wait in front, one starts each 100 ms; the spread adds up to a half.
    assert 4_000 <= refusal.retry_after <= 6_000
    small = scene.ticket(SMALL)
    assert isinstance(scene.admission.enqueue(small, TARGET), Success)


def test_the_queue_never_outlives_a_deadline() -> None:
    scene = Scene()
    soon = Milliseconds(scene.clock.wall() + 1_000)
    scene.wait(scene.ticket(deadline=soon))
    scene.wait(scene.ticket(SMALL))
    scene.clock.tick(Milliseconds(1_001))
    expired = scene.admission.expire(TARGET)
    assert [ticket.request.organisation for ticket, _ in expired] == [LARGE]
    scene.clock.tick(MAX_WAIT)
    assert len(scene.admission.expire(TARGET)) == 1
    assert scene.admission.waiting == 0


def test_the_expected_duration_shortens_the_wait() -> None:
    scene = Scene()
    done = scene.ticket()
    scene.clock.tick(Milliseconds(1_500))
    scene.admission.release(done, is_answered=True)
    deadline = Milliseconds(scene.clock.wall() + 4_000)
    ticket = scene.ticket(deadline=deadline)
    assert ticket.latest_start == scene.clock.now() + 2_500


def test_finishing_twice_counts_once() -> None:
    scene = Scene()
    ticket = scene.ticket()
    for _ in range(2):
        scene.admission.release(ticket, is_answered=False)
    assert scene.admission.open == 0
    assert scene.admission._running[LARGE] == 0


async def test_the_gate_wakes_waiters_as_room_appears() -> None:
    scene = Scene()
    tasks = [
        asyncio.create_task(scene.reserve(scene.ticket(organisation)))
        for organisation in (LARGE, LARGE, SMALL)
    ]
    await asyncio.sleep(0)
    assert scene.admission.waiting == 3
    scene.room = 2
    scene.gate.wake()
    await asyncio.sleep(0)
    assert [task.done() for task in tasks] == [True, False, True]
    scene.clock.tick(Milliseconds(MAX_WAIT + 1))
    scene.gate.wake()
    refusal = (await tasks[1]).failure()
    assert refusal.reason is RefusalReason.OVERLOADED


@pytest.mark.parametrize("is_woken", [False, True], ids=["waiting", "just woken"])
async def test_a_cancelled_waiter_leaves_nothing_behind(is_woken: bool) -> None:
    scene = Scene()
    ticket = scene.ticket()
    task = asyncio.create_task(scene.reserve(ticket))
    await asyncio.sleep(0)
    if is_woken:
        scene.room = 1
        scene.gate.wake()
        assert scene.room == 0
    task.cancel()
    scene.room += 0 if is_woken else 1
    scene.gate.wake()
    await asyncio.gather(task, return_exceptions=True)
    assert task.cancelled()
    assert scene.room == 1
    assert scene.admission.waiting == 0
    scene.admission.release(ticket, is_answered=False)
    assert scene.admission._running[LARGE] == 0
