"""A plan with the costs and estimates of one class of requests."""

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
    """An option with its forms as a candidate, made once for many requests."""

    def __init__(self, option: Option) -> None:
        self._option = option
        self._open = _candidate(option, Exclusion.NONE)
        self._excluded: dict[Exclusion, Candidate] = {}

    @property
    def option(self) -> Option:
        """Return the option itself."""
        return self._option

    @property
    def open_candidate(self) -> Candidate:
        """Return the candidate that no rule excluded."""
        return self._open

    def excluded(self, exclusion: Exclusion) -> Candidate:
        """Return the candidate as ``exclusion`` left it out."""
        candidate = self._excluded.get(exclusion)
        if candidate is None:
            candidate = _candidate(self._option, exclusion)
            self._excluded[exclusion] = candidate
        return candidate


@dataclass(frozen=True, kw_only=True, slots=True)
class Side:
    """What one side of a roll-out leaves open."""

    #: The version for the request; None if there is none.
    chosen: PricedOption | None
    #: The version that the share passed over; None if there is none.
    passed_over: Candidate | None


@dataclass(frozen=True, kw_only=True, slots=True)
class PricedModel:
    """The open versions of a model; without a roll-out only ``off`` counts."""

    rollout: Rollout | None
    on: Side
    off: Side


@dataclass(frozen=True, kw_only=True, slots=True)
class PricedPlan:
    """A plan for one class and length of answers, under one set of estimates."""

    models: tuple[PricedModel, ...]
    excluded: tuple[Candidate, ...]
    #: The running roll-outs, in the order of their models.
    rollouts: tuple[Rollout, ...]

    def covered(self, request: Request) -> tuple[bool, ...]:
        """Return for each roll-out of the plan whether its share covers ``request``."""
        if not self.rollouts:
            return ()
        unit = request.id if request.session is NoSession.TOKEN else request.session
        key = unit_key(request.organisation, unit)
        return tuple([is_assigned_to_target(rollout, key) for rollout in self.rollouts])

    def sides(self, covered: tuple[bool, ...]) -> list[Side]:
        """Return the side of each model, by what ``covered`` returned."""
        remaining = iter(covered)
        return [
            model.on if model.rollout is not None and next(remaining) else model.off
            for model in self.models
        ]


def price_plan(
    plan: Plan,
    estimates: QualityEstimates,
    *,
    request_class: RequestClass,
    expected_tokens: int,
    known: dict[OptionKey, PricedOption],
) -> PricedPlan:
    """
    Return ``plan`` with the costs and estimates of its open versions.

    ``known`` holds options that other plans have priced, and gets the new ones.
    """

    def price(model: ModelId, version: Version | None) -> PricedOption | None:
        if version is None:
            return None
        key = (version.id, request_class, expected_tokens)
        priced = known.get(key)
        if priced is None:
            priced = PricedOption(
                Option(
                    version=version,
                    model=model,
                    cost=expected_cost(version, expected_tokens),
                    estimate=estimates.estimate(version, request_class),
                )
            )
            known[key] = priced
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
        on=Side(chosen=target, passed_over=_passed_over(default)),
        off=Side(chosen=default, passed_over=_passed_over(target)),
    )


def _passed_over(option: PricedOption | None) -> Candidate | None:
    return option.excluded(Exclusion.ROLLOUT_SHARE) if option is not None else None
