"""Refusals by the gateway itself, before the request is dispatched."""

from fuchsiaroute.verdict import Refusal, RefusalReason, Verdict


def refuse(reason: RefusalReason, message: str) -> Refusal:
    """Return the refusal of a request that was not run."""
    return Refusal(reason=reason, verdict=Verdict.NOT_RUN, message=message)


def invalid(message: str) -> Refusal:
    """Return the refusal of a malformed request."""
    return refuse(RefusalReason.INVALID_REQUEST, message)
