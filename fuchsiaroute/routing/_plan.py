"""The part of a routing decision that depends on the configuration alone."""

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
from fuchsiaroute.routing._rules import Rule, version_rule
from fuchsiaroute.routing._view import ConfigurationView


@dataclass(frozen=True, kw_only=True, slots=True)
class ModelPlan:
    """The open versions of a model; with a roll-out, the share decides."""

    model: ModelId
    #: Version for those that no share covers; None if there is none.
    default: Version | None
    #: The running roll-out, or None.
    rollout: Rollout | None = None
    #: Its target; None without a roll-out.
    target: Version | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Plan:
    """What an organisation's choice of a model leaves open."""

    models: tuple[ModelPlan, ...]
    #: Versions excluded by a rule, with their declared quality.
    excluded: tuple[Candidate, ...]


def make_plan(
    view: ConfigurationView,
    organisation: Organisation,
    choice: ModelChoice,
    *,
    expected_tokens: int,
) -> Plan:
    """Return the plan of ``organisation`` for requests with ``choice``."""
    models: list[ModelPlan] = []
    excluded: list[Candidate] = []
    for model in view.configuration.models:
        open_versions: list[Version] = []
        for version in model.versions:
            exclusion = _exclusion(view, organisation, choice, model, version)
            if exclusion is Exclusion.NONE:
                open_versions.append(version)
            else:
                excluded.append(_excluded(model, version, exclusion, expected_tokens))
        if not open_versions:
            continue
        plan = _model_plan(view, choice, model, open_versions)
        models.append(plan)
        excluded += [
            _excluded(model, version, Exclusion.NOT_REQUESTED, expected_tokens)
            for version in open_versions
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
    exclusion = version_rule(view, organisation, model.id, version, Rule.NEW_WORK)
    if exclusion is not Exclusion.NONE:
        return exclusion
    if choice is AnyModel.TOKEN or choice in (model.id, version.id):
        return Exclusion.NONE
    return Exclusion.NOT_REQUESTED


def _model_plan(
    view: ConfigurationView,
    choice: ModelChoice,
    model: Model,
    open_versions: list[Version],
) -> ModelPlan:
    by_id = {version.id: version for version in open_versions}
    if choice in by_id:
        return ModelPlan(model=model.id, default=by_id[choice])  # type: ignore[index]
    rollouts = view.rollouts_of(model.id)
    current = _default_version(open_versions, rollouts)
    for rollout in rollouts:
        target = by_id.get(rollout.target)
        if target is None or _last_rollout(view, rollout) is not rollout:
            continue
        if rollout.state is RolloutState.RUNNING:
            return ModelPlan(
                model=model.id, default=current, rollout=rollout, target=target
            )
        if rollout.state is RolloutState.COMPLETE:
            current = target
    return ModelPlan(model=model.id, default=current)


def _default_version(
    open_versions: list[Version], rollouts: tuple[Rollout, ...]
) -> Version | None:
    targets = {rollout.target for rollout in rollouts}
    for version in open_versions:
        if version.id not in targets and version.state is VersionState.ACTIVE:
            return version
    return None


def _last_rollout(view: ConfigurationView, rollout: Rollout) -> Rollout | None:
    return view.rollout_to(rollout.target)


def _excluded(
    model: Model, version: Version, exclusion: Exclusion, expected_tokens: int
) -> Candidate:
    return Candidate(
        version=version.id,
        model=model.id,
        exclusion=exclusion,
        cost=expected_cost(version, expected_tokens),
        quality=version.prior_quality,
    )
