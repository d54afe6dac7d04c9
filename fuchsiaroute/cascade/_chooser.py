"""The choice among single versions and cascades."""

from random import Random

from fuchsiaroute.cascade._plan import AnswerPlan, plans_of
from fuchsiaroute.cascade._weak_rates import WeakRates
from fuchsiaroute.ids import RequestClass, VersionId
from fuchsiaroute.request import Exclusion
from fuchsiaroute.routing import Option, OrderedOptions

#: Greatest share of requests that try a plan which is cheaper and not yet trusted.
DEFAULT_EXPLORATION_RATE = 0.02
#: Points by which a plan may miss the target and still be worth a trial.
_EXPLORATION_MARGIN = 0.1

#: Plans that are remembered as trusted; all are forgotten above it.
_MAX_TRUSTED = 4_096

_PlanKey = tuple[RequestClass, float, tuple[VersionId, ...]]


class CascadeChooser:
    """
    Chooses the cheapest plan that meets the quality target with confidence.

    A plan is trusted once the lower end of its estimate reaches the target, and until
    its mean falls below the target. This hysteresis keeps requests from moving back
    and forth between plans when an estimate lies near the target. A bounded share of
    requests explores the cheaper plans whose estimate lies a little below.
    """

    def __init__(
        self,
        *,
        weak_rates: WeakRates | None = None,
        exploration_rate: float = DEFAULT_EXPLORATION_RATE,
    ) -> None:
        self._weak_rates = weak_rates or WeakRates()
        self._exploration_rate = exploration_rate
        self._trusted: set[_PlanKey] = set()

    @property
    def weak_rates(self) -> WeakRates:
        """Return the rates of weak answers, to be told of every buffered answer."""
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
        plans = plans_of(
            options,
            request_class=request_class,
            weak_rates=self._weak_rates,
            quality_target=quality_target,
            can_escalate=can_escalate,
        )
        chosen = self._choose(plans, request_class, quality_target, random)
        rejected = tuple(
            (option, _rejection(option, quality_target))
            for option in options
            if option not in chosen.options
        )
        return OrderedOptions(chosen=chosen.options, rejected=rejected)

    def _choose(
        self,
        plans: list[AnswerPlan],
        request_class: RequestClass,
        quality_target: float,
        random: Random,
    ) -> AnswerPlan:
        passed_over: list[AnswerPlan] = []
        for plan in plans:
            if self._is_trusted(plan, request_class, quality_target):
                return self._explore(passed_over, plan, quality_target, random)
            passed_over.append(plan)
        return max(plans, key=lambda plan: plan.mean)

    def _is_trusted(
        self, plan: AnswerPlan, request_class: RequestClass, quality_target: float
    ) -> bool:
        versions = tuple(option.version.id for option in plan.options)
        key = (request_class, quality_target, versions)
        if plan.lower >= quality_target:
            if len(self._trusted) >= _MAX_TRUSTED:
                self._trusted.clear()
            self._trusted.add(key)
            return True
        if plan.mean < quality_target:
            self._trusted.discard(key)
        return key in self._trusted

    def _explore(
        self,
        passed_over: list[AnswerPlan],
        chosen: AnswerPlan,
        quality_target: float,
        random: Random,
    ) -> AnswerPlan:
        if not passed_over or random.random() >= self._exploration_rate:
            return chosen
        least = quality_target - _EXPLORATION_MARGIN
        hopeful = [plan for plan in passed_over if plan.mean >= least]
        return random.choice(hopeful) if hopeful else chosen


def _rejection(option: Option, quality_target: float) -> Exclusion:
    if option.estimate.lower < quality_target:
        return Exclusion.BELOW_QUALITY_TARGET
    return Exclusion.COSTLIER
