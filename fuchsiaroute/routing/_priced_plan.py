"""A plan with the expected costs and the quality estimates of a request class."""

from dataclasses import dataclass

from fuchsiaroute.configuration import Rollout, Version
from fuchsiaroute.ids import ModelId, RequestClass, VersionId
from fuchsiaroute.request import Candidate, Exclusion, NoSession, Request
from fuchsiaroute.rollout import is_assigned_to_target, unit_key
from fuchsiaroute.routing._chooser import Option
from fuchsiaroute.routing._cost import expected_cost
from fuchsiaroute.routing._estimate import QualityEstimates
from fuchsiaroute.routing._plan import ModelPlan, Plan

#: Version, class and expected tokens.
OptionKey = tuple[VersionId, RequestClass, int]


class PricedOption:
    """An option with its ``Candidate`` objects, which many requests share."""

    def __init__(self, option: Option) -> None:
        self._option = option
        self._eligible = _candidate(option, Exclusion.NONE)
        self._excluded: dict[Exclusion, Candidate] = {}

    @property
    def option(self) -> Option:
        """Return the version with its cost and its estimate."""
        return self._option

    @property
    def eligible_candidate(self) -> Candidate:
        """Return the candidate with ``Exclusion.NONE``."""
        return self._eligible

    def excluded(self, exclusion: Exclusion) -> Candidate:
        """Return the candidate with ``exclusion`` as its reason."""
        candidate = self._excluded.get(exclusion)
        if candidate is None:
            candidate = _candidate(self._option, exclusion)
            self._excluded[exclusion] = candidate
        return candidate


@dataclass(frozen=True, kw_only=True, slots=True)
class RolloutBranch:
    """The outcome for requests that a roll-out assigns to its target or the default."""

    #: The version to serve the request; None if there is none.
    priced_option: PricedOption | None
    #: The version of the other branch; None if there is none.
    excluded: Candidate | None


@dataclass(frozen=True, kw_only=True, slots=True)
class PricedModel:
    """The branches of a model; without a roll-out only ``default_branch`` is used."""

    rollout: Rollout | None
    target_branch: RolloutBranch
    default_branch: RolloutBranch


@dataclass(frozen=True, kw_only=True, slots=True)
class PricedPlan:
    """A plan for one request class, expected answer length and estimate generation."""

    models: tuple[PricedModel, ...]
    excluded: tuple[Candidate, ...]
    #: The running roll-outs, in the order of their models.
    rollouts: tuple[Rollout, ...]

    def coverage(self, request: Request) -> tuple[bool, ...]:
        """Return for each roll-out of the plan whether its share covers ``request``."""
        if not self.rollouts:
            return ()
        unit = request.id if request.session is NoSession.TOKEN else request.session
        key = unit_key(request.organisation, unit)
        return tuple([is_assigned_to_target(rollout, key) for rollout in self.rollouts])

    def branches(self, coverage: tuple[bool, ...]) -> list[RolloutBranch]:
        """Return the branch of each model for the result of ``coverage``."""
        remaining = iter(coverage)
        return [
            model.target_branch
            if model.rollout is not None and next(remaining)
            else model.default_branch
            for model in self.models
        ]


def price_plan(
    plan: Plan,
    estimates: QualityEstimates,
    *,
    request_class: RequestClass,
    expected_tokens: int,
    option_cache: dict[OptionKey, PricedOption],
) -> PricedPlan:
    """
    Return ``plan`` with the costs and estimates of its eligible versions.

    ``option_cache`` is shared by all plans; options missing from it are added.
    """

    def price(model: ModelId, version: Version | None) -> PricedOption | None:
        if version is None:
            return None
        key = (version.id, request_class, expected_tokens)
        priced = option_cache.get(key)
        if priced is None:
            priced = PricedOption(
                Option(
                    version=version,
                    model=model,
                    cost=expected_cost(version, expected_tokens),
                    estimate=estimates.estimate(version, request_class),
                )
            )
            option_cache[key] = priced
        return priced

    models: list[PricedModel] = []
    for item in plan.models:
        default = price(item.model, item.default)
        target = price(item.model, item.target)
        models.append(_priced_model(item, default, target))
    rollouts = tuple(item.rollout for item in plan.models if item.rollout is not None)
    return PricedPlan(models=tuple(models), excluded=plan.excluded, rollouts=rollouts)


def _candidate(option: Option, exclusion: Exclusion) -> Candidate:
    return Candidate(
        version=option.version.id,
        model=option.model,
        exclusion=exclusion,
        cost=option.cost,
        quality=option.estimate.mean,
    )


def _priced_model(
    plan: ModelPlan, default: PricedOption | None, target: PricedOption | None
) -> PricedModel:
    return PricedModel(
        rollout=plan.rollout,
        target_branch=RolloutBranch(
            priced_option=target, excluded=_excluded_by_share(default)
        ),
        default_branch=RolloutBranch(
            priced_option=default, excluded=_excluded_by_share(target)
        ),
    )


def _excluded_by_share(option: PricedOption | None) -> Candidate | None:
    return option.excluded(Exclusion.ROLLOUT_SHARE) if option is not None else None
