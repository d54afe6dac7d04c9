"""Policies that order the versions to try for a request."""

from dataclasses import dataclass
from random import Random
from typing import Protocol

from fuchsiaroute.configuration import Version
from fuchsiaroute.ids import ModelId, RequestClass
from fuchsiaroute.request import Exclusion
from fuchsiaroute.routing._estimate import Estimate


@dataclass(frozen=True, kw_only=True, slots=True)
class Option:
    """A version that no rule excludes for a request."""

    version: Version
    model: ModelId
    #: Expected cost in micro-units.
    cost: int
    estimate: Estimate


@dataclass(frozen=True, kw_only=True, slots=True)
class OrderedOptions:
    """The options to try, in order, and the others with the reason for each."""

    chosen: tuple[Option, ...]
    rejected: tuple[tuple[Option, Exclusion], ...]


class VersionChooser(Protocol):
    """Policy that selects and orders the versions to try for a request."""

    def order(
        self,
        options: list[Option],
        *,
        request_class: RequestClass,
        quality_target: float,
        can_escalate: bool,
        random: Random,
    ) -> OrderedOptions:
        """Return which of ``options`` to try, in order; ``options`` is not empty."""


class CheapestChooser:
    """
    Chooses the cheapest version whose lower confidence bound meets the target.

    If no version meets it, the version with the highest mean estimate comes first.
    With escalation allowed, the costlier versions with a higher mean follow in order
    of cost.
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
        """Return the first choice and its escalations; see ``VersionChooser``."""
        ranked = sorted(options, key=by_cost)
        first_choice = cheapest_meeting_target(ranked, quality_target)
        chosen = [first_choice]
        if can_escalate:
            chosen += escalations(ranked, first_choice)
        rejected = tuple(
            (option, exclusion_of(option, quality_target))
            for option in ranked
            if option not in chosen
        )
        return OrderedOptions(chosen=tuple(chosen), rejected=rejected)


def by_cost(option: Option) -> tuple[int, float, str]:
    """Return the sort key: lower cost, then higher mean estimate, then the id."""
    return option.cost, -option.estimate.mean, option.version.id


def cheapest_meeting_target(ranked: list[Option], quality_target: float) -> Option:
    """Return the first option that meets the target, else the highest mean."""
    for option in ranked:
        if option.estimate.lower >= quality_target:
            return option
    return max(ranked, key=lambda option: option.estimate.mean)


def escalations(ranked: list[Option], first_choice: Option) -> list[Option]:
    """Return the options with a higher cost and mean than ``first_choice``."""
    return [
        option
        for option in ranked
        if option.cost > first_choice.cost
        and option.estimate.mean > first_choice.estimate.mean
    ]


def exclusion_of(option: Option, quality_target: float) -> Exclusion:
    """Return the reason for leaving ``option`` out of the versions to try."""
    if option.estimate.lower < quality_target:
        return Exclusion.BELOW_QUALITY_TARGET
    return Exclusion.COSTLIER
