"""Selects the versions to try for a request."""

from random import Random

from returns.result import Failure, Result, Success

from fuchsiaroute.configuration import Organisation, Version
from fuchsiaroute.ids import ModelId, OrganisationId, RequestClass, ServiceId, VersionId
from fuchsiaroute.request import (
    Candidate,
    Decision,
    Exclusion,
    ModelChoice,
    NoSession,
    Request,
)
from fuchsiaroute.routing._chooser import CheapestChooser, Option, VersionChooser
from fuchsiaroute.routing._cost import expected_cost
from fuchsiaroute.routing._dispatch_check import is_pinned, refusal_reason
from fuchsiaroute.routing._estimate import PriorEstimates, QualityEstimates
from fuchsiaroute.routing._plan import Plan, make_plan
from fuchsiaroute.routing._priced_plan import (
    OptionKey,
    PricedOption,
    PricedPlan,
    price_plan,
)
from fuchsiaroute.routing._refusals import invalid_request, refusal
from fuchsiaroute.routing._rules import WorkKind, find_exclusion
from fuchsiaroute.routing._selection import Selection
from fuchsiaroute.routing._view import ConfigurationView
from fuchsiaroute.session import PinSigner
from fuchsiaroute.verdict import Refusal, RefusalReason

#: Budget of an organisation without a cost limit, in micro-units.
NO_LIMIT = 2**62
#: Quality target of an undeclared request class if its product declares no class. If
#: the product declares classes, the highest of their targets is used instead.
_DEFAULT_TARGET = 0.0
#: Entries per cache for one view; all caches are cleared when one is full.
_MAX_PLANS = 4_096
#: Cached selections; the cache is cleared when it is full.
_MAX_SELECTIONS = 256

_PinnedKey = tuple[VersionId, RequestClass, int]
_PlanKey = tuple[OrganisationId, ModelChoice, RequestClass, int]


