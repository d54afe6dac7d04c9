"""Ways to answer a request: one version, or one after the other."""

from collections.abc import Sequence
from dataclasses import dataclass
from operator import attrgetter

from fuchsiaroute.cascade._weak_rates import WeakRates
from fuchsiaroute.ids import RequestClass, VersionId
from fuchsiaroute.routing import Option

#: Versions weighed as the first and as the second of a cascade; bounds the time that
#: a decision takes.
_MAX_FIRSTS = 6
_MAX_SECONDS = 2
#: Greatest share of good answers among weak ones: an engine that reports a confidence
#: under one half expects no more.
_GOOD_IF_WEAK = 0.5


@dataclass(frozen=True, kw_only=True, slots=True)
class AnswerPlan:
    """The versions to try in order, with what is expected of them together."""

    options: tuple[Option, ...]
    #: Ids of the versions in ``options``.
    versions: tuple[VersionId, ...]
    #: Expected cost of all calls in micro-units.
    cost: float
    #: Estimated share of good answers and the lower end of its interval.
    mean: float
    lower: float


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

    An option that another one beats in cost and in estimate is left out, and so are
    those that cost more than two that meet the target. The second version of a
    cascade is one that meets the target alone; a cascade that would cost as much as
    its second version alone is none.
    """
    frontier = _frontier(options, quality_target)
    plans = [_single(option, request_class, weak_rates) for option in frontier]
    if can_escalate:
        plans += _cascades(frontier, request_class, weak_rates, quality_target)
    plans.sort(key=attrgetter("cost"))
    return plans


def _frontier(options: Sequence[Option], quality_target: float) -> list[Option]:
    """
    Return the options that no cheaper one equals in its estimate, cheapest first.

    The list ends after as many sufficient options as can be of use.
    """
    frontier: list[Option] = []
    best_mean = best_lower = -1.0
    sufficient = 0
    for option in sorted(options, key=attrgetter("cost", "version.id")):
        mean, lower = option.estimate.mean, option.estimate.lower
        if mean <= best_mean and lower <= best_lower:
            continue
        if frontier and frontier[-1].cost == option.cost:
            sufficient -= frontier.pop().estimate.lower >= quality_target
        frontier.append(option)
        best_mean = max(best_mean, mean)
        best_lower = max(best_lower, lower)
        sufficient += lower >= quality_target
        if sufficient == _MAX_SECONDS:
            break
    return frontier


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
        kept_quality = _kept_quality(first, rate, request_class, weak_rates)
        plans += [
            _cascade(first, second, rate, kept_quality)
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
        versions=(option.version.id,),
        cost=float(option.cost),
        mean=option.estimate.mean * rated,
        lower=option.estimate.lower * rated,
    )


@dataclass(frozen=True, kw_only=True, slots=True)
class _KeptQuality:
    """Share of good answers among those that were not weak."""

    mean: float
    lower: float


def _kept_quality(
    first: Option, weak_rate: float, request_class: RequestClass, weak_rates: WeakRates
) -> _KeptQuality:
    """
    Return the quality of the answers that a cascade keeps of its first version.

    Declarations are about all answers, ratings about those that callers got. What the
    replaced answers took away from the ratings is put back, then all weak answers are
    taken out. Once the ratings come from cascades alone, they are the kept quality.
    """
    replaced = weak_rates.replaced_rate(first.version.id, request_class)
    replaced *= first.estimate.rated_share

    def kept(estimated: float) -> float:
        overall = estimated * (1.0 - replaced) + _GOOD_IF_WEAK * replaced
        without_weak = (overall - _GOOD_IF_WEAK * weak_rate) / (1.0 - weak_rate)
        return min(1.0, max(0.0, without_weak))

    return _KeptQuality(
        mean=kept(first.estimate.mean), lower=kept(first.estimate.lower)
    )


def _cascade(
    first: Option, second: Option, weak_rate: float, kept: _KeptQuality
) -> AnswerPlan:
    kept_rate = 1.0 - weak_rate
    return AnswerPlan(
        options=(first, second),
        versions=(first.version.id, second.version.id),
        cost=first.cost + weak_rate * second.cost,
        mean=kept_rate * kept.mean + weak_rate * second.estimate.mean,
        lower=kept_rate * kept.lower + weak_rate * second.estimate.lower,
    )
