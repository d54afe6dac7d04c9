"""Routing: which versions may answer a request, cheapest first."""

from returns.result import Failure, Result, Success

from fuchsiaroute.configuration import Configuration, Organisation, VersionState
from fuchsiaroute.entry._call import Call, ModelTarget
from fuchsiaroute.entry._current import CurrentConfiguration
from fuchsiaroute.entry._steps import Routed
from fuchsiaroute.ids import VersionId
from fuchsiaroute.request import AnyModel, Candidate, Decision, Exclusion, Request
from fuchsiaroute.verdict import Refusal, RefusalReason, Verdict

#: Bytes of a streamed answer for each token, for cost estimates.
BYTES_PER_TOKEN = 64
TOKENS_PER_PRICE = 1_000


class DeclaredQualityRoute:
    """Chooses by the operators' own quality estimates; implements ``RouteStep``."""

    def __init__(self, *, current: CurrentConfiguration) -> None:
        self._current = current

    async def decide(self, call: Call) -> Result[Routed, Refusal]:
        """Choose the versions to try; none for a plain service."""
        request = call.request
        if not isinstance(call.target, ModelTarget):
            decision = Decision(
                revision=self._current.revision, versions=(), candidates=()
            )
            return Success(Routed(decision=decision))
        candidates = self._candidates(request)
        usable = [item for item in candidates if item.exclusion is Exclusion.NONE]
        if not usable:
            return Failure(_not_permitted())
        chosen = min(usable, key=lambda item: item.cost)
        decision = Decision(
            revision=self._current.revision,
            versions=(chosen.version,),
            candidates=candidates,
        )
        return Success(Routed(decision=decision))

    def check_dispatch(
        self, request: Request, version: VersionId
    ) -> Result[None, Refusal]:
        """Check permission again, against the revision in force now."""
        for candidate in self._candidates(request):
            if candidate.version == version and candidate.exclusion is Exclusion.NONE:
                return Success(None)
        return Failure(_not_permitted())

    def should_escalate(
        self, request: Request, version: VersionId, answer: bytes
    ) -> bool:
        """Return False: one version is chosen for each request."""
        return False

    def cost(self, version: VersionId, answer_bytes: int) -> int:
        """Return the cost in micro-units of an answer of that many bytes."""
        tokens = answer_bytes // BYTES_PER_TOKEN
        for model in self._current.configuration.models:
            for item in model.versions:
                if item.id == version:
                    return item.cost_per_1000_tokens * tokens // TOKENS_PER_PRICE
        return 0

    def _candidates(self, request: Request) -> tuple[Candidate, ...]:
        configuration = self._current.configuration
        organisation = _organisation(configuration, request)
        target = _quality_target(configuration, request)
        return tuple(
            Candidate(
                version=version.id,
                model=model.id,
                exclusion=_exclusion(
                    request=request,
                    is_permitted=model.id in organisation.permitted_models,
                    is_requested=request.model
                    in (AnyModel.TOKEN, model.id, version.id),
                    is_active=version.state is VersionState.ACTIVE,
                    is_good_enough=version.prior_quality >= target,
                ),
                cost=version.cost_per_1000_tokens
                * request.expected_tokens
                // TOKENS_PER_PRICE,
                quality=version.prior_quality,
            )
            for model in configuration.models
            for version in model.versions
        )


def _exclusion(
    *,
    request: Request,
    is_permitted: bool,
    is_requested: bool,
    is_active: bool,
    is_good_enough: bool,
) -> Exclusion:
    rules = (
        (is_permitted, Exclusion.NOT_PERMITTED),
        (is_requested, Exclusion.NOT_REQUESTED),
        (is_active, Exclusion.WITHDRAWN),
        (
            is_good_enough or request.model is not AnyModel.TOKEN,
            Exclusion.BELOW_QUALITY_TARGET,
        ),
    )
    return next((rule for holds, rule in rules if not holds), Exclusion.NONE)


def _organisation(configuration: Configuration, request: Request) -> Organisation:
    return next(
        item for item in configuration.organisations if item.id == request.organisation
    )


def _quality_target(configuration: Configuration, request: Request) -> float:
    targets = (
        spec.quality_target
        for product in configuration.products
        if product.id == request.product
        for spec in product.classes
        if spec.id == request.request_class
    )
    return next(targets, 0.0)


def _not_permitted() -> Refusal:
    return Refusal(
        reason=RefusalReason.NOT_PERMITTED,
        verdict=Verdict.NOT_RUN,
        message="no permitted model matches the request",
    )