class VersionRouter:
    """
    Selects the versions to try for a request, without I/O.

    A session with a pin gets its version or a refusal, never another version. For
    other requests, the rules and the roll-out shares filter the versions and the
    chooser orders the rest.
    """

    def __init__(
        self,
        *,
        pins: PinSigner,
        random: Random,
        estimates: QualityEstimates | None = None,
        chooser: VersionChooser | None = None,
    ) -> None:
        self._pins = pins
        self._random = random
        self._estimates = estimates or PriorEstimates()
        self._chooser = chooser or CheapestChooser()
        self._unpriced_plans: dict[_PlanKey, Plan] = {}
        self._options: dict[OptionKey, PricedOption] = {}
        self._plans: dict[_PlanKey, PricedPlan] = {}
        self._selections: dict[tuple[int, tuple[bool, ...]], Selection] = {}
        self._pinned_decisions: dict[_PinnedKey, Decision] = {}
        self._cached_generation = 0
        self._cached_view: ConfigurationView | None = None

    def route(
        self,
        request: Request,
        view: ConfigurationView,
        *,
        budget: int = NO_LIMIT,
        can_escalate: bool = False,
    ) -> Result[Decision, Refusal]:
        """
        Return the versions to try for ``request`` under ``view``.

        ``budget`` is the amount that the organisation may still spend, in micro-units.
        With ``can_escalate`` the decision may hold further versions, to be tried after
        a weak answer. The decision for a plain service holds no version.
        """
        organisation = view.organisation(request.organisation)
        if organisation is None or organisation.product != request.product:
            return Failure(refusal(RefusalReason.NOT_PERMITTED))
        if view.service(ServiceId(_requested_name(request.model))) is not None:
            return self._route_service(request, organisation, view, budget)
        if request.pin and request.session is NoSession.TOKEN:
            return Failure(invalid_request("a pin needs the id of its session"))
        if is_pinned(request):
            return self._route_pinned(request, organisation, view, budget)
        return self._route_new(request, organisation, view, budget, can_escalate)

    def _route_service(
        self,
        request: Request,
        organisation: Organisation,
        view: ConfigurationView,
        budget: int,
    ) -> Result[Decision, Refusal]:
        service = view.service(ServiceId(_requested_name(request.model)))
        if service is None or service.id not in organisation.permitted_services:
            return Failure(refusal(RefusalReason.NOT_PERMITTED))
        if service.cost_per_call > budget:
            return Failure(refusal(RefusalReason.COST_LIMIT))
        return Success(Decision(revision=view.revision, versions=(), candidates=()))

    def _route_pinned(
        self,
        request: Request,
        organisation: Organisation,
        view: ConfigurationView,
        budget: int,
    ) -> Result[Decision, Refusal]:
        assert request.session is not NoSession.TOKEN
        verified = self._pins.verify(request.pin, organisation.id, request.session)
        if isinstance(verified, Failure):
            return verified
        pinned = verified.unwrap().version
        version, model = view.version(pinned), view.model_of(pinned)
        if version is None or model is None:
            return Failure(refusal(RefusalReason.VERSION_WITHDRAWN))
        exclusion = find_exclusion(
            view, organisation, model.id, version, WorkKind.PINNED_SESSION
        )
        if exclusion is not Exclusion.NONE:
            return Failure(refusal(refusal_reason(exclusion)))
        if _requested_name(request.model) not in ("", model.id, version.id):
            return Failure(invalid_request("the session is pinned to another model"))
        cost = expected_cost(version, request.expected_tokens)
        if cost > budget:
            return Failure(refusal(RefusalReason.COST_LIMIT))
        return Success(self._pinned_decision(request, view, model.id, version))

    def _pinned_decision(
        self,
        request: Request,
        view: ConfigurationView,
        model: ModelId,
        version: Version,
    ) -> Decision:
        self._evict_stale(view)
        tokens = request.expected_tokens
        key = (version.id, request.request_class, tokens)
        decision = self._pinned_decisions.get(key)
        if decision is None:
            chosen = Option(
                version=version,
                model=model,
                cost=expected_cost(version, tokens),
                estimate=self._estimates.estimate(version, request.request_class),
            )
            decision = _build_pinned_decision(view, chosen)
            self._pinned_decisions[key] = decision
        return decision

    def _evict_stale(self, view: ConfigurationView) -> None:
        """Clear cached results that belong to another view or older estimates."""
        generation = self._estimates.generation
        is_stale = (
            self._cached_view is not view or self._cached_generation != generation
        )
        caches = (self._unpriced_plans, self._options, self._pinned_decisions)
        is_full = any(len(item) >= _MAX_PLANS for item in caches)
        if self._cached_view is not view or is_full:
            self._unpriced_plans.clear()
        if is_stale or is_full:
            self._options.clear()
            self._plans.clear()
            self._selections.clear()
            self._pinned_decisions.clear()
            self._cached_view = view
            self._cached_generation = generation

    def _route_new(
        self,
        request: Request,
        organisation: Organisation,
        view: ConfigurationView,
        budget: int,
        can_escalate: bool,
    ) -> Result[Decision, Refusal]:
        plan = self._plan(request, organisation, view)
        selection = self._selection(plan, request, budget)
        if not selection.affordable:
            is_over_budget = selection.is_over_budget
            return Failure(
                refusal(
                    RefusalReason.COST_LIMIT
                    if is_over_budget
                    else RefusalReason.NOT_PERMITTED
                )
            )
        ordered = self._chooser.order(
            selection.affordable,
            request_class=request.request_class,
            quality_target=_quality_target(request, view),
            # A session is pinned to the first version, so it can't escalate.
            can_escalate=can_escalate and request.session is NoSession.TOKEN,
            random=self._random,
        )
        return Success(selection.decision(ordered, view.revision))

    def _selection(self, plan: PricedPlan, request: Request, budget: int) -> Selection:
        """Return the selection; it is cached only if the budget covers all options."""
        coverage = plan.coverage(request)
        key = (id(plan), coverage)
        selection = self._selections.get(key)
        if selection is None:
            if len(self._selections) >= _MAX_SELECTIONS:
                self._selections.clear()
            selection = Selection(plan, plan.branches(coverage), budget=NO_LIMIT)
            self._selections[key] = selection
        if budget < selection.max_cost:
            return Selection(plan, plan.branches(coverage), budget=budget)
        return selection

    def _plan(
        self, request: Request, organisation: Organisation, view: ConfigurationView
    ) -> PricedPlan:
        self._evict_stale(view)
        tokens = request.expected_tokens
        key = (organisation.id, request.model, request.request_class, tokens)
        plan = self._plans.get(key)
        if plan is None:
            unpriced = self._unpriced_plans.get(key)
            if unpriced is None:
                unpriced = make_plan(
                    view, organisation, request.model, expected_tokens=tokens
                )
                self._unpriced_plans[key] = unpriced
            plan = price_plan(
                unpriced,
                self._estimates,
                request_class=request.request_class,
                expected_tokens=tokens,
                option_cache=self._options,
            )
            self._plans[key] = plan
        return plan


def _requested_name(choice: ModelChoice) -> str:
    return choice if isinstance(choice, str) else ""


def _quality_target(request: Request, view: ConfigurationView) -> float:
    spec = view.request_class(request.product, request.request_class)
    if spec is not None:
        return spec.quality_target
    product = view.product(request.product)
    declared = product.classes if product is not None else ()
    return max((item.quality_target for item in declared), default=_DEFAULT_TARGET)


def _build_pinned_decision(view: ConfigurationView, chosen: Option) -> Decision:
    others = tuple(
        Candidate(
            version=version.id,
            model=model.id,
            exclusion=Exclusion.SESSION_PINNED_ELSEWHERE,
            cost=expected_cost(version, 0),
            quality=version.prior_quality,
        )
        for model in view.configuration.models
        for version in model.versions
        if version.id != chosen.version.id
    )
    return Decision(
        revision=view.revision,
        versions=(chosen.version.id,),
        candidates=(PricedOption(chosen).eligible_candidate, *others),
    )
