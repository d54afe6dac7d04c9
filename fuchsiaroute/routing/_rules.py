"""Rules that exclude versions before cost and quality are compared."""

from enum import Enum

from fuchsiaroute.configuration import (
    Organisation,
    RolloutState,
    Version,
    VersionState,
)
from fuchsiaroute.ids import ModelId
from fuchsiaroute.request import Exclusion
from fuchsiaroute.routing._view import ConfigurationView


class WorkKind(Enum):
    """Kind of request: rules are more lenient for a session pinned to a version."""

    NEW_WORK = "new-work"
    PINNED_SESSION = "pinned-session"


_STATE_RULES = {
    (VersionState.ACTIVE, WorkKind.NEW_WORK): Exclusion.NONE,
    (VersionState.ACTIVE, WorkKind.PINNED_SESSION): Exclusion.NONE,
    (VersionState.DRAINING, WorkKind.NEW_WORK): Exclusion.DRAINING,
    (VersionState.DRAINING, WorkKind.PINNED_SESSION): Exclusion.NONE,
    (VersionState.WITHDRAWN, WorkKind.NEW_WORK): Exclusion.WITHDRAWN,
    (VersionState.WITHDRAWN, WorkKind.PINNED_SESSION): Exclusion.WITHDRAWN,
}

#: Rules for a version that is the target of a roll-out. With several roll-outs to it,
#: the one declared last counts.
_ROLLOUT_RULES = {
    (RolloutState.RUNNING, WorkKind.NEW_WORK): Exclusion.NONE,
    (RolloutState.RUNNING, WorkKind.PINNED_SESSION): Exclusion.NONE,
    (RolloutState.PAUSED, WorkKind.NEW_WORK): Exclusion.ROLLOUT_STOPPED,
    (RolloutState.PAUSED, WorkKind.PINNED_SESSION): Exclusion.NONE,
    (RolloutState.ABORTED, WorkKind.NEW_WORK): Exclusion.ROLLOUT_STOPPED,
    (RolloutState.ABORTED, WorkKind.PINNED_SESSION): Exclusion.ROLLOUT_STOPPED,
    (RolloutState.COMPLETE, WorkKind.NEW_WORK): Exclusion.NONE,
    (RolloutState.COMPLETE, WorkKind.PINNED_SESSION): Exclusion.NONE,
}


def is_permitted(organisation: Organisation, model: ModelId, version: Version) -> bool:
    """Return whether ``organisation`` may use ``version`` of ``model``."""
    return (
        model in organisation.permitted_models
        and version.id not in organisation.denied_versions
    )


def find_exclusion(
    view: ConfigurationView,
    organisation: Organisation,
    model: ModelId,
    version: Version,
    work_kind: WorkKind,
) -> Exclusion:
    """Return why ``version`` is excluded, or ``Exclusion.NONE``."""
    if not is_permitted(organisation, model, version):
        return Exclusion.NOT_PERMITTED
    exclusion = _STATE_RULES[version.state, work_kind]
    if exclusion is not Exclusion.NONE:
        return exclusion
    rollout = view.rollout_to(version.id)
    if rollout is None:
        return Exclusion.NONE
    return _ROLLOUT_RULES[rollout.state, work_kind]
