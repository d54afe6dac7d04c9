"""Versions that answer more slowly than their base, and versions that do not."""

from collections.abc import Callable, Iterator
from random import Random

import pytest

from fuchsiaroute.clock import ManualClock, Milliseconds
from fuchsiaroute.deployment import RolloutOrder
from fuchsiaroute.forwarding._speed_comparison import Speed, SpeedComparison
from fuchsiaroute.ids import ModelId, ServiceId, VersionId
from fuchsiaroute.linelog import LineLog
from fuchsiaroute.staging import Measure, Progress, RolloutRecord, RolloutTracker
from fuchsiaroute.staging._schedule import share_of_sessions

SERVICE = ServiceId("s")
OLD, NEW = VersionId("v1"), VersionId("v2")
DURATION = Milliseconds(15_000)
ORDER = RolloutOrder(service=SERVICE, target=NEW, duration=DURATION, revision=9)
CANARY_SHARE = 0.15
#: Time between two answers.
INTERVAL = Milliseconds(40)
#: Time for which base versions answer before the order.
BEFORE = Milliseconds(4_000)
#: Share of the base versions' streams whose gaps the prompts of others lengthen.
DISTURBED_SHARE = 0.15
#: Factor on the duration of an answer, by the time since the order.
Load = Callable[[int], float]


def steady(elapsed: int) -> float:
    return 1.0


def burst(elapsed: int) -> float:
    return 3.0 if elapsed > 6_000 else 1.0


def rising(elapsed: int) -> float:
    return 1.0 + 3.0 * max(elapsed, 0) / DURATION


