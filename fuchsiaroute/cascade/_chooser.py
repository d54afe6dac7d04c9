"""Chooses between single versions and cascades."""

from dataclasses import dataclass
from operator import attrgetter
from random import Random

from fuchsiaroute.cascade._plan import AnswerPlan, candidate_plans
from fuchsiaroute.cascade._weak_rates import WeakRates
from fuchsiaroute.ids import RequestClass, VersionId
from fuchsiaroute.request import Exclusion
from fuchsiaroute.routing import Option, OrderedOptions

#: Maximum share of requests that explore a cheaper plan that is not yet trusted.
DEFAULT_EXPLORATION_RATE = 0.02
#: Maximum difference between the target and the mean of a plan that is explored.
_EXPLORATION_MARGIN = 0.1

#: Pairs of class and target whose trusted plans are held; above it, all are cleared.
_MAX_TRUSTED = 256

#: Requests served by a cached choice before it is computed again from current rates.
_MAX_USES_PER_CHOICE = 256
#: Cached choices; the cache is cleared when it is full.
_MAX_CHOICES = 1_024

_ChoiceKey = tuple[RequestClass, float, bool, tuple[int, ...]]
_TrustKey = tuple[RequestClass, float]


@dataclass
class _CachedChoice:
    """The choice for one list of options, valid for a number of requests."""

    #: References that keep the ids in the cache key from being reused.
    options: tuple[Option, ...]
    ordered: OrderedOptions
    #: The cheaper plan that a share of the requests explores, or None.
    exploration_plan: AnswerPlan | None
    uses_left: int


class CascadeChooser:
    """
    Chooses the cheapest trusted plan, or the plan with the highest mean if none is.

    A plan becomes trusted when the lower end of its estimate reaches the target and
    stays so until its mean falls below the target. This hysteresis prevents requests
    from alternating between plans when an estimate lies near the target. A bounded
    share of requests explores the cheaper plan with the highest mean, provided that
    its mean is at most ``_EXPLORATION_MARGIN`` below the target.
    """

    def __init__(
        self,
        *,
        weak_rates: WeakRates | None = None,
        exploration_rate: float = DEFAULT_EXPLORATION_RATE,
    ) -> None:
        self._weak_rates = weak_rates or WeakRates()
        self._exploration_rate = exploration_rate
        self._trusted: dict[_TrustKey, set[tuple[VersionId, ...]]] = {}
        self._choices: dict[_ChoiceKey, _CachedChoice] = {}

    @property
    def weak_rates(self) -> WeakRates:
        """Return the rates of weak answers; callers record every buffered answer."""
        return self._weak_rates

    def order(
        self,
        options: list[Option],
        *,
        request_class: RequestClass,
        quality_target: float,
        can_escalate: bool,
        random: Random,
    ) -> OrderedOptions:
        """Return the versions of the chosen plan; see ``VersionChooser``."""
        choice = self._choice(
            options,
            request_class=request_class,
            quality_target=quality_target,
            can_escalate=can_escalate,
        )
        if choice.exploration_plan is None or random.random() >= self._exploration_rate:
            return choice.ordered
        return _ordered(options, choice.exploration_plan, quality_target)

    def _choice(
        self,
        options: list[Option],
        *,
        request_class: RequestClass,
        quality_target: float,
        can_escalate: bool,
    ) -> _CachedChoice:
        """Return the cached choice for these option objects, or compute a new one."""
        ids = tuple(map(id, options))
        key = (request_class, quality_target, can_escalate, ids)
        choice = self._choices.get(key)
        if choice is not None and choice.uses_left > 0:
            choice.uses_left -= 1
            return choice
        plans = candidate_plans(
            options,
            request_class=request_class,
            weak_rates=self._weak_rates,
            quality_target=quality_target,
            can_escalate=can_escalate,
        )
        choice = self._choose(options, plans, request_class, quality_target)
        if len(self._choices) >= _MAX_CHOICES:
            self._choices.clear()
        self._choices[key] = choice
        return choice

    def _choose(
        self,
        options: list[Option],
        plans: list[AnswerPlan],
        request_class: RequestClass,
        quality_target: float,
    ) -> _CachedChoice:
        chosen = max(plans, key=attrgetter("mean"))
        trusted = self._trusted_plans(request_class, quality_target)
        exploration_plan: AnswerPlan | None = None
        min_mean = quality_target - _EXPLORATION_MARGIN
        for plan in plans:
            if _is_trusted(plan, trusted, quality_target):
                chosen = plan
                break
            if plan.mean >= min_mean and (
                exploration_plan is None or plan.mean > exploration_plan.mean
            ):
                exploration_plan = plan
        return _CachedChoice(
            options=tuple(options),
            ordered=_ordered(options, chosen, quality_target),
            exploration_plan=exploration_plan
            if exploration_plan is not chosen
            else None,
            uses_left=_MAX_USES_PER_CHOICE,
        )

    def _trusted_plans(
        self, request_class: RequestClass, quality_target: float
    ) -> set[tuple[VersionId, ...]]:
        """Return the mutable set of trusted plans for a class and target."""
        if len(self._trusted) >= _MAX_TRUSTED:
            self._trusted.clear()
        return self._trusted.setdefault((request_class, quality_target), set())


def _is_trusted(
    plan: AnswerPlan, trusted: set[tuple[VersionId, ...]], quality_target: float
) -> bool:
    """Return whether ``plan`` is trusted, and update ``trusted`` accordingly."""
    if plan.lower >= quality_target:
        trusted.add(plan.versions)
        return True
    if plan.mean < quality_target:
        trusted.discard(plan.versions)
        return False
    return plan.versions in trusted


def _ordered(
    options: list[Option], plan: AnswerPlan, quality_target: float
) -> OrderedOptions:
    chosen = plan.versions
    rejected = tuple(
        (option, _exclusion_of(option, quality_target))
        for option in options
        if option.version.id not in chosen
    )
    return OrderedOptions(chosen=plan.options, rejected=rejected)


def _exclusion_of(option: Option, quality_target: float) -> Exclusion:
    if option.estimate.lower < quality_target:
        return Exclusion.BELOW_QUALITY_TARGET
    return Exclusion.COSTLIER
