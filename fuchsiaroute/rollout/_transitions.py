"""State table of a roll-out."""

from dataclasses import dataclass, replace
from enum import Enum

from returns.result import Failure, Result, Success

from fuchsiaroute.configuration import Configuration, Rollout, RolloutState
from fuchsiaroute.ids import RolloutId


class RolloutAction(Enum):
    """What operators, or the bad-version test, do to a roll-out."""

    #: Go on to the next stage; the last stage completes the roll-out.
    ADVANCE = "advance"
    #: Give the new version no new sessions until resumed.
    PAUSE = "pause"
    #: Go on in the stage that was paused, on ratings from now on.
    RESUME = "resume"
    #: Give the new version no work at all, for good.
    ABORT = "abort"
    #: Give the new version the whole share.
    COMPLETE = "complete"


class RolloutErrorKind(Enum):
    """Why an action on a roll-out has no effect."""

    UNKNOWN_ROLLOUT = "unknown-rollout"
    #: The state table has no such transition.
    NOT_ALLOWED = "not-allowed"


@dataclass(frozen=True, kw_only=True)
class RolloutError:
    """An action that the state table does not allow."""

    kind: RolloutErrorKind
    message: str


#: New state by present state and action. Pausing a paused roll-out and aborting an
#: aborted one are idempotent, since several entries may find the same fault.
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
    present = _find(configuration, rollout)
    if present is None:
        return Failure(
            RolloutError(
                kind=RolloutErrorKind.UNKNOWN_ROLLOUT,
                message=f"there is no roll-out {rollout!r}",
            )
        )
    state = _TRANSITIONS.get((present.state, action))
    if state is None:
        return Failure(
            RolloutError(
                kind=RolloutErrorKind.NOT_ALLOWED,
                message=f"cannot {action.value} a roll-out that is "
                f"{present.state.value}",
            )
        )
    changed = replace(present, state=state)
    if action is RolloutAction.ADVANCE:
        changed = _advance(changed)
    if action is RolloutAction.RESUME:
        changed = replace(changed, attempt=present.attempt + 1)
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
