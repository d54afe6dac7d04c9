"""Plans to answer a request: a single version or a cascade of two."""

from collections.abc import Sequence
from dataclasses import dataclass
from operator import attrgetter

from fuchsiaroute.cascade._weak_rates import WeakRates
from fuchsiaroute.ids import RequestClass, VersionId
from fuchsiaroute.routing import Option

#: Versions considered as the first and as the second of a cascade; these bound the
#: time of a decision.
_MAX_FIRST_VERSIONS = 6
_MAX_SECOND_VERSIONS = 2
#: Assumed share of good answers among weak ones. It is an upper bound: an engine that
#: reports a confidence below 0.5 expects at most this share.
_QUALITY_OF_WEAK_ANSWERS = 0.5


@dataclass(frozen=True, kw_only=True, slots=True)
class AnswerPlan:
    """The versions to try in order, with their combined cost and quality."""

    options: tuple[Option, ...]
    #: Ids of the versions in ``options``.
    versions: tuple[VersionId, ...]
    #: Expected cost of all calls in micro-units.
    cost: float
    #: Estimated share of good answers and the lower end of its interval.
    mean: float
    lower: float


def candidate_plans(
    options: Sequence[Option],
    *,
    request_class: RequestClass,
    weak_rates: WeakRates,
    quality_target: float,
    can_escalate: bool,
) -> list[AnswerPlan]:
    """
    Return the plans to compare, cheapest first.

    Options off the Pareto frontier of cost and estimate are left out, and so are
    options that cost more than the two cheapest ones that meet the target. The second
    version of a cascade meets the target alone or, if no option does, is the most
    expensive one of the frontier. A cascade has to cost less than its second version
    alone.
    """
    frontier = _pareto_frontier(options, quality_target)
    plans = [_single(option, request_class, weak_rates) for option in frontier]
    if can_escalate:
        plans += _cascades(frontier, request_class, weak_rates, quality_target)
    plans.sort(key=attrgetter("cost"))
    return plans


def _pareto_frontier(options: Sequence[Option], quality_target: float) -> list[Option]:
    """
    Return the options on the Pareto frontier, cheapest first.

    An option is on it if its mean or its lower bound exceeds those of all cheaper
    options. The list ends after ``_MAX_SECOND_VERSIONS`` options that meet the target:
    cascades use no further ones as their second version.
    """
    frontier: list[Option] = []
    best_mean = best_lower = -1.0
    meeting_target = 0
    for option in sorted(options, key=attrgetter("cost", "version.id")):
        mean, lower = option.estimate.mean, option.estimate.lower
        if mean <= best_mean and lower <= best_lower:
            continue
        if frontier and frontier[-1].cost == option.cost:
            meeting_target -= frontier.pop().estimate.lower >= quality_target
        frontier.append(option)
        best_mean = max(best_mean, mean)
        best_lower = max(best_lower, lower)
        meeting_target += lower >= quality_target
        if meeting_target == _MAX_SECOND_VERSIONS:
            break
    return frontier


def _cascades(
    frontier: list[Option],
    request_class: RequestClass,
    weak_rates: WeakRates,
    quality_target: float,
) -> list[AnswerPlan]:
    second_options = [
        item for item in frontier if item.estimate.lower >= quality_target
    ]
    second_options = second_options[:_MAX_SECOND_VERSIONS] or frontier[-1:]
    plans: list[AnswerPlan] = []
    for first in frontier[:_MAX_FIRST_VERSIONS]:
        rate = weak_rates.weak_rate(first.version.id, request_class)
        accepted_quality = _accepted_quality(first, rate, request_class, weak_rates)
        plans += [
            _cascade(first, second, rate, accepted_quality)
            for second in second_options
            if second.estimate.mean > first.estimate.mean
            and first.cost + rate * second.cost < second.cost
        ]
    return plans


def _single(
    option: Option, request_class: RequestClass, weak_rates: WeakRates
) -> AnswerPlan:
    # Answers that escalation replaced were never rated. For a version that answers
    # alone, all of them count as bad.
    unreplaced_rate = 1.0 - weak_rates.replaced_rate(option.version.id, request_class)
    return AnswerPlan(
        options=(option,),
        versions=(option.version.id,),
        cost=float(option.cost),
        mean=option.estimate.mean * unreplaced_rate,
        lower=option.estimate.lower * unreplaced_rate,
    )


@dataclass(frozen=True, kw_only=True, slots=True)
class _AcceptedQuality:
    """Estimated share of good answers among those that were not weak."""

    mean: float
    lower: float


def _accepted_quality(
    first: Option, weak_rate: float, request_class: RequestClass, weak_rates: WeakRates
) -> _AcceptedQuality:
    """
    Return the quality of the first version's answers that a cascade accepts.

    Declared quality covers all answers, ratings only the answers that callers
    received. The replaced answers are therefore added to the rated share first, and
    then all weak answers are subtracted. If the ratings come from cascades alone, the
    two corrections cancel out and the result is the rated quality.
    """
    replaced = weak_rates.replaced_rate(first.version.id, request_class)
    replaced *= first.estimate.rated_share

    def accepted(estimated: float) -> float:
        quality_of_all = (
            estimated * (1.0 - replaced) + _QUALITY_OF_WEAK_ANSWERS * replaced
        )
        quality_without_weak = (
            quality_of_all - _QUALITY_OF_WEAK_ANSWERS * weak_rate
        ) / (1.0 - weak_rate)
        return min(1.0, max(0.0, quality_without_weak))

    return _AcceptedQuality(
        mean=accepted(first.estimate.mean), lower=accepted(first.estimate.lower)
    )


def _cascade(
    first: Option, second: Option, weak_rate: float, accepted: _AcceptedQuality
) -> AnswerPlan:
    accepted_rate = 1.0 - weak_rate
    return AnswerPlan(
        options=(first, second),
        versions=(first.version.id, second.version.id),
        cost=first.cost + weak_rate * second.cost,
        mean=accepted_rate * accepted.mean + weak_rate * second.estimate.mean,
        lower=accepted_rate * accepted.lower + weak_rate * second.estimate.lower,
    )
