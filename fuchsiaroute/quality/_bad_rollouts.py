"""Finds running roll-outs whose target the ratings show to be worse than its base."""

from dataclasses import dataclass

from fuchsiaroute.configuration import Configuration, Rollout, RolloutState
from fuchsiaroute.quality._table import QualityTable
from fuchsiaroute.sequential import SequentialTest, TestOutcome


@dataclass(frozen=True, kw_only=True)
class BadRollout:
    """A roll-out whose target is worse than its base."""

    rollout: Rollout
    outcome: TestOutcome


def bad_rollouts(
    table: QualityTable, configuration: Configuration, test: SequentialTest
) -> tuple[BadRollout, ...]:
    """Return the running roll-outs whose current attempt fails ``test``."""
    found: list[BadRollout] = []
    for rollout in configuration.rollouts:
        trial = table.trials.get(rollout.id)
        if rollout.state is not RolloutState.RUNNING or trial is None:
            continue
        if trial.attempt != rollout.attempt:
            continue
        outcome = test.evaluate(trial)
        if outcome.is_bad:
            found.append(BadRollout(rollout=rollout, outcome=outcome))
    return tuple(found)
