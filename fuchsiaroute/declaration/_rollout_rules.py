"""Rules on roll-outs: their versions, their stages and one at a time per model."""

from collections.abc import Iterator

from fuchsiaroute.configuration import (
    Configuration,
    Rollout,
    RolloutState,
    VersionState,
)
from fuchsiaroute.declaration._faults import Fault, Severity
from fuchsiaroute.ids import ModelId

#: States in which a roll-out still divides sessions between its versions.
UNFINISHED_STATES = frozenset({RolloutState.RUNNING, RolloutState.PAUSED})


def check_rollouts(configuration: Configuration) -> Iterator[Fault]:
    """Yield the faults of the roll-outs in ``configuration``."""
    unfinished_places: dict[ModelId, str] = {}
    for index, rollout in enumerate(configuration.rollouts):
        place = f"rollouts[{index}]"
        yield from _check_versions(configuration, place, rollout)
        yield from _check_stage_order(place, rollout)
        if rollout.state not in UNFINISHED_STATES:
            continue
        first = unfinished_places.setdefault(rollout.model, place)
        if first != place:
            yield Fault(
                place=f"{place}.model",
                message=f"{rollout.model!r} is already being rolled out by {first}",
            )


def _check_versions(
    configuration: Configuration, place: str, rollout: Rollout
) -> Iterator[Fault]:
    if rollout.base == rollout.target:
        yield Fault(place=f"{place}.target", message="is the base version")
    states = {
        version.id: version.state
        for model in configuration.models
        if model.id == rollout.model
        for version in model.versions
    }
    for name in ("base", "target"):
        version = getattr(rollout, name)
        if version not in states:
            yield Fault(
                place=f"{place}.{name}",
                message=f"{version!r} is not a version of model {rollout.model!r}",
            )
    is_running = rollout.state is RolloutState.RUNNING
    if is_running and states.get(rollout.target) is VersionState.WITHDRAWN:
        yield Fault(
            place=f"{place}.target",
            message="is withdrawn, so the roll-out gives it no work",
            severity=Severity.WARNING,
        )


def _check_stage_order(place: str, rollout: Rollout) -> Iterator[Fault]:
    for index in range(1, len(rollout.stages)):
        if rollout.stages[index] < rollout.stages[index - 1]:
            yield Fault(
                place=f"{place}.stages[{index}]", message="is below the stage before"
            )
