"""Permission check right before a request is sent to an endpoint."""

from returns.result import Failure, Result, Success

from fuchsiaroute.configuration import Organisation
from fuchsiaroute.ids import ServiceId, VersionId
from fuchsiaroute.request import Exclusion, NoSession, Request
from fuchsiaroute.routing._refusals import refusal
from fuchsiaroute.routing._rules import WorkKind, find_exclusion
from fuchsiaroute.routing._view import ConfigurationView
from fuchsiaroute.verdict import Refusal, RefusalReason


def check_dispatch(
    request: Request, target: VersionId | ServiceId, view: ConfigurationView
) -> Result[None, Refusal]:
    """
    Return a refusal if ``target`` may not run ``request`` under ``view``.

    Call it with the newest view right before every dispatch: first choices, retries,
    escalations and requests that were queued. The pin is not verified again, since
    the router has verified it; a request with a pin counts as a pinned session. The
    verdict of a refusal covers this dispatch only; the caller combines it with the
    verdicts of earlier attempts.
    """
    organisation = view.organisation(request.organisation)
    if organisation is None or organisation.product != request.product:
        return Failure(refusal(RefusalReason.NOT_PERMITTED))
    if view.service(ServiceId(target)) is not None:
        return _check_service(organisation, ServiceId(target))
    return _check_version(request, organisation, VersionId(target), view)


def is_pinned(request: Request) -> bool:
    """Return whether the request carries a pin for its session."""
    return request.session is not NoSession.TOKEN and request.pin != ""


def _check_service(
    organisation: Organisation, service: ServiceId
) -> Result[None, Refusal]:
    if service in organisation.permitted_services:
        return Success(None)
    return Failure(refusal(RefusalReason.NOT_PERMITTED))


def _check_version(
    request: Request,
    organisation: Organisation,
    target: VersionId,
    view: ConfigurationView,
) -> Result[None, Refusal]:
    version, model = view.version(target), view.model_of(target)
    if version is None or model is None:
        # A version that the revision no longer declares counts as withdrawn.
        return Failure(refusal(RefusalReason.VERSION_WITHDRAWN))
    work_kind = WorkKind.PINNED_SESSION if is_pinned(request) else WorkKind.NEW_WORK
    exclusion = find_exclusion(view, organisation, model.id, version, work_kind)
    if exclusion is Exclusion.NONE:
        return Success(None)
    return Failure(refusal(refusal_reason(exclusion)))


def refusal_reason(exclusion: Exclusion) -> RefusalReason:
    """Return the refusal reason for a caller whose only version is excluded."""
    if exclusion is Exclusion.NOT_PERMITTED:
        return RefusalReason.NOT_PERMITTED
    return RefusalReason.VERSION_WITHDRAWN
