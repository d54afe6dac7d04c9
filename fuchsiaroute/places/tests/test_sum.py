"""
Many instances and one endpoint that falls over, with messages that are late or lost.

Instances do not know of each other's requests. They are simulated in steps.
"""

from collections import deque
from dataclasses import dataclass, field
from random import Random

import pytest

from fuchsiaroute.clock import ManualClock, Milliseconds
from fuchsiaroute.deployment import Endpoint
from fuchsiaroute.ids import (
    EndpointId,
    FailureDomainId,
    InstanceId,
    ServiceId,
    VersionId,
)
from fuchsiaroute.places import (
    Allowance,
    BrittleEndpoint,
    BrittleNotices,
    Holding,
    PlaceHolder,
    PlaceIssuer,
)

STEP = Milliseconds(2)
REFRESH_INTERVAL = 100
SERVICE_TIME = 200
MAX_WAIT = 1_500
#: Target: share of what the endpoint can do that is served at twice its load.
USED_SHARE = 0.8
#: The same while messages are lost.
USED_SHARE_WITH_LOSS = 0.7
#: Time to react, in which the endpoint does not fall over.
CONTACT = 3_000
#: Time until peers count an instance as dead.
DEAD_AFTER = 2_000


@dataclass(eq=False)
class SimulatedInstance:
    name: InstanceId
    holder: PlaceHolder
    issuer: PlaceIssuer
    #: Ends of the requests in flight, in order of their start.
    running: list[int] = field(default_factory=list)
    #: Arrival times of the requests that wait.
    waiting: deque[int] = field(default_factory=deque)
    is_unsettled: bool = False


