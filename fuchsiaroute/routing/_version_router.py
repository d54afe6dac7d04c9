"""The choice of a version for a request."""

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
from fuchsiaroute.routing._dispatch_check import is_pinned, reason_of
from fuchsiaroute.routing._estimate import PriorEstimates, QualityEstimates
from fuchsiaroute.routing._plan import Plan, make_plan
from fuchsiaroute.routing._priced_plan import (
    OptionKey,
    PricedOption,
    PricedPlan,
    price_plan,
)
from fuchsiaroute.routing._refusals import invalid_request, refusal
from fuchsiaroute.routing._rules import Rule, version_rule
from fuchsiaroute.routing._selection import Selection
from fuchsiaroute.routing._view import ConfigurationView
from fuchsiaroute.session import PinSigner
from fuchsiaroute.verdict import Refusal, RefusalReason

#: Budget of an organisation without a cost limit, in micro-units.
NO_LIMIT = 2**62
#: Quality target of a class that the product does not declare: the highest one that
#: it declares for any class, or this where it declares none.
_DEFAULT_TARGET = 0.0
#: Plans kept for a view; they are made anew after that.
_MAX_PLANS = 4_096

#: Selections kept; they are made anew after that.
_MAX_SELECTIONS = 256

_PinnedKey = tuple[VersionId, RequestClass, int]
_PlanKey = tuple[OrganisationId, ModelChoice, RequestClass, int]


class VersionRouter:
    """
    Chooses the versions to try for a request, without I/O.

    A session with a pin gets its version or a refusal, never another version. New
    work gets what the rules, the roll-outs' shares and the chooser leave.
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
        self._bare_plans: dict[_PlanKey, Plan] = {}
        self._options: dict[OptionKey, PricedOption] = {}
        self._plans: dict[_PlanKey, PricedPlan] = {}
        self._selections: dict[tuple[int, tuple[bool, ...]], Selection] = {}
        self._pinned: dict[_PinnedKey, Decision] = {}
        self._generation = 0
        self._plans_view: ConfigurationView | None = None

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

        ``budget`` is what the organisation may still spend, in micro-units. With
        ``can_escalate`` the decision may name versions to try after a weak answer.
        The decision on a plain service names no version.
        """
        organisation = view.organisation(request.organisation)
        if organisation is None or organisation.product != request.product:
            return Failure(refusal(RefusalReason.NOT_PERMITTED))
        if view.service(ServiceId(_name(request.model))) is not None:
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
        service = view.service(ServiceId(_name(request.model)))
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
        exclusion = version_rule(
            view, organisation, model.id, version, Rule.PINNED_SESSION
        )
        if exclusion is not Exclusion.NONE:
            return Failure(refusal(reason_of(exclusion)))
        if _name(request.model) not in ("", model.id, version.id):
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
        self._drop_stale(view)
        tokens = request.expected_tokens
        key = (version.id, request.request_class, tokens)
        decision = self._pinned.get(key)
        if decision is None:
            chosen = Option(
                version=version,
                model=model,
                cost=expected_cost(version, tokens),
                estimate=self._estimates.estimate(version, request.request_class),
            )
            decision = _pinned_decision(view, chosen)
            self._pinned[key] = decision
        return decision

    def _drop_stale(self, view: ConfigurationView) -> None:
        """Forget what was made for another view or from other estimates."""
        generation = self._estimates.generation
        is_stale = self._plans_view is not view or self._generation != generation
        kept = (self._bare_plans, self._options, self._pinned)
        is_full = any(len(item) >= _MAX_PLANS for item in kept)
        if self._plans_view is not view or is_full:
            self._bare_plans.clear()
        if is_stale or is_full:
            self._options.clear()
            self._plans.clear()
            self._selections.clear()
            self._pinned.clear()
            self._plans_view = view
            self._generation = generation

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
            limited = selection.is_limited
            return Failure(
                refusal(
                    RefusalReason.COST_LIMIT if limited else RefusalReason.NOT_PERMITTED
                )
            )
        ordered = self._chooser.order(
            selection.affordable,
            request_class=request.request_class,
            quality_target=_quality_target(request, view),
            # A session stays on the version that answers first.
            can_escalate=can_escalate and request.session is NoSession.TOKEN,
            random=self._random,
        )
        return Success(selection.decision(ordered, view.revision))

    def _selection(self, plan: PricedPlan, request: Request, budget: int) -> Selection:
        """Return the selection for ``request``, made anew only for a small budget."""
        covered = plan.covered(request)
        key = (id(plan), covered)
        selection = self._selections.get(key)
        if selection is None:
            if len(self._selections) >= _MAX_SELECTIONS:
                self._selections.clear()
            selection = Selection(plan, plan.sides(covered), budget=NO_LIMIT)
            self._selections[key] = selection
        if budget < selection.greatest_cost:
            return Selection(plan, plan.sides(covered), budget=budget)
        return selection

    def _plan(
        self, request: Request, organisation: Organisation, view: ConfigurationView
    ) -> PricedPlan:
        self._drop_stale(view)
        tokens = request.expected_tokens
        key = (organisation.id, request.model, request.request_class, tokens)
        plan = self._plans.get(key)
        if plan is None:
            bare = self._bare_plans.get(key)
            if bare is None:
                bare = make_plan(
                    view, organisation, request.model, expected_tokens=tokens
                )
                self._bare_plans[key] = bare
            plan = price_plan(
                bare,
                self._estimates,
                request_class=request.request_class,
                expected_tokens=tokens,
                known=self._options,
            )
            self._plans[key] = plan
        return plan


def _name(choice: ModelChoice) -> str:
    return choice if isinstance(choice, str) else ""


def _quality_target(request: Request, view: ConfigurationView) -> float:
    spec = view.request_class(request.product, request.request_class)
    if spec is not None:
        return spec.quality_target
    product = view.product(request.product)
    declared = product.classes if product is not None else ()
    return max((item.quality_target for item in declared), default=_DEFAULT_TARGET)


def _pinned_decision(view: ConfigurationView, chosen: Option) -> Decision:
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
        candidates=(PricedOption(chosen).open_candidate, *others),
    )
