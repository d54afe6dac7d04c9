"""Order in which the open versions are tried."""

from dataclasses import dataclass
from random import Random
from typing import Protocol

from fuchsiaroute.configuration import Version
from fuchsiaroute.ids import ModelId, RequestClass
from fuchsiaroute.request import Exclusion
from fuchsiaroute.routing._estimate import Estimate


@dataclass(frozen=True, kw_only=True, slots=True)
class Option:
    """A version that the rules leave open for a request."""

    version: Version
    model: ModelId
    #: Expected cost in micro-units.
    cost: int
    estimate: Estimate


@dataclass(frozen=True, kw_only=True, slots=True)
class OrderedOptions:
    """The options to try in order, and why the others are not among them."""

    chosen: tuple[Option, ...]
    rejected: tuple[tuple[Option, Exclusion], ...]


class VersionChooser(Protocol):
    """Policy that orders the open versions of a request."""

    def order(
        self,
        options: list[Option],
        *,
        request_class: RequestClass,
        quality_target: float,
        can_escalate: bool,
        random: Random,
    ) -> OrderedOptions:
        """Return the versions to try, of ``options``, which is not empty."""


class CheapestChooser:
    """
    Chooses the cheapest version that meets the target with confidence.

    If none does, it takes the version with the best estimate. With escalation
    allowed, the costlier versions with a better estimate follow in order of cost.
    """

    def order(
        self,
        options: list[Option],
        *,
        request_class: RequestClass,
        quality_target: float,
        can_escalate: bool,
        random: Random,
    ) -> OrderedOptions:
        """Return the cheapest sufficient version and its escalations."""
        ranked = sorted(options, key=by_cost)
        first = cheapest_sufficient(ranked, quality_target)
        chosen = [first]
        if can_escalate:
            chosen += escalations(ranked, first)
        rejected = tuple(
            (option, rejection(option, quality_target))
            for option in ranked
            if option not in chosen
        )
        return OrderedOptions(chosen=tuple(chosen), rejected=rejected)


def by_cost(option: Option) -> tuple[int, float, str]:
    """Return the sort key: cheapest first, then the better estimate, then the id."""
    return option.cost, -option.estimate.mean, option.version.id


def cheapest_sufficient(ranked: list[Option], quality_target: float) -> Option:
    """Return the first option that meets the target, else the best estimate."""
    for option in ranked:
        if option.estimate.lower >= quality_target:
            return option
    return max(ranked, key=lambda option: option.estimate.mean)


def escalations(ranked: list[Option], first: Option) -> list[Option]:
    """Return the options that are costlier than ``first`` and estimated better."""
    return [
        option
        for option in ranked
        if option.cost > first.cost and option.estimate.mean > first.estimate.mean
    ]


def rejection(option: Option, quality_target: float) -> Exclusion:
    """Return why a version that is not to be tried was passed over."""
    if option.estimate.lower < quality_target:
        return Exclusion.BELOW_QUALITY_TARGET
    return Exclusion.COSTLIER
