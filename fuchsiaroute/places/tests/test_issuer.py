"""Places at one endpoint over all instances: their sum, turns, loss and take-over."""

from dataclasses import dataclass

import pytest

from fuchsiaroute.clock import ManualClock, Milliseconds
from fuchsiaroute.ids import EndpointId, InstanceId
from fuchsiaroute.places import Allowance, BrittleEndpoint, Holding, PlaceIssuer
from fuchsiaroute.places._issuer import LEASE_TIME, SILENT_TIME, TAKEOVER_TIME

ENDPOINT = EndpointId("e")
A, B, C = (InstanceId(name) for name in "abc")


@dataclass
class Reporter:
    """What one instance knows and reports."""

    used: int = 0
    allowed: int = 0
    term: int = 0
    number: int = 0
    rejected: int = 0
    sequence: int = 0


class IssuerHarness:
    def __init__(self, *, slots: int = 2, tolerance: float = 4.0) -> None:
        self.clock = ManualClock()
        self.clock.tick(Milliseconds(5))
        self.issuer = PlaceIssuer(clock=self.clock)
        self.reporters = {name: Reporter() for name in (A, B, C)}
        self.dead: set[InstanceId] = set()
        self.own(slots, tolerance=tolerance)

    def own(self, slots: int, *, tolerance: float = 4.0, started_at: int = 1) -> None:
        self.issuer.own([BrittleEndpoint(ENDPOINT, started_at, slots, tolerance)])

    def report(
        self, name: InstanceId, *, is_wanted: bool = False, is_received: bool = True
    ) -> None:
        reporter = self.reporters[name]
        reporter.sequence += 1
        allowances = self.issuer.report(
            name,
            Holding(
                endpoint=ENDPOINT,
                started_at=1,
                sequence=reporter.sequence,
                used=reporter.used,
                held=max(reporter.used, reporter.allowed),
                is_wanted=is_wanted,
                rejected=reporter.rejected,
                term=reporter.term,
                number=reporter.number,
            ),
        )
        if is_received:
            self.receive(allowances)

    def receive(self, allowances: list[Allowance]) -> None:
        for item in allowances:
            if item.instance in self.dead:
                continue
            reporter = self.reporters[item.instance]
            reporter.allowed = item.allowed
            reporter.term, reporter.number = item.term, item.number

    def tick(self, duration: int) -> None:
        """Let time pass; instances that hold places report them."""
        for _ in range(duration // 100):
            self.clock.tick(Milliseconds(100))
            for name, reporter in self.reporters.items():
                if reporter.used or reporter.allowed:
                    self.report(name)
            self.receive(self.issuer.refresh())

    def allowed(self) -> tuple[int, ...]:
        return tuple(item.allowed for item in self.reporters.values())


def test_nothing_is_granted_until_all_have_reported() -> None:
    harness = IssuerHarness()
    harness.report(A, is_wanted=True)
    harness.tick(TAKEOVER_TIME - 100)
    harness.report(A, is_wanted=True)
    assert harness.allowed() == (0, 0, 0)
    harness.tick(100)
    assert harness.allowed() == (1, 0, 0)


def test_what_instances_hold_at_first_is_lowered_to_the_room() -> None:
    harness = IssuerHarness()
    for reporter in harness.reporters.values():
        reporter.used = reporter.allowed = 3
    for name in harness.reporters:
        harness.report(name)
    assert sum(harness.allowed()) == 2


def test_place_counts_until_it_is_reported_free() -> None:
    harness = IssuerHarness()
    harness.tick(TAKEOVER_TIME)
    for name in (A, B):
        harness.report(name, is_wanted=True)
        harness.reporters[name].used = 1
    harness.report(C, is_wanted=True)
    assert harness.allowed() == (1, 1, 0)
    harness.reporters[A].used = harness.reporters[A].allowed = 0
    harness.report(A)
    assert harness.allowed() == (0, 1, 1)


def test_grant_that_may_have_arrived_counts() -> None:
    harness = IssuerHarness(slots=1)
    harness.tick(TAKEOVER_TIME)
    harness.report(A, is_wanted=True, is_received=False)
    harness.report(B, is_wanted=True)
    # Reports what it held before the grant.
    harness.report(A, is_received=False)
    harness.report(B, is_wanted=True)
    assert harness.allowed() == (0, 0, 0)


def test_late_report_is_ignored() -> None:
    harness = IssuerHarness(slots=1)
    harness.tick(TAKEOVER_TIME)
    harness.report(A, is_wanted=True)
    harness.reporters[A].used = 1
    harness.report(A)
    harness.reporters[A].sequence -= 2
    harness.reporters[A].used = harness.reporters[A].allowed = 0
    harness.report(A)
    harness.report(B, is_wanted=True)
    assert harness.reporters[B].allowed == 0


def test_places_of_an_instance_that_is_silent_are_free() -> None:
    harness = IssuerHarness(slots=1)
    harness.tick(TAKEOVER_TIME)
    harness.report(A, is_wanted=True)
    harness.reporters[A] = Reporter()
    harness.dead.add(A)
    harness.tick(SILENT_TIME)
    harness.report(B, is_wanted=True)
    assert harness.allowed() == (0, 0, 0)
    harness.tick(200)
    harness.report(B, is_wanted=True)
    assert harness.allowed() == (0, 1, 0)


def test_place_moves_to_an_instance_that_has_fewer() -> None:
    harness = IssuerHarness(slots=2)
    harness.tick(TAKEOVER_TIME)
    for _ in range(2):
        harness.report(A, is_wanted=True)
        harness.reporters[A].used += 1
    harness.report(B, is_wanted=True)
    assert harness.allowed() == (1, 0, 0)
    harness.reporters[A].used = 1
    harness.report(A)
    assert harness.allowed() == (1, 1, 0)
    harness.reporters[B].used = 1
    harness.report(C, is_wanted=True)
    assert harness.allowed() == (1, 1, 0)
    harness.tick(LEASE_TIME)
    harness.report(C, is_wanted=True)
    assert sum(harness.allowed()) == 1


@pytest.mark.parametrize(
    ("rejected", "tolerance", "limits"),
    [
        # Limits after the rejections, 1 s, 2 s and 5 s later.
        (1, 4.0, (7, 7, 8, 8)),
        (3, 8.0, (5, 5, 6, 8)),
        (3, 4.0, (5, 5, 6, 8)),
        (2, 2.0, (6, 6, 7, 8)),
        (20, 4.0, (1, 1, 2, 4)),
    ],
)
def test_rejections_lower_the_room_for_a_while(
    rejected: int, tolerance: float, limits: tuple[int, ...]
) -> None:
    harness = IssuerHarness(slots=8, tolerance=tolerance)
    harness.report(A)
    harness.reporters[A].rejected = rejected
    harness.report(A)
    seen = []
    for duration in (0, 1_000, 1_000, 3_000):
        harness.tick(duration)
        seen.append(harness.issuer.limit(ENDPOINT))
    assert tuple(seen) == limits


def test_nothing_is_granted_shortly_after_half_of_the_tolerated_rejections() -> None:
    harness = IssuerHarness(slots=8, tolerance=4.0)
    harness.tick(TAKEOVER_TIME)
    harness.report(A)
    harness.reporters[A].rejected = 2
    harness.report(A)
    harness.report(B, is_wanted=True)
    assert harness.allowed() == (0, 0, 0)
    harness.tick(1_100)
    harness.report(B, is_wanted=True)
    assert harness.allowed() == (0, 1, 0)


def test_new_process_starts_without_places() -> None:
    harness = IssuerHarness()
    harness.tick(TAKEOVER_TIME)
    harness.own(2, started_at=2)
    harness.report(A, is_wanted=True)
    assert harness.allowed() == (0, 0, 0)
