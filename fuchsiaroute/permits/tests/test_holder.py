"""Named rates and the permits that one instance holds."""

from dataclasses import replace

import pytest

from fuchsiaroute.clock import ManualClock, Milliseconds
from fuchsiaroute.deployment import Endpoint
from fuchsiaroute.permits import NamedRate, NamedRates, PermitHolder
from fuchsiaroute.pool.tests.test_pool import endpoint

ENDPOINT = endpoint("e")
NEW_PROCESS = replace(ENDPOINT, started_at=Milliseconds(ENDPOINT.started_at + 1))


class HolderHarness:
    def __init__(self, rate: float | None = 2.0) -> None:
        self.clock = ManualClock()
        self.rates = NamedRates(clock=self.clock)
        self.wanted: list[Endpoint] = []
        self.holder = PermitHolder(
            rates=self.rates, clock=self.clock, on_want=self.wanted.append
        )
        if rate is not None:
            self.rates.record(ENDPOINT, rate)

    def statement(self, rate: float | None, *, age: int, start: int = 0) -> NamedRate:
        return NamedRate(
            endpoint=ENDPOINT.id,
            started_at=ENDPOINT.started_at + start,
            rate=rate,
            at=Milliseconds(self.clock.now() - age),
        )


@pytest.mark.parametrize(
    ("rate", "asked", "is_allowed"),
    [(None, ENDPOINT, True), (2.0, ENDPOINT, False), (2.0, NEW_PROCESS, True)],
    ids=["no rate", "named", "named by the former process"],
)
def test_requests_need_a_permit_while_a_rate_is_named(
    rate: float | None, asked: Endpoint, is_allowed: bool
) -> None:
    assert HolderHarness(rate).holder.may_send(asked) is is_allowed


@pytest.mark.parametrize(
    ("age", "start", "expected"),
    [(10, 0, 2.0), (-10, 0, None), (10, -1, 2.0), (10, 1, None)],
    ids=["older", "newer", "former process", "next process"],
)
def test_latest_statement_counts(age: int, start: int, expected: float | None) -> None:
    harness = HolderHarness()
    harness.rates.apply(harness.statement(None, age=age, start=start))
    rate = harness.rates.rate_of(ENDPOINT.id, ENDPOINT.started_at)
    assert rate == expected


@pytest.mark.parametrize(("named", "is_new"), [(2.0, False), (1.0, True), (None, True)])
def test_only_a_changed_rate_is_new(named: float | None, is_new: bool) -> None:
    harness = HolderHarness()
    assert harness.rates.record(ENDPOINT, named) is is_new


def test_peers_are_told_of_an_ended_rate_for_a_while() -> None:
    harness = HolderHarness()
    harness.rates.record(ENDPOINT, None)
    assert [item.rate for item in harness.rates.statements()] == [None]
    harness.clock.tick(Milliseconds(11_000))
    harness.rates.forget(is_announced=lambda name: True)
    assert harness.rates.statements() == []


@pytest.mark.parametrize("is_announced", [False, True])
def test_rate_is_kept_while_the_endpoint_is_announced(is_announced: bool) -> None:
    harness = HolderHarness()
    harness.clock.tick(Milliseconds(60_000))
    harness.rates.forget(is_announced=lambda name: is_announced)
    assert harness.rates.has_rates is is_announced


def test_permit_is_used_once_and_for_a_second() -> None:
    harness = HolderHarness()
    harness.holder.receive(ENDPOINT.id)
    assert harness.holder.may_send(ENDPOINT)
    assert harness.holder.take(ENDPOINT) is not None
    assert not harness.holder.may_send(ENDPOINT)
    harness.holder.receive(ENDPOINT.id)
    harness.clock.tick(Milliseconds(1_000))
    assert not harness.holder.may_send(ENDPOINT)


def test_permit_of_a_request_that_was_not_sent_is_kept() -> None:
    harness = HolderHarness()
    harness.holder.receive(ENDPOINT.id)
    expiry = harness.holder.take(ENDPOINT)
    assert expiry is not None
    harness.holder.give_back(ENDPOINT, expiry)
    assert harness.holder.may_send(ENDPOINT)


def test_permits_are_requested_now_and_then_until_one_arrives() -> None:
    harness = HolderHarness()
    for _ in range(20):
        harness.holder.want(ENDPOINT)
        harness.clock.tick(Milliseconds(20))
    assert len(harness.wanted) == 2
    harness.holder.receive(ENDPOINT.id)
    harness.holder.want(ENDPOINT)
    assert len(harness.wanted) == 3


def test_request_is_repeated_less_often_once_it_is_queued() -> None:
    harness = HolderHarness()
    harness.holder.want(ENDPOINT)
    harness.holder.expect(ENDPOINT.id, Milliseconds(3_000), sharers=3)
    for _ in range(50):
        harness.holder.want(ENDPOINT)
        harness.clock.tick(Milliseconds(20))
    assert len(harness.wanted) == 2


@pytest.mark.parametrize(
    ("rate", "wants", "expected"), [(2.0, 30, 1), (50.0, 30, 10), (50.0, 4, 4)]
)
def test_no_more_permits_are_requested_than_can_be_used(
    rate: float, wants: int, expected: int
) -> None:
    harness = HolderHarness(rate)
    for _ in range(wants):
        harness.holder.want(ENDPOINT)
    assert harness.holder.take_wanted(ENDPOINT) == expected


@pytest.mark.parametrize(("ahead", "expected"), [(0, 400), (1, 1_900), (2, 3_400)])
def test_expected_wait_counts_the_instances_that_share(
    ahead: int, expected: int
) -> None:
    harness = HolderHarness()
    harness.holder.expect(ENDPOINT.id, Milliseconds(400), sharers=3)
    assert harness.holder.expected_wait([ENDPOINT], ahead) == expected
