"""False-alarm rate and detection of a quality drop by the sequential test."""

from dataclasses import replace
from random import Random

import pytest

from fuchsiaroute.ids import RequestClass, RolloutId, VersionId
from fuchsiaroute.sequential import Evidence, SequentialTest, Trial

BASE, TARGET = VersionId("v1"), VersionId("v2")
QUESTION, REVIEW = RequestClass("question"), RequestClass("review")


def ratings_until_bad(random, *, bad_base, bad_target, share, limit):
    """Return the number of target ratings at the alarm, or None without an alarm."""
    test = SequentialTest()
    counts = [0, 0, 0, 0]
    while counts[0] < limit:
        is_target = random.random() < share
        is_bad = random.random() < (bad_target if is_target else bad_base)
        counts[0 if is_target else 2] += 1
        counts[1 if is_target else 3] += is_bad
        if not is_bad:
            continue
        evidence = Evidence(
            target_ratings=counts[0],
            target_bad=counts[1],
            base_ratings=counts[2],
            base_bad=counts[3],
        )
        if test.evaluate(make_trial({QUESTION: evidence})).is_bad:
            return counts[0]
    return None


def make_trial(classes):
    return Trial(rollout=RolloutId("r"), base=BASE, target=TARGET, classes=classes)


@pytest.mark.parametrize("share", [0.05, 0.5])
@pytest.mark.parametrize("bad", [0.03, 0.12])
def test_false_alarm_rate_stays_within_its_bound(share, bad):
    alarms = 0
    for seed in range(100):
        random = Random(seed)
        found = ratings_until_bad(
            random, bad_base=bad, bad_target=bad, share=share, limit=300
        )
        alarms += found is not None
    # At a rate of 1%, more than 4 alarms in 100 runs have a probability below 0.4%.
    assert alarms <= 4


@pytest.mark.parametrize(("drop", "limit"), [(0.05, 1_500), (0.10, 500), (0.30, 100)])
def test_detects_a_quality_drop_within_the_limit(drop, limit):
    # The limits are about five times the number of ratings that the best test needs on
    # average. For the drop of 0.30 (30 percentage points) it needs seven.
    for seed in range(10):
        assert ratings_until_bad(
            Random(seed), bad_base=0.07, bad_target=0.07 + drop, share=0.05, limit=limit
        )


def test_drop_of_both_versions_raises_no_alarm():
    evidence = Evidence(
        target_ratings=500, target_bad=200, base_ratings=500, base_bad=200
    )
    assert not SequentialTest().evaluate(make_trial({QUESTION: evidence})).is_bad


def test_different_mix_of_classes_raises_no_alarm():
    # The target serves mostly the hard class; pooled over the classes, its rate of bad
    # answers looks about three times as high.
    classes = {
        QUESTION: Evidence(
            target_ratings=100, target_bad=5, base_ratings=900, base_bad=45
        ),
        REVIEW: Evidence(
            target_ratings=900, target_bad=180, base_ratings=100, base_bad=20
        ),
    }
    assert not SequentialTest().evaluate(make_trial(classes)).is_bad


def test_class_that_gets_harder_with_the_share_raises_no_alarm():
    # Pooled over the stages, 113 of 1,000 ratings of the target are bad, against 107 of
    # 2,000 of the base, although both versions are equal in each stage.
    first = Evidence(target_ratings=100, target_bad=5, base_ratings=1_900, base_bad=95)
    second = Evidence(target_ratings=900, target_bad=108, base_ratings=100, base_bad=12)
    pooled = Evidence(
        target_ratings=1_000, target_bad=113, base_ratings=2_000, base_bad=107
    )
    assert SequentialTest().evaluate(make_trial({QUESTION: pooled})).is_bad
    trial = replace(
        make_trial({QUESTION: first}).in_stage(1), classes={QUESTION: second}
    )
    outcome = SequentialTest().evaluate(trial)
    assert (outcome.is_bad, outcome.target_ratings) == (False, 1_000)


def test_evidence_of_past_stages_is_kept():
    bad = Evidence(target_ratings=100, target_bad=30, base_ratings=900, base_bad=63)
    trial = make_trial({QUESTION: bad})
    before = SequentialTest().evaluate(trial)
    assert before.is_bad
    assert SequentialTest().evaluate(trial.in_stage(1)) == before


@pytest.mark.parametrize("classes", [{}, {QUESTION: Evidence()}])
def test_trial_without_ratings_is_inconclusive(classes):
    outcome = SequentialTest().evaluate(make_trial(classes))
    assert (outcome.is_bad, outcome.target_ratings) == (False, 0)
    assert outcome.log_evidence == pytest.approx(0.0)


@pytest.mark.parametrize("rate", [0.0, 1.0, -0.5])
def test_rejects_a_false_alarm_rate_outside_0_and_1(rate):
    with pytest.raises(ValueError, match="false-alarm"):
        SequentialTest(false_alarm_rate=rate)
