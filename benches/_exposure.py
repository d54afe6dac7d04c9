"""Requests sent to a bad version: the sequential test against fixed windows."""

from collections.abc import Callable
from dataclasses import dataclass, replace

import numpy as np
from numpy.typing import NDArray

from fuchsiaroute.ids import RequestClass, RolloutId, VersionId
from fuchsiaroute.sequential import Evidence, SequentialTest, Trial

#: Share of answers that are rated, and share of requests sent to the target.
RATED_SHARE = 0.05
TARGET_SHARE = 0.05
#: Target's share of requests by stage, and factor on the rate of bad answers.
STAGES = (0.01, 0.05, 0.25, 0.5)
STAGE_BAD_FACTORS = (1.0, 1.2, 1.4, 1.6)
#: Requests to the target until a good roll-out is complete.
ROLLOUT_REQUESTS = 40_000
ROLLOUT_RATINGS = int(ROLLOUT_REQUESTS * RATED_SHARE)
#: Delay of a rating, as a number of requests to the target.
RATING_DELAY_REQUESTS = 200
#: Share of ratings that are wrong.
FLIPPED_SHARE = 0.02
#: The baseline stops when a window's share of bad ratings exceeds the base's by this.
WINDOW_THRESHOLD = 0.05
WINDOW_SIZES = range(50, 1_001, 50)
GOOD_ROLLOUTS = 1_000
BAD_ROLLOUTS = 300
FALSE_ALARM_TARGET = 0.01

Counts = NDArray[np.int64]
Rule = Callable[["Stream"], int]


@dataclass(frozen=True)
class Stream:
    """Cumulative counts at each rating of the target version."""

    target_bad: Counts
    base_ratings: Counts
    base_bad: Counts
    #: Index of the roll-out stage.
    stage: Counts


def draw_stream(
    generator: np.random.Generator, *, base_bad: float, target_bad: float
) -> Stream:
    """Return simulated ratings of one roll-out."""
    base_rated_bad = base_bad * (1 - FLIPPED_SHARE) + (1 - base_bad) * FLIPPED_SHARE
    target_rated_bad = (
        target_bad * (1 - FLIPPED_SHARE) + (1 - target_bad) * FLIPPED_SHARE
    )
    # Ratings of the base that arrive between two ratings of the target.
    base_ratings_between = generator.geometric(TARGET_SHARE, ROLLOUT_RATINGS) - 1
    return Stream(
        target_bad=np.cumsum(generator.random(ROLLOUT_RATINGS) < target_rated_bad),
        base_ratings=np.cumsum(base_ratings_between),
        base_bad=np.cumsum(generator.binomial(base_ratings_between, base_rated_bad)),
        stage=np.zeros(ROLLOUT_RATINGS, dtype=np.int64),
    )


def draw_staged_stream(generator: np.random.Generator, *, bad: float) -> Stream:
    """
    Return simulated ratings of a good roll-out in stages.

    Base and target have the same rate of bad answers, which increases with each stage.
    The target's share of requests varies, although the test assumes it is constant.
    """
    stage = np.arange(ROLLOUT_RATINGS) * len(STAGES) // ROLLOUT_RATINGS
    rates = bad * np.array(STAGE_BAD_FACTORS)[stage]
    base_ratings_between = generator.geometric(np.array(STAGES)[stage]) - 1
    return Stream(
        target_bad=np.cumsum(generator.random(ROLLOUT_RATINGS) < rates),
        base_ratings=np.cumsum(base_ratings_between),
        base_bad=np.cumsum(generator.binomial(base_ratings_between, rates)),
        stage=stage,
    )


def staged_false_alarms(rule: Rule, *, bad: float, seed: int) -> int:
    """Return how many good staged roll-outs ``rule`` stops."""
    generator = np.random.default_rng(seed)
    return sum(
        rule(draw_staged_stream(generator, bad=bad)) > 0 for _ in range(GOOD_ROLLOUTS)
    )


def sequential_rule(stream: Stream) -> int:
    """Return the number of target ratings after which the test stops; 0 for never."""
    test = SequentialTest()
    trial = Trial(
        rollout=RolloutId("r"), base=VersionId("base"), target=VersionId("target")
    )
    counted = Evidence()
    bad_before = 0
    for index in range(ROLLOUT_RATINGS):
        stage = int(stream.stage[index])
        if stage != trial.stage:
            trial = trial.in_stage(stage)
            counted = _counts(stream, index - 1)
        bad = int(stream.target_bad[index])
        if bad == bad_before:
            continue
        bad_before = bad
        evidence = _difference(_counts(stream, index), counted)
        trial = replace(trial, classes={RequestClass("c"): evidence})
        if test.evaluate(trial).is_bad:
            return index + 1
    return 0


def _counts(stream: Stream, index: int) -> Evidence:
    return Evidence(
        target_ratings=index + 1,
        target_bad=int(stream.target_bad[index]),
        base_ratings=int(stream.base_ratings[index]),
        base_bad=int(stream.base_bad[index]),
    )


def _difference(later: Evidence, earlier: Evidence) -> Evidence:
    return Evidence(
        target_ratings=later.target_ratings - earlier.target_ratings,
        target_bad=later.target_bad - earlier.target_bad,
        base_ratings=later.base_ratings - earlier.base_ratings,
        base_bad=later.base_bad - earlier.base_bad,
    )


def window_rule(size: int) -> Rule:
    """Return the baseline: windows of ``size`` ratings and a fixed threshold."""

    def rule(stream: Stream) -> int:
        before = 0
        for end in range(size, ROLLOUT_RATINGS + 1, size):
            bad = int(stream.target_bad[end - 1])
            base = stream.base_bad[end - 1] / max(1, stream.base_ratings[end - 1])
            if (bad - before) / size > base + WINDOW_THRESHOLD:
                return end
            before = bad
        return 0

    return rule


def false_alarms(rule: Rule, *, bad: float, seed: int) -> int:
    """Return how many of ``GOOD_ROLLOUTS`` good roll-outs ``rule`` stops."""
    generator = np.random.default_rng(seed)
    return sum(
        rule(draw_stream(generator, base_bad=bad, target_bad=bad)) > 0
        for _ in range(GOOD_ROLLOUTS)
    )


def mean_exposure(rule: Rule, *, bad: float, drop: float, seed: int) -> float:
    """Return the mean number of requests to a bad version until ``rule`` stops it."""
    generator = np.random.default_rng(seed)
    exposures: list[float] = []
    for _ in range(BAD_ROLLOUTS):
        stream = draw_stream(generator, base_bad=bad, target_bad=bad + drop)
        stopped = rule(stream)
        requests = stopped / RATED_SHARE + RATING_DELAY_REQUESTS
        exposures.append(requests if stopped else ROLLOUT_REQUESTS)
    return float(np.mean(exposures))


def calibrated_window(*, bad: float, seed: int) -> int:
    """Return the smallest window whose false alarms meet ``FALSE_ALARM_TARGET``."""
    limit = GOOD_ROLLOUTS * FALSE_ALARM_TARGET
    for size in WINDOW_SIZES:
        if false_alarms(window_rule(size), bad=bad, seed=seed) <= limit:
            return size
    return WINDOW_SIZES[-1]
