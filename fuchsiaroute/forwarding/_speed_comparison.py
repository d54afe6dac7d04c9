"""Comparison of the speed of a roll-out's target with that of its base versions."""

from collections import deque
from dataclasses import dataclass
from statistics import median
from typing import NamedTuple

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.ids import ModelId, ServiceId, VersionId
from fuchsiaroute.staging import Measure, RolloutTracker, speed_class

#: Time for which an answer of a base version serves as a reference: the load changes,
#: and both sides have to be compared under the same one.
REFERENCE_PERIOD = Milliseconds(10_000)
#: Most recent answers of base versions that are kept for each kind of request.
MAX_REFERENCES = 64
#: Answers of base versions required for a comparison.
MIN_REFERENCES = 8
#: Factor on the median of the base versions above which an answer counts as slow.
SLOW_FACTOR = 2.25
#: Excess over the median below which an answer is not slow: scheduling of processes
#: and the resolution of the clock cause differences of this size.
MIN_EXCESS = {Measure.START: Milliseconds(30), Measure.PACE: Milliseconds(5)}
#: Route name of the references of a model over all routes.
ALL_ROUTES = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class Speed:
    """A duration that was observed at an endpoint."""

    service: ServiceId
    version: VersionId
    route: str
    #: None if the route does not choose one.
    model: ModelId | None
    measure: Measure
    #: In milliseconds.
    duration: float
    #: Size of the work; makes the durations of short and long prompts comparable.
    size: float = 1.0
    #: Factor by which a target may be slower for a known reason.
    allowance: float = 1.0
    #: Time since the request was sent.
    age: Milliseconds


class _ReferenceKey(NamedTuple):
    service: ServiceId
    route: str
    model: ModelId | None
    measure: Measure


class _References:
    """Recent durations per size of the base versions, for one kind of request."""

    def __init__(self) -> None:
        self._values: deque[tuple[Milliseconds, float]] = deque(maxlen=MAX_REFERENCES)

    def add(self, now: Milliseconds, value: float) -> None:
        self._values.append((now, value))

    def median(self, now: Milliseconds) -> float | None:
        """Return the median; None if too few answers are recent."""
        values = self._values
        while values and now - values[0][0] > REFERENCE_PERIOD:
            values.popleft()
        if len(values) < MIN_REFERENCES:
            return None
        return median(value for _, value in values)


class SpeedComparison:
    """
    Counts slow answers of target and base versions as evidence on a roll-out.

    An answer is slow if it takes a multiple of the median of the base versions' recent
    answers. Answers of the target are not part of that median: a slow target would
    otherwise be compared with itself. The limit for the target is never below the one
    for its base versions, so if it is as fast as they are, its answers are slow no more
    often than theirs, which is the null hypothesis of the sequential test.
    """

    def __init__(self, *, tracker: RolloutTracker, clock: Clock) -> None:
        self._tracker = tracker
        self._clock = clock
        self._references: dict[_ReferenceKey, _References] = {}

    def record(self, speed: Speed) -> None:
        """Count an answer, and use it as a reference if a base version gave it."""
        is_base = self._tracker.is_base(speed.service, speed.version)
        stage = self._tracker.comparable_stage(speed.service, age=speed.age)
        reference = self._reference(speed) if stage is not None else None
        if stage is not None and reference is not None:
            is_slow = _is_slow(speed, reference, is_base=is_base)
            self._count(speed, stage=stage, is_slow=is_slow)
        if is_base:
            self._add_reference(speed)

    def record_unanswered(self, speed: Speed) -> None:
        """Count an attempt that was given up without a response as slow."""
        stage = self._tracker.comparable_stage(speed.service, age=speed.age)
        if stage is not None:
            self._count(speed, stage=stage, is_slow=True)

    def _count(self, speed: Speed, *, stage: int, is_slow: bool) -> None:
        self._tracker.record_answer(
            speed.service,
            speed.version,
            speed_class(speed.route, speed.measure, stage=stage),
            is_bad=is_slow,
        )

    def _reference(self, speed: Speed) -> float | None:
        """Return the duration per size to compare with; None if there is none."""
        now = self._clock.now()
        for key in _keys(speed):
            references = self._references.get(key)
            found = references.median(now) if references is not None else None
            if found is not None:
                return found
        return None

    def _add_reference(self, speed: Speed) -> None:
        now = self._clock.now()
        for key in _keys(speed):
            references = self._references.get(key)
            if references is None:
                references = self._references[key] = _References()
            references.add(now, speed.duration / speed.size)


def _is_slow(speed: Speed, reference: float, *, is_base: bool) -> bool:
    expected = reference * speed.size
    factor = SLOW_FACTOR if is_base else SLOW_FACTOR * max(speed.allowance, 1.0)
    return speed.duration > max(factor * expected, expected + MIN_EXCESS[speed.measure])


def _keys(speed: Speed) -> tuple[_ReferenceKey, ...]:
    """Return the kinds of request whose references apply, the closest one first."""
    own = _ReferenceKey(speed.service, speed.route, speed.model, speed.measure)
    if speed.model is None:
        # Plain services do different work on each route.
        return (own,)
    return own, own._replace(route=ALL_ROUTES)
