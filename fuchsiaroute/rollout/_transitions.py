"""State transitions of a roll-out."""

from dataclasses import dataclass, replace
from enum import Enum

from returns.result import Failure, Result, Success

from fuchsiaroute.configuration import Configuration, Rollout, RolloutState
from fuchsiaroute.ids import RolloutId


class RolloutAction(Enum):
    """Action on a roll-out, by an operator or by the test for bad versions."""

    #: Continue with the next stage; after the last stage the roll-out is complete.
    ADVANCE = "advance"
    #: Assign no new sessions to the target until the roll-out is resumed.
    PAUSE = "pause"
    #: Continue in the paused stage; earlier ratings no longer count.
    RESUME = "resume"
    #: Permanently stop all traffic to the target, pinned sessions included.
    ABORT = "abort"
    #: Assign all new sessions to the target.
    COMPLETE = "complete"


class RolloutErrorKind(Enum):
    """Reason for which an action was not applied."""

    UNKNOWN_ROLLOUT = "unknown-rollout"
    #: The current state has no transition for the action.
    NOT_ALLOWED = "not-allowed"


@dataclass(frozen=True, kw_only=True)
class RolloutError:
    """An action that was not applied."""

    kind: RolloutErrorKind
    message: str


#: New state by current state and action. Pausing a paused roll-out and aborting an
#: aborted one are idempotent, since several entries may find the same bad version.
_TRANSITIONS = {
    (RolloutState.RUNNING, RolloutAction.ADVANCE): RolloutState.RUNNING,
    (RolloutState.RUNNING, RolloutAction.PAUSE): RolloutState.PAUSED,
    (RolloutState.RUNNING, RolloutAction.ABORT): RolloutState.ABORTED,
    (RolloutState.RUNNING, RolloutAction.COMPLETE): RolloutState.COMPLETE,
    (RolloutState.PAUSED, RolloutAction.PAUSE): RolloutState.PAUSED,
    (RolloutState.PAUSED, RolloutAction.RESUME): RolloutState.RUNNING,
    (RolloutState.PAUSED, RolloutAction.ABORT): RolloutState.ABORTED,
    (RolloutState.ABORTED, RolloutAction.ABORT): RolloutState.ABORTED,
    (RolloutState.COMPLETE, RolloutAction.COMPLETE): RolloutState.COMPLETE,
}


def apply_action(
    configuration: Configuration, rollout: RolloutId, action: RolloutAction
) -> Result[Configuration, RolloutError]:
    """Return ``configuration`` with ``action`` applied to ``rollout``."""
    current = _find(configuration, rollout)
    if current is None:
        return Failure(
            RolloutError(
                kind=RolloutErrorKind.UNKNOWN_ROLLOUT,
                message=f"there is no roll-out {rollout!r}",
            )
        )
    state = _TRANSITIONS.get((current.state, action))
    if state is None:
        return Failure(
            RolloutError(
                kind=RolloutErrorKind.NOT_ALLOWED,
                message=f"cannot {action.value} a roll-out that is "
                f"{current.state.value}",
            )
        )
    changed = replace(current, state=state)
    if action is RolloutAction.ADVANCE:
        changed = _advance(changed)
    if action is RolloutAction.RESUME:
        changed = replace(changed, attempt=current.attempt + 1)
    rollouts = tuple(
        changed if item.id == rollout else item for item in configuration.rollouts
    )
    return Success(configuration.with_rollouts(rollouts))


def _find(configuration: Configuration, rollout: RolloutId) -> Rollout | None:
    for item in configuration.rollouts:
        if item.id == rollout:
            return item
    return None


def _advance(rollout: Rollout) -> Rollout:
    if rollout.stage + 1 < len(rollout.stages):
        return replace(rollout, stage=rollout.stage + 1)
    return replace(rollout, state=RolloutState.COMPLETE)
