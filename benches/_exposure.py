"""Exposure to a bad version: the sequential test against fixed windows."""

from collections.abc import Callable
from dataclasses import dataclass

import numpy as np
from numpy.typing import NDArray

from fuchsiaroute.ids import RequestClass, RolloutId, VersionId
from fuchsiaroute.quality import Evidence, SequentialTest, Trial

#: Share of answers that are rated, and of requests on the target.
RATED_SHARE = 0.05
TARGET_SHARE = 0.05
#: Requests on the target before a good roll-out is complete.
ROLLOUT_REQUESTS = 40_000
ROLLOUT_RATINGS = int(ROLLOUT_REQUESTS * RATED_SHARE)
#: Requests on the target between an answer and its rating.
DELAY_REQUESTS = 200
#: Share of ratings that say the opposite of the truth.
NOISE = 0.02
#: The baseline pauses when a window of ratings falls this far below the base.
WINDOW_POINTS = 0.05
WINDOW_SIZES = range(50, 1_001, 50)
GOOD_ROLLOUTS = 1_000
BAD_ROLLOUTS = 300
FALSE_ALARM_TARGET = 0.01

Counts = NDArray[np.int64]
Rule = Callable[["Stream"], int]


@dataclass(frozen=True)
class Stream:
    """Cumulative counts at each rating of the target."""

    target_bad: Counts
    base_ratings: Counts
    base_bad: Counts


def draw_stream(
    generator: np.random.Generator, *, base_bad: float, target_bad: float
) -> Stream:
    """Return the ratings of one roll-out."""
    base_seen = base_bad * (1 - NOISE) + (1 - base_bad) * NOISE
    target_seen = target_bad * (1 - NOISE) + (1 - target_bad) * NOISE
    # Ratings of the base that arrive between two ratings of the target.
    between = generator.geometric(TARGET_SHARE, ROLLOUT_RATINGS) - 1
    return Stream(
        target_bad=np.cumsum(generator.random(ROLLOUT_RATINGS) < target_seen),
        base_ratings=np.cumsum(between),
        base_bad=np.cumsum(generator.binomial(between, base_seen)),
    )


def sequential_rule(stream: Stream) -> int:
    """Return the rating of the target at which the project's test stops; 0 never."""
    test = SequentialTest()
    bad_before = 0
    for index in range(ROLLOUT_RATINGS):
        bad = int(stream.target_bad[index])
        if bad == bad_before:
            continue
        bad_before = bad
        evidence = Evidence(
            target_ratings=index + 1,
            target_bad=bad,
            base_ratings=int(stream.base_ratings[index]),
            base_bad=int(stream.base_bad[index]),
        )
        trial = Trial(
            rollout=RolloutId("r"),
            base=VersionId("base"),
            target=VersionId("target"),
            classes={RequestClass("c"): evidence},
        )
        if test.evaluate(trial).is_bad:
            return index + 1
    return 0


def window_rule(size: int) -> Rule:
    """Return the baseline: windows of ``size`` ratings and a fixed threshold."""

    def rule(stream: Stream) -> int:
        before = 0
        for end in range(size, ROLLOUT_RATINGS + 1, size):
            bad = int(stream.target_bad[end - 1])
            base = stream.base_bad[end - 1] / max(1, stream.base_ratings[end - 1])
            if (bad - before) / size > base + WINDOW_POINTS:
                return end
            before = bad
        return 0

    return rule


def false_alarms(rule: Rule, *, bad: float, seed: int) -> int:
    """Return how many of the good roll-outs ``rule`` stops."""
    generator = np.random.default_rng(seed)
    return sum(
        rule(draw_stream(generator, base_bad=bad, target_bad=bad)) > 0
        for _ in range(GOOD_ROLLOUTS)
    )


def mean_exposure(rule: Rule, *, bad: float, drop: float, seed: int) -> float:
    """Return the requests on the bad version before ``rule`` stops it, on average."""
    generator = np.random.default_rng(seed)
    exposures: list[float] = []
    for _ in range(BAD_ROLLOUTS):
        stream = draw_stream(generator, base_bad=bad, target_bad=bad + drop)
        stopped = rule(stream)
        requests = stopped / RATED_SHARE + DELAY_REQUESTS
        exposures.append(requests if stopped else ROLLOUT_REQUESTS)
    return float(np.mean(exposures))


def calibrated_window(*, bad: float, seed: int) -> int:
    """Return the smallest window that keeps the baseline's false alarms in bounds."""
    limit = GOOD_ROLLOUTS * FALSE_ALARM_TARGET
    for size in WINDOW_SIZES:
        if false_alarms(window_rule(size), bad=bad, seed=seed) <= limit:
            return size
    return WINDOW_SIZES[-1]
