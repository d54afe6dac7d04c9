"""The choice among single versions and cascades."""

from dataclasses import dataclass
from operator import attrgetter
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

#: Classes and targets whose trusted plans are remembered; all are forgotten above it.
_MAX_TRUSTED = 256

#: Requests that a choice serves before the rates of weak answers are looked at again.
_USES_PER_CHOICE = 256
#: Choices that are kept; all are made anew above it.
_MAX_CHOICES = 1_024

_ChoiceKey = tuple[RequestClass, float, bool, tuple[int, ...]]
_TrustKey = tuple[RequestClass, float]


@dataclass
class _Choice:
    """The outcome for one list of options, valid for a number of requests."""

    #: Held so that the identities in the key stay theirs.
    options: tuple[Option, ...]
    ordered: OrderedOptions
    #: The cheaper plan that is worth exploring, or None.
    hopeful: AnswerPlan | None
    uses_left: int


class CascadeChooser:
    """
    Chooses the cheapest plan that meets the quality target with confidence.

    A plan is trusted once the lower end of its estimate reaches the target, and until
    its mean falls below the target. This hysteresis keeps requests from moving back
    and forth between plans when an estimate lies near the target. A bounded share of
    requests explores the best of the cheaper plans, if it lies a little below at most.
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
        self._choices: dict[_ChoiceKey, _Choice] = {}

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
        choice = self._choice(
            options,
            request_class=request_class,
            quality_target=quality_target,
            can_escalate=can_escalate,
        )
        if choice.hopeful is None or random.random() >= self._exploration_rate:
            return choice.ordered
        return _ordered(options, choice.hopeful, quality_target)

    def _choice(
        self,
        options: list[Option],
        *,
        request_class: RequestClass,
        quality_target: float,
        can_escalate: bool,
    ) -> _Choice:
        """Return the choice on these very options, made anew from time to time."""
        ids = tuple(map(id, options))
        key = (request_class, quality_target, can_escalate, ids)
        choice = self._choices.get(key)
        if choice is not None and choice.uses_left > 0:
            choice.uses_left -= 1
            return choice
        plans = plans_of(
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
    ) -> _Choice:
        chosen = max(plans, key=attrgetter("mean"))
        trusted = self._trusted_plans(request_class, quality_target)
        hopeful: AnswerPlan | None = None
        least = quality_target - _EXPLORATION_MARGIN
        for plan in plans:
            if _is_trusted(plan, trusted, quality_target):
                chosen = plan
                break
            if plan.mean >= least and (hopeful is None or plan.mean > hopeful.mean):
                hopeful = plan
        return _Choice(
            options=tuple(options),
            ordered=_ordered(options, chosen, quality_target),
            hopeful=hopeful if hopeful is not chosen else None,
            uses_left=_USES_PER_CHOICE,
        )

    def _trusted_plans(
        self, request_class: RequestClass, quality_target: float
    ) -> set[tuple[VersionId, ...]]:
        """Return the set of trusted plans for a class and target, to be changed."""
        if len(self._trusted) >= _MAX_TRUSTED:
            self._trusted.clear()
        return self._trusted.setdefault((request_class, quality_target), set())


def _is_trusted(
    plan: AnswerPlan, trusted: set[tuple[VersionId, ...]], quality_target: float
) -> bool:
    """Return whether ``plan`` is trusted now, and note it in ``trusted``."""
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
        (option, _rejection(option, quality_target))
        for option in options
        if option.version.id not in chosen
    )
    return OrderedOptions(chosen=plan.options, rejected=rejected)


def _rejection(option: Option, quality_target: float) -> Exclusion:
    if option.estimate.lower < quality_target:
        return Exclusion.BELOW_QUALITY_TARGET
    return Exclusion.COSTLIER
