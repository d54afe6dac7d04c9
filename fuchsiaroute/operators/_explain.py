"""Explains how a request would be routed, without dispatching it."""

from returns.result import Failure, Success

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.ids import ModelId, RequestId
from fuchsiaroute.operators._messages import Explanation, ExplanationRequest
from fuchsiaroute.request import (
    AnyModel,
    Candidate,
    Decision,
    Exclusion,
    NoSession,
    Request,
)
from fuchsiaroute.routing import ConfigurationView, VersionRouter, make_plan
from fuchsiaroute.verdict import Refusal, RefusalReason

#: Id of every explained request. A request without a session is assigned to a side
#: of a roll-out by its id.
EXPLAINED_REQUEST = RequestId("explain")
#: Placeholder; routing does not use the deadline.
NO_DEADLINE = Milliseconds(0)
#: Used if the request class is unknown.
DEFAULT_EXPECTED_TOKENS = 256


def explain(
    question: ExplanationRequest, *, view: ConfigurationView, router: VersionRouter
) -> Explanation:
    """Return how ``router`` would route the request in ``question``."""
    request = _request(question, view)
    match router.route(request, view, can_escalate=not question.is_streamed):
        case Success(decision):
            return _permitted(decision)
        case Failure(refusal):
            return _refused(request, refusal, view)
    raise AssertionError("a Result is a Success or a Failure")


def _request(question: ExplanationRequest, view: ConfigurationView) -> Request:
    organisation = view.organisation(question.organisation)
    product = organisation.product if organisation is not None else ""
    spec = (
        view.request_class(organisation.product, question.request_class)
        if organisation is not None
        else None
    )
    is_any = question.model == AnyModel.TOKEN.value
    return Request(
        id=EXPLAINED_REQUEST,
        organisation=question.organisation,
        product=product,  # type: ignore[arg-type]
        request_class=question.request_class,
        model=AnyModel.TOKEN if is_any else ModelId(question.model),
        session=question.session or NoSession.TOKEN,
        deadline=NO_DEADLINE,
        expected_tokens=spec.expected_tokens if spec else DEFAULT_EXPECTED_TOKENS,
    )


def _permitted(decision: Decision) -> Explanation:
    return Explanation(
        revision=decision.revision,
        is_permitted=True,
        versions=decision.versions,
        candidates=decision.candidates,
    )


def _refused(
    request: Request, refusal: Refusal, view: ConfigurationView
) -> Explanation:
    return Explanation(
        revision=view.revision,
        is_permitted=False,
        versions=(),
        candidates=_excluded(request, refusal, view),
        refusal=f"{refusal.reason.value}: {refusal.message}",
    )


def _excluded(
    request: Request, refusal: Refusal, view: ConfigurationView
) -> tuple[Candidate, ...]:
    """Return each version that a rule excluded from a request that was refused."""
    organisation = view.organisation(request.organisation)
    if organisation is None or refusal.reason is not RefusalReason.NOT_PERMITTED:
        return ()
    plan = make_plan(
        view, organisation, request.model, expected_tokens=request.expected_tokens
    )
    return tuple(
        candidate
        for candidate in plan.excluded
        if candidate.exclusion is not Exclusion.NONE
    )