class Simulation:
    """Instances, their messages, and the requests at one endpoint."""

    def __init__(self, count: int, *, slots: int, loss: float, seed: int = 1) -> None:
        self.random = Random(seed)
        self.clock = ManualClock()
        self.clock.tick(Milliseconds(5))
        self.loss = loss
        self.endpoint = Endpoint(
            id=EndpointId("e"),
            service=ServiceId("s"),
            host="10.0.0.1",
            port=80,
            failure_domain=FailureDomainId("z1"),
            version=VersionId("v1"),
            slots=slots,
            is_draining=False,
            cold_remaining=Milliseconds(0),
            started_at=Milliseconds(1),
        )
        self.instances = [self.new_instance(f"i{number}") for number in range(count)]
        self.issuing = self.instances[0]
        #: Requests that may wait at the endpoint.
        self.queue_room = 2
        self.max_in_flight = 0
        self.served = 0
        self.rejections: deque[int] = deque()
        self.max_rejections = 0
        #: Arrivals that are due, with a fraction.
        self._arrivals = 0.0
        #: Messages on their way: time of arrival, and what arrives.
        self._messages: list[tuple[int, object, InstanceId]] = []

    @property
    def in_flight(self) -> int:
        return sum(len(item.running) for item in self.instances)

    def new_instance(self, name: str) -> SimulatedInstance:
        notices = BrittleNotices(clock=self.clock)
        notices.record(self.endpoint, 4.0)
        return SimulatedInstance(
            name=InstanceId(name),
            holder=PlaceHolder(notices=notices, clock=self.clock),
            issuer=PlaceIssuer(clock=self.clock),
        )

    def run(self, duration: int, *, load: float = 2.0) -> None:
        """Run with ``load`` times the requests that the endpoint can serve."""
        rate = load * self.endpoint.slots / SERVICE_TIME * STEP
        for _ in range(duration // STEP):
            self.clock.tick(STEP)
            self._arrivals += rate
            while self._arrivals >= 1.0:
                self._arrivals -= 1.0
                instance = self.random.choice(self.instances)
                instance.waiting.append(self.clock.now())
            self.deliver()
            is_refresh = self.clock.now() % REFRESH_INTERVAL < STEP
            if is_refresh:
                place = BrittleEndpoint(
                    self.endpoint.id, 1, self.endpoint.slots, tolerance=4.0
                )
                self.issuing.issuer.own([place])
                self.send_allowances(self.issuing.issuer.refresh())
            for instance in self.instances:
                self.step(instance, is_refresh=is_refresh)
            self.max_in_flight = max(self.max_in_flight, self.in_flight)

    def step(self, instance: SimulatedInstance, *, is_refresh: bool) -> None:
        now = self.clock.now()
        ended = [end for end in instance.running if end <= now]
        for end in ended:
            instance.running.remove(end)
            self.served += 1
            self.release(instance, was_rejected=False)
        while instance.waiting and instance.waiting[0] < now - MAX_WAIT:
            instance.waiting.popleft()
        while instance.waiting:
            if not instance.holder.has_place(self.endpoint, len(instance.running)):
                instance.holder.want(self.endpoint, len(instance.running))
                instance.is_unsettled = True
                break
            instance.waiting.popleft()
            self.start(instance)
        if instance.is_unsettled or is_refresh:
            instance.is_unsettled = False
            load = len(instance.running)
            if instance.holder.settle(self.endpoint, load):
                report = instance.holder.report(self.endpoint, load)
                self.send(report, instance.name)

    def start(self, instance: SimulatedInstance) -> None:
        now = self.clock.now()
        ahead = self.in_flight - self.endpoint.slots
        instance.running.append(now)
        if ahead >= self.queue_room:
            instance.running.pop()
            self.rejections.append(now)
            self.release(instance, was_rejected=True)
            while self.rejections[0] <= now - 1_000:
                self.rejections.popleft()
            self.max_rejections = max(self.max_rejections, len(self.rejections))
            return
        spread = self.random.uniform(0.5, 1.5)
        instance.running[-1] = now + round(SERVICE_TIME * spread)

    def release(self, instance: SimulatedInstance, *, was_rejected: bool) -> None:
        load = len(instance.running)
        instance.holder.release(
            self.endpoint, load, was_rejected=was_rejected, may_run=False
        )
        instance.is_unsettled = True

    def send(self, message: object, instance: InstanceId) -> None:
        if self.random.random() >= self.loss:
            at = self.clock.now() + self.random.choice((1, 1, 1, 4, 9))
            self._messages.append((at, message, instance))

    def send_allowances(self, allowances: list[Allowance]) -> None:
        for item in allowances:
            self.send(item, item.instance)

    def deliver(self) -> None:
        now = self.clock.now()
        due = [item for item in self._messages if item[0] <= now]
        self._messages = [item for item in self._messages if item[0] > now]
        for _, message, name in due:
            if isinstance(message, Holding):
                self.send_allowances(self.issuing.issuer.report(name, message))
                continue
            assert isinstance(message, Allowance)
            for instance in self.instances:
                if instance.name == name:
                    instance.holder.receive(
                        self.endpoint,
                        len(instance.running),
                        issuer=self.issuing.name,
                        term=message.term,
                        number=message.number,
                        allowed=message.allowed,
                        is_contended=message.is_contended,
                    )
                    instance.is_unsettled = True

    def replace_issuer(self) -> None:
        """End the issuing instance with its requests; another takes over later."""
        self.instances.remove(self.issuing)
        self._messages.clear()
        self.issuing = self.new_instance("nobody")
        self.run(DEAD_AFTER)
        self.issuing = self.instances[0]

    def used_share(self, duration: int) -> float:
        """Run for ``duration`` and return the share of the room that was used."""
        served = self.served
        self.run(duration)
        can = duration / SERVICE_TIME * self.endpoint.slots
        return (self.served - served) / can


@pytest.mark.parametrize("seed", [1, 2, 3, 4, 5])
@pytest.mark.parametrize(
    ("count", "slots", "loss"),
    [
        (6, 6, 0.0),
        (74, 6, 0.0),
        (74, 6, 0.05),
        (195, 6, 0.0),
        (195, 6, 0.05),
        (30, 128, 0.0),
        (390, 6, 0.0),
    ],
)
def test_sum_is_within_the_room_and_uses_it(
    count: int, slots: int, loss: float, seed: int
) -> None:
    simulation = Simulation(count, slots=slots, loss=loss, seed=seed)
    simulation.run(CONTACT)
    share = simulation.used_share(6_000)
    assert share >= (USED_SHARE_WITH_LOSS if loss else USED_SHARE)
    assert simulation.max_in_flight <= slots
    assert simulation.max_rejections == 0


def test_sum_is_kept_when_an_issuer_dies() -> None:
    simulation = Simulation(74, slots=6, loss=0.0)
    simulation.run(CONTACT)
    simulation.replace_issuer()
    simulation.run(1_500)
    assert simulation.used_share(4_000) >= USED_SHARE
    assert simulation.max_in_flight <= 6
    assert simulation.max_rejections == 0


def test_endpoint_with_less_room_than_slots_stands() -> None:
    """Something else takes a part of the slots, which no instance knows."""
    simulation = Simulation(30, slots=6, loss=0.0)
    simulation.queue_room = -2
    simulation.run(CONTACT)
    simulation.max_rejections = 0
    simulation.run(10_000)
    assert simulation.max_rejections <= 4