class Rollout:
    """One instance during a roll-out."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.orders: dict[ServiceId, RolloutOrder] = {}
        self.tracker = RolloutTracker(
            orders=self.orders,
            store_now=self.clock.now,
            clock=self.clock,
            log=LineLog(clock=self.clock, instance="i", write=len),
            session_pause=Milliseconds(5_000),
            canary_share=CANARY_SHARE,
        )
        self.comparison = SpeedComparison(tracker=self.tracker, clock=self.clock)
        self.started_at = Milliseconds(0)

    @property
    def elapsed(self) -> Milliseconds:
        return Milliseconds(self.clock.now() - self.started_at)

    @property
    def is_suspended(self) -> bool:
        return self.tracker.is_suspended(SERVICE, ORDER.revision)

    def order(self) -> None:
        self.started_at = self.clock.now()
        self.orders[SERVICE] = ORDER
        self.tracker.apply_record(
            RolloutRecord(
                service=SERVICE,
                target=NEW,
                order=ORDER.revision,
                progress=Progress.RUNNING,
                started=self.started_at,
            ),
            source="test",
        )

    def answer(
        self,
        version: VersionId,
        measure: Measure,
        duration: float,
        *,
        route: str = "r",
        allowance: float = 1.0,
    ) -> None:
        self.comparison.record(
            Speed(
                service=SERVICE,
                version=version,
                route=route,
                model=ModelId("m"),
                measure=measure,
                duration=duration,
                allowance=allowance,
                age=Milliseconds(0),
            )
        )

    def versions(self, random: Random) -> Iterator[VersionId]:
        """Yield the version of each answer until the target is suspended or alone."""
        while self.elapsed < DURATION and not self.is_suspended:
            self.clock.tick(INTERVAL)
            share = share_of_sessions(self.elapsed, DURATION, canary_share=CANARY_SHARE)
            yield NEW if random.random() < share else OLD


def durations(random: Random, measure: Measure) -> float:
    """Return a duration as observed at the base versions."""
    if measure is Measure.START:
        return 100.0 * random.lognormvariate(0.0, 0.6)
    is_disturbed = random.random() < DISTURBED_SHARE
    return (60.0 if is_disturbed else 22.0) * random.lognormvariate(0.0, 0.1)


def play(
    seed: int,
    *,
    slow_by: dict[Measure, float],
    slow_share: float = 1.0,
    slow_routes: tuple[str, ...] = ("a", "b"),
    load: Load = steady,
    allowance: float = 1.0,
) -> Rollout:
    """Play a roll-out whose target is ``slow_by`` slower on some of its requests."""
    random = Random(seed)
    rollout = Rollout()
    while rollout.clock.now() < BEFORE:
        rollout.clock.tick(INTERVAL)
        for measure in (Measure.START, Measure.PACE):
            rollout.answer(
                OLD, measure, durations(random, measure), route=random.choice("ab")
            )
    rollout.order()
    for version in rollout.versions(random):
        route = random.choice("ab")
        is_slow = (
            version == NEW and route in slow_routes and random.random() < slow_share
        )
        for measure in (Measure.START, Measure.PACE):
            factor = slow_by.get(measure, 1.0) if is_slow else 1.0
            rollout.answer(
                version,
                measure,
                durations(random, measure) * factor * load(rollout.elapsed),
                route=route,
                allowance=allowance if measure is Measure.START else 1.0,
            )
    return rollout


@pytest.mark.parametrize(
    ("slow_by", "slow_share", "slow_routes", "load"),
    [
        # As observed: half of the requests take eight times the work, and all streams
        # of the batch are slowed down by them.
        ({Measure.START: 2.5, Measure.PACE: 4.0}, 1.0, ("a", "b"), steady),
        ({Measure.PACE: 4.0}, 1.0, ("a", "b"), steady),
        ({Measure.PACE: 3.0}, 1.0, ("a", "b"), steady),
        ({Measure.START: 8.0}, 0.5, ("a", "b"), steady),
        ({Measure.PACE: 4.0}, 1.0, ("a",), steady),
        ({Measure.PACE: 4.0}, 1.0, ("a", "b"), burst),
        ({Measure.PACE: 4.0}, 1.0, ("a", "b"), rising),
    ],
)
@pytest.mark.parametrize("seed", range(5))
def test_slow_version_is_suspended(
    slow_by: dict[Measure, float],
    slow_share: float,
    slow_routes: tuple[str, ...],
    load: Load,
    seed: int,
) -> None:
    """Guards against a version that is several times slower and kept."""
    rollout = play(
        seed,
        slow_by=slow_by,
        slow_share=slow_share,
        slow_routes=slow_routes,
        load=load,
    )
    assert rollout.is_suspended
    assert rollout.elapsed < 0.7 * DURATION


@pytest.mark.parametrize(
    ("slow_by", "allowance", "load"),
    [
        ({}, 1.0, steady),
        ({}, 1.0, burst),
        ({}, 1.0, rising),
        # No prompt of the target's version is cached at its endpoints yet.
        ({Measure.START: 1.8}, 1.8, steady),
        ({Measure.START: 5.0}, 5.0, burst),
        ({Measure.PACE: 0.8, Measure.START: 0.8}, 1.0, steady),
    ],
)
def test_good_versions_are_kept(
    slow_by: dict[Measure, float], allowance: float, load: Load
) -> None:
    """Guards against good versions that are rolled back without cause."""
    assert not any(
        play(seed, slow_by=slow_by, allowance=allowance, load=load).is_suspended
        for seed in range(50)
    )


def test_target_that_serves_alone_is_not_compared() -> None:
    """Guards against load in the last stage that is taken for a slow version."""
    rollout = Rollout()
    for _ in range(100):
        rollout.clock.tick(INTERVAL)
        rollout.answer(OLD, Measure.PACE, 20.0)
    rollout.order()
    rollout.clock.tick(Milliseconds(round(0.8 * DURATION)))
    for _ in range(10):
        rollout.answer(OLD, Measure.PACE, 20.0)
    for _ in range(200):
        rollout.answer(NEW, Measure.PACE, 200.0)
    assert not rollout.is_suspended


def test_answers_of_the_target_are_no_reference() -> None:
    """Guards against a slow version that raises the limit of what is slow."""
    rollout = Rollout()
    rollout.order()
    rollout.clock.tick(Milliseconds(2_000))
    for _ in range(100):
        rollout.answer(NEW, Measure.PACE, 200.0)
    for _ in range(60):
        rollout.answer(OLD, Measure.PACE, 20.0)
    for _ in range(10):
        rollout.answer(NEW, Measure.PACE, 200.0)
    assert rollout.is_suspended


def test_old_answers_are_no_reference() -> None:
    """Guards against a comparison with base versions under another load."""
    rollout = Rollout()
    for _ in range(60):
        rollout.answer(OLD, Measure.PACE, 20.0)
    rollout.clock.tick(Milliseconds(10_001))
    rollout.order()
    for _ in range(60):
        rollout.answer(NEW, Measure.PACE, 200.0)
    assert rollout.tracker.counts(ORDER).own() == {}


def test_slow_answer_belongs_to_the_stage_of_its_request() -> None:
    """Guards against evidence that a slow answer moves to the last stage."""
    rollout = Rollout()
    rollout.order()
    rollout.clock.tick(Milliseconds(round(0.71 * DURATION)))
    for _ in range(8):
        rollout.answer(OLD, Measure.START, 100.0)
    speed = Speed(
        service=SERVICE,
        version=NEW,
        route="r",
        model=ModelId("m"),
        measure=Measure.START,
        duration=900.0,
        age=Milliseconds(900),
    )
    rollout.comparison.record(speed)
    rollout.comparison.record_unanswered(speed)
    ((name, evidence),) = rollout.tracker.counts(ORDER).own().items()
    assert name == "r:start:2"
    assert (evidence.target_ratings, evidence.target_bad) == (2, 2)
