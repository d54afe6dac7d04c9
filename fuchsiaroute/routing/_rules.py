"""Rules that exclude a version before cost and quality are weighed."""

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


class Rule(Enum):
    """Who asks: a rule may differ for a session that already has its version."""

    NEW_WORK = "new-work"
    PINNED_SESSION = "pinned-session"


_STATE_RULES = {
    (VersionState.ACTIVE, Rule.NEW_WORK): Exclusion.NONE,
    (VersionState.ACTIVE, Rule.PINNED_SESSION): Exclusion.NONE,
    (VersionState.DRAINING, Rule.NEW_WORK): Exclusion.DRAINING,
    (VersionState.DRAINING, Rule.PINNED_SESSION): Exclusion.NONE,
    (VersionState.WITHDRAWN, Rule.NEW_WORK): Exclusion.WITHDRAWN,
    (VersionState.WITHDRAWN, Rule.PINNED_SESSION): Exclusion.WITHDRAWN,
}

#: Rules for the target of the last declared roll-out to it.
_ROLLOUT_RULES = {
    (RolloutState.RUNNING, Rule.NEW_WORK): Exclusion.NONE,
    (RolloutState.RUNNING, Rule.PINNED_SESSION): Exclusion.NONE,
    (RolloutState.PAUSED, Rule.NEW_WORK): Exclusion.ROLLOUT_STOPPED,
    (RolloutState.PAUSED, Rule.PINNED_SESSION): Exclusion.NONE,
    (RolloutState.ABORTED, Rule.NEW_WORK): Exclusion.ROLLOUT_STOPPED,
    (RolloutState.ABORTED, Rule.PINNED_SESSION): Exclusion.ROLLOUT_STOPPED,
    (RolloutState.COMPLETE, Rule.NEW_WORK): Exclusion.NONE,
    (RolloutState.COMPLETE, Rule.PINNED_SESSION): Exclusion.NONE,
}


def is_permitted(organisation: Organisation, model: ModelId, version: Version) -> bool:
    """Return whether ``organisation`` allows ``version`` of ``model``."""
    return (
        model in organisation.permitted_models
        and version.id not in organisation.denied_versions
    )


def version_rule(
    view: ConfigurationView,
    organisation: Organisation,
    model: ModelId,
    version: Version,
    rule: Rule,
) -> Exclusion:
    """Return the rule that excludes ``version``, or ``Exclusion.NONE``."""
    if not is_permitted(organisation, model, version):
        return Exclusion.NOT_PERMITTED
    exclusion = _STATE_RULES[version.state, rule]
    if exclusion is not Exclusion.NONE:
        return exclusion
    rollout = view.rollout_to(version.id)
    if rollout is None:
        return Exclusion.NONE
    return _ROLLOUT_RULES[rollout.state, rule]
