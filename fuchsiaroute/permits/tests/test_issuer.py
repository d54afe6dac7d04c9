"""Permits of one endpoint over all instances: their number, order and waiting times."""

import pytest

from fuchsiaroute.clock import ManualClock, Milliseconds
from fuchsiaroute.ids import EndpointId, InstanceId
from fuchsiaroute.permits import NamedRate, PermitIssuer, QueueState

ENDPOINT = EndpointId("e")
STEP = Milliseconds(50)
A, B, C = (InstanceId(name) for name in "abc")


class IssuerHarness:
    """An issuer of one endpoint, and instances that repeat their requests."""

    def __init__(self, rate: float = 2.0) -> None:
        self.clock = ManualClock()
        self.rate: float | None = rate
        self.issuer = PermitIssuer(
            rate_of=lambda endpoint, started_at: self.rate, clock=self.clock
        )
        self.issued: list[InstanceId] = []
        self.own()

    def own(self, started_at: int = 1) -> None:
        self.issuer.own(
            [
                NamedRate(
                    endpoint=ENDPOINT,
                    started_at=started_at,
                    rate=self.rate,
                    at=self.clock.now(),
                )
            ]
        )

    def run(self, duration: int, *instances: InstanceId, count: int = 1) -> None:
        for _ in range(duration // STEP):
            for instance in instances:
                self.issuer.request(ENDPOINT, instance, count)
            self.issued += [grant.instance for grant in self.issuer.issue()]
            self.clock.tick(STEP)


@pytest.mark.parametrize("rate", [0.5, 2.0, 7.0])
@pytest.mark.parametrize("instances", [(A,), (A, B, C)])
def test_all_of_the_rate_and_no_more_is_issued(
    rate: float, instances: tuple[InstanceId, ...]
) -> None:
    harness = IssuerHarness(rate)
    harness.run(10_000, *instances, count=3)
    assert rate * 10 - 1 <= len(harness.issued) <= rate * 10


def test_instances_get_permits_in_turns() -> None:
    harness = IssuerHarness()
    harness.run(6_000, A, B, C, count=5)
    counts = [harness.issued.count(instance) for instance in (A, B, C)]
    assert max(counts) - min(counts) <= 1


def test_few_permits_are_kept_for_later() -> None:
    harness = IssuerHarness()
    harness.run(20_000)
    harness.run(50, A, count=10)
    assert len(harness.issued) == 2


@pytest.mark.parametrize("is_new_process", [False, True])
def test_bucket_is_empty_at_first(is_new_process: bool) -> None:
    """Another instance, or the former process, may just have used the rate."""
    harness = IssuerHarness()
    harness.run(5_000)
    if is_new_process:
        harness.own(started_at=2)
    else:
        harness.issuer.own([])
        assert not harness.issuer.request(ENDPOINT, A, 1)
        harness.own()
    harness.run(450, A)
    assert harness.issued == []
    harness.run(150, A)
    assert harness.issued == [A]


def test_request_that_is_not_repeated_lapses() -> None:
    harness = IssuerHarness(rate=0.5)
    harness.issuer.request(ENDPOINT, A, 1)
    harness.run(3_000)
    assert harness.issued == []
    assert harness.issuer.next_issue_at() is None


def test_nothing_is_issued_once_the_rate_has_ended() -> None:
    harness = IssuerHarness()
    harness.rate = None
    harness.run(5_000, A)
    assert harness.issued == []


def test_waiting_time_and_number_of_sharers() -> None:
    harness = IssuerHarness()
    start = harness.clock.now()
    for instance in (A, B, C):
        harness.issuer.request(ENDPOINT, instance, 1)
    assert harness.issuer.queue_state(ENDPOINT, A) == QueueState(wait=500, sharers=3)  # type: ignore[arg-type]
    assert harness.issuer.queue_state(ENDPOINT, C) == QueueState(wait=1_500, sharers=3)  # type: ignore[arg-type]
    assert harness.issuer.next_issue_at() == start + 500
    assert harness.issuer.queue_state(ENDPOINT, InstanceId("other")) is None
