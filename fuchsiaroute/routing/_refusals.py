"""
Refusals of the router.

The message is the same for an unknown name and for one that is not permitted, so that
callers can't probe which models exist.
"""

from fuchsiaroute.verdict import Refusal, RefusalReason, Verdict

_MESSAGES = {
    RefusalReason.NOT_PERMITTED: "no permitted model or service matches the request",
    RefusalReason.VERSION_WITHDRAWN: (
        "the session's version has been withdrawn; start a new session"
    ),
    RefusalReason.COST_LIMIT: "the organisation has reached its cost limit",
}


def refusal(reason: RefusalReason) -> Refusal:
    """Return a refusal with verdict NOT_RUN and the message for ``reason``."""
    return Refusal(reason=reason, verdict=Verdict.NOT_RUN, message=_MESSAGES[reason])


def invalid_request(message: str) -> Refusal:
    """Return the refusal of a request with contradictory fields."""
    return Refusal(
        reason=RefusalReason.INVALID_REQUEST,
        verdict=Verdict.NOT_RUN,
        message=message,
    )
