"""The part of a routing decision that depends only on the configuration."""

from dataclasses import dataclass

from fuchsiaroute.configuration import (
    Model,
    Organisation,
    Rollout,
    RolloutState,
    Version,
    VersionState,
)
from fuchsiaroute.ids import ModelId
from fuchsiaroute.request import AnyModel, Candidate, Exclusion, ModelChoice
from fuchsiaroute.routing._cost import expected_cost
from fuchsiaroute.routing._rules import WorkKind, find_exclusion
from fuchsiaroute.routing._view import ConfigurationView


@dataclass(frozen=True, kw_only=True, slots=True)
class ModelPlan:
    """
    The eligible versions of a model, which no rule excludes.

    With a running roll-out, its share assigns each request to the target or to the
    default.
    """

    model: ModelId
    #: Version for requests outside the roll-out's share; None if there is none.
    default: Version | None
    #: The running roll-out, or None.
    rollout: Rollout | None = None
    #: Target of the roll-out; None without one.
    target: Version | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Plan:
    """The eligible and the excluded versions for an organisation's choice of model."""

    models: tuple[ModelPlan, ...]
    #: Versions that a rule excludes, with their declared quality.
    excluded: tuple[Candidate, ...]


def make_plan(
    view: ConfigurationView,
    organisation: Organisation,
    choice: ModelChoice,
    *,
    expected_tokens: int,
) -> Plan:
    """Return the plan for requests of ``organisation`` that ask for ``choice``."""
    models: list[ModelPlan] = []
    excluded: list[Candidate] = []
    for model in view.configuration.models:
        eligible_versions: list[Version] = []
        for version in model.versions:
            exclusion = _exclusion(view, organisation, choice, model, version)
            if exclusion is Exclusion.NONE:
                eligible_versions.append(version)
            else:
                excluded.append(
                    _excluded_candidate(model, version, exclusion, expected_tokens)
                )
        if not eligible_versions:
            continue
        plan = _model_plan(view, choice, model, eligible_versions)
        models.append(plan)
        excluded += [
            _excluded_candidate(
                model, version, Exclusion.NOT_REQUESTED, expected_tokens
            )
            for version in eligible_versions
            if version not in (plan.default, plan.target)
        ]
    return Plan(models=tuple(models), excluded=tuple(excluded))


def _exclusion(
    view: ConfigurationView,
    organisation: Organisation,
    choice: ModelChoice,
    model: Model,
    version: Version,
) -> Exclusion:
    exclusion = find_exclusion(view, organisation, model.id, version, WorkKind.NEW_WORK)
    if exclusion is not Exclusion.NONE:
        return exclusion
    if choice is AnyModel.TOKEN or choice in (model.id, version.id):
        return Exclusion.NONE
    return Exclusion.NOT_REQUESTED


def _model_plan(
    view: ConfigurationView,
    choice: ModelChoice,
    model: Model,
    eligible_versions: list[Version],
) -> ModelPlan:
    by_id = {version.id: version for version in eligible_versions}
    if choice in by_id:
        return ModelPlan(model=model.id, default=by_id[choice])  # type: ignore[index]
    rollouts = view.rollouts_of(model.id)
    default = _default_version(eligible_versions, rollouts)
    for rollout in rollouts:
        target = by_id.get(rollout.target)
        if target is None or _latest_rollout_to_target(view, rollout) is not rollout:
            continue
        if rollout.state is RolloutState.RUNNING:
            return ModelPlan(
                model=model.id, default=default, rollout=rollout, target=target
            )
        if rollout.state is RolloutState.COMPLETE:
            default = target
    return ModelPlan(model=model.id, default=default)


def _default_version(
    eligible_versions: list[Version], rollouts: tuple[Rollout, ...]
) -> Version | None:
    targets = {rollout.target for rollout in rollouts}
    for version in eligible_versions:
        if version.id not in targets and version.state is VersionState.ACTIVE:
            return version
    return None


def _latest_rollout_to_target(
    view: ConfigurationView, rollout: Rollout
) -> Rollout | None:
    return view.rollout_to(rollout.target)


def _excluded_candidate(
    model: Model, version: Version, exclusion: Exclusion, expected_tokens: int
) -> Candidate:
    return Candidate(
        version=version.id,
        model=model.id,
        exclusion=exclusion,
        cost=expected_cost(version, expected_tokens),
        quality=version.prior_quality,
    )
