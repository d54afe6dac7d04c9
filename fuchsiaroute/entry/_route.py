"""Routing: which versions may answer a request, in order."""

from random import Random

from returns.result import Failure, Result, Success

from fuchsiaroute.cascade import CascadeChooser, is_weak, read_answer
from fuchsiaroute.configuration import Configuration, Organisation
from fuchsiaroute.costlimit import Allowances
from fuchsiaroute.entry._call import Call, ModelTarget
from fuchsiaroute.entry._current import NO_REVISION, CurrentConfiguration
from fuchsiaroute.entry._steps import RoutingResult
from fuchsiaroute.ids import Revision, RolloutId, VersionId
from fuchsiaroute.logs import log_event, route_decided
from fuchsiaroute.quality import TableEstimates
from fuchsiaroute.request import Decision, Exclusion, NoSession, Request
from fuchsiaroute.rollout import RolloutAction, apply_action
from fuchsiaroute.routing import (
    ConfigurationView,
    VersionRouter,
    check_dispatch,
    expected_cost,
)
from fuchsiaroute.session import PinSigner
from fuchsiaroute.verdict import Refusal

#: Bytes of a streamed answer per token, for cost estimates.
BYTES_PER_TOKEN = 64


class VersionRouteStep:
    """
    Routes by permission, sessions, roll-outs, estimates and cost limits.

    Implements ``RouteStep``. An attempt of a roll-out that was passed to ``suspend``
    counts as paused in this entry until the configuration starts a new attempt.
    """

    def __init__(
        self,
        *,
        current: CurrentConfiguration,
        pins: PinSigner,
        estimates: TableEstimates,
        allowances: Allowances,
        random: Random,
    ) -> None:
        self._pins = pins
        self._estimates = estimates
        self._allowances = allowances
        self._chooser = CascadeChooser()
        self._router = VersionRouter(
            pins=pins, random=random, estimates=estimates, chooser=self._chooser
        )
        self._suspended: dict[RolloutId, int] = {}
        self._current = current
        self._view = ConfigurationView(current.configuration, NO_REVISION)
        current.subscribe(self._apply)

    @property
    def view(self) -> ConfigurationView:
        """Return the view of the configuration in force, with suspended roll-outs."""
        return self._view

    def router_for(self, random: Random) -> VersionRouter:
        """Return a router with the same estimates and its own random numbers."""
        return VersionRouter(
            pins=self._pins,
            random=random,
            estimates=self._estimates,
            chooser=self._chooser,
        )

    def suspend(self, rollout: RolloutId, *, attempt: int) -> bool:
        """Pause an attempt of a roll-out in this entry; False if it already was."""
        if self._suspended.get(rollout) == attempt:
            return False
        self._suspended[rollout] = attempt
        self._apply(self._current.revision, self._current.configuration)
        return True

    async def decide(self, call: Call) -> Result[RoutingResult, Refusal]:
        """Choose the versions to try, in order; none for a plain service."""
        request = call.request
        view = self._view
        budget = await self._budget(call, view)
        decided = self._router.route(
            request, view, budget=budget, can_escalate=_can_escalate(call)
        )
        match decided:
            case Failure(refusal):
                return Failure(refusal)
            case Success(decision):
                return Success(self._result(request, decision))
        raise AssertionError("a Result is a Success or a Failure")

    def check_dispatch(
        self, request: Request, version: VersionId
    ) -> Result[None, Refusal]:
        """Check permission again, against the revision in force now."""
        return check_dispatch(request, version, self._view)

    def should_escalate(
        self, request: Request, version: VersionId, answer: bytes
    ) -> bool:
        """Return whether ``answer`` is too weak, so that the next version is tried."""
        weak = is_weak(read_answer(answer))
        self._chooser.weak_rates.record_cascade_answer(
            version, request.request_class, is_weak=weak
        )
        return weak

    def cost(self, version: VersionId, answer_bytes: int) -> int:
        """Return the cost in micro-units of an answer of ``answer_bytes`` bytes."""
        declared = self._view.version(version)
        if declared is None:
            return 0
        return expected_cost(declared, answer_bytes // BYTES_PER_TOKEN)

    def _result(self, request: Request, decision: Decision) -> RoutingResult:
        log_event(route_decided(request, decision))
        cost = sum(
            candidate.cost
            for candidate in decision.candidates
            if candidate.exclusion is Exclusion.NONE
        )
        organisation = self._view.organisation(request.organisation)
        if organisation is not None and organisation.daily_cost_limit:
            self._allowances.reserve(request, cost=cost)
        if len(decision.versions) == 1:
            self._chooser.weak_rates.record_single_answer(
                decision.versions[0], request.request_class
            )
        return RoutingResult(decision=decision, pin=self._pin(request, decision))

    def _pin(self, request: Request, decision: Decision) -> str:
        if request.session is NoSession.TOKEN or not decision.versions:
            return ""
        return self._pins.issue(
            request.organisation, request.session, decision.versions[0]
        )

    async def _budget(self, call: Call, view: ConfigurationView) -> int:
        organisation = view.organisation(call.request.organisation)
        if organisation is None:
            return 0
        cost = _max_cost(organisation, call, view)
        return await self._allowances.budget(organisation, cost=cost)

    def _apply(self, revision: Revision, configuration: Configuration) -> None:
        attempts = {item.id: item.attempt for item in configuration.rollouts}
        self._suspended = {
            rollout: attempt
            for rollout, attempt in self._suspended.items()
            if attempts.get(rollout) == attempt
        }
        for rollout in self._suspended:
            paused = apply_action(configuration, rollout, RolloutAction.PAUSE)
            configuration = paused.value_or(configuration)
        self._view = ConfigurationView(configuration, revision)
        declared = frozenset(
            version.id for model in configuration.models for version in model.versions
        )
        self._chooser.weak_rates.retain(declared)


def _can_escalate(call: Call) -> bool:
    """
    Return whether a second version may be tried after a weak answer.

    The weak answer must be buffered, so that the caller has received no part of it.
    """
    request = call.request
    return request.is_idempotent and not request.is_streamed


def _max_cost(organisation: Organisation, call: Call, view: ConfigurationView) -> int:
    """Return the cost of the most expensive version that is permitted."""
    if organisation.daily_cost_limit == 0:
        return 0
    if not isinstance(call.target, ModelTarget):
        return call.target.cost
    models = (view.model(model) for model in organisation.permitted_models)
    return max(
        (
            expected_cost(version, call.request.expected_tokens)
            for model in models
            if model is not None
            for version in model.versions
        ),
        default=0,
    )
