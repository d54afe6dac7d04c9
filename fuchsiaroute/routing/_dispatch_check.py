"""The check right before a dispatch."""

from returns.result import Failure, Result, Success

from fuchsiaroute.configuration import Organisation
from fuchsiaroute.ids import ServiceId, VersionId
from fuchsiaroute.request import Exclusion, NoSession, Request
from fuchsiaroute.routing._refusals import refusal
from fuchsiaroute.routing._rules import Rule, version_rule
from fuchsiaroute.routing._view import ConfigurationView
from fuchsiaroute.verdict import Refusal, RefusalReason


def check_dispatch(
    request: Request, target: VersionId | ServiceId, view: ConfigurationView
) -> Result[None, Refusal]:
    """
    Return whether ``target`` may run ``request`` under the revision in force.

    Call it with the newest view right before every dispatch: first choices,
    retries, escalations and requests that waited. It does not verify the pin, which
    the router did; a request that carries one counts as a pinned session. The
    verdict of a refusal is about this dispatch alone and has to be combined with
    those of earlier attempts.
    """
    organisation = view.organisation(request.organisation)
    if organisation is None or organisation.product != request.product:
        return Failure(refusal(RefusalReason.NOT_PERMITTED))
    if view.service(ServiceId(target)) is not None:
        return _check_service(organisation, ServiceId(target))
    return _check_version(request, organisation, VersionId(target), view)


def is_pinned(request: Request) -> bool:
    """Return whether the request says that its session has a version."""
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
        # A version that a newer revision no longer declares counts as withdrawn.
        return Failure(refusal(RefusalReason.VERSION_WITHDRAWN))
    rule = Rule.PINNED_SESSION if is_pinned(request) else Rule.NEW_WORK
    exclusion = version_rule(view, organisation, model.id, version, rule)
    if exclusion is Exclusion.NONE:
        return Success(None)
    return Failure(refusal(reason_of(exclusion)))


def reason_of(exclusion: Exclusion) -> RefusalReason:
    """Return the reason to give a caller whose only version a rule excluded."""
    if exclusion is Exclusion.NOT_PERMITTED:
        return RefusalReason.NOT_PERMITTED
    return RefusalReason.VERSION_WITHDRAWN
