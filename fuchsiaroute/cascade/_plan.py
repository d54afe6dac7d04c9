"""Ways to answer a request: one version, or one after the other."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from fuchsiaroute.cascade._weak_rates import WeakRates
from fuchsiaroute.ids import RequestClass
from fuchsiaroute.routing import Option

#: Versions weighed as the first and as the second of a cascade; bounds the time that
#: a decision takes.
_MAX_FIRSTS = 6
_MAX_SECONDS = 2


@dataclass(frozen=True, kw_only=True, slots=True)
class AnswerPlan:
    """The versions to try in order, with what is expected of them together."""

    options: tuple[Option, ...]
    #: Expected cost of all calls in micro-units.
    cost: float
    #: Estimated share of good answers and the lower end of its interval.
    mean: float
    lower: float

    @property
    def sort_key(self) -> tuple[float, float, str]:
        """Return the order of preference: cheapest, then better, then by name."""
        return self.cost, -self.mean, self.options[0].version.id


def plans_of(
    options: Sequence[Option],
    *,
    request_class: RequestClass,
    weak_rates: WeakRates,
    quality_target: float,
    can_escalate: bool,
) -> list[AnswerPlan]:
    """
    Return the plans worth weighing, cheapest first.

    An option that another one beats in cost and in estimate is left out. The lower
    end of a cascade lies between those of its versions, so only a second version that
    meets the target can make a cascade meet it; of these the cheapest are weighed. A
    cascade that would cost as much as its second version alone is none.
    """
    frontier = _frontier(options)
    plans = [_single(option, request_class, weak_rates) for option in frontier]
    if can_escalate:
        plans += _cascades(frontier, request_class, weak_rates, quality_target)
    plans.sort(key=lambda plan: plan.sort_key)
    return plans


def best_plan(plans: Iterable[AnswerPlan], quality_target: float) -> AnswerPlan:
    """Return the cheapest plan that meets the target, else the best estimate."""
    ordered = list(plans)
    for plan in ordered:
        if plan.lower >= quality_target:
            return plan
    return max(ordered, key=lambda plan: plan.mean)


def _frontier(options: Sequence[Option]) -> list[Option]:
    """Return the options that no cheaper one equals in its estimate."""
    frontier: list[Option] = []
    best_mean = best_lower = -1.0
    for option in sorted(options, key=_by_cost):
        estimate = option.estimate
        if estimate.mean > best_mean or estimate.lower > best_lower:
            frontier.append(option)
        best_mean = max(best_mean, estimate.mean)
        best_lower = max(best_lower, estimate.lower)
    return frontier


def _by_cost(option: Option) -> tuple[int, float, str]:
    return option.cost, -option.estimate.mean, option.version.id


def _cascades(
    frontier: list[Option],
    request_class: RequestClass,
    weak_rates: WeakRates,
    quality_target: float,
) -> list[AnswerPlan]:
    seconds = [item for item in frontier if item.estimate.lower >= quality_target]
    seconds = seconds[:_MAX_SECONDS] or frontier[-1:]
    plans: list[AnswerPlan] = []
    for first in frontier[:_MAX_FIRSTS]:
        rate = weak_rates.weak_rate(first.version.id, request_class)
        plans += [
            _cascade(first, second, rate)
            for second in seconds
            if second.estimate.mean > first.estimate.mean
            and first.cost + rate * second.cost < second.cost
        ]
    return plans


def _single(
    option: Option, request_class: RequestClass, weak_rates: WeakRates
) -> AnswerPlan:
    # The weak answers that escalation replaced are missing from the ratings; a
    # version that answers alone is taken to have got all of these wrong.
    rated = 1.0 - weak_rates.replaced_rate(option.version.id, request_class)
    return AnswerPlan(
        options=(option,),
        cost=float(option.cost),
        mean=option.estimate.mean * rated,
        lower=option.estimate.lower * rated,
    )


def _cascade(first: Option, second: Option, weak_rate: float) -> AnswerPlan:
    kept = 1.0 - weak_rate
    return AnswerPlan(
        options=(first, second),
        cost=first.cost + weak_rate * second.cost,
        mean=kept * first.estimate.mean + weak_rate * second.estimate.mean,
        lower=kept * first.estimate.lower + weak_rate * second.estimate.lower,
    )
