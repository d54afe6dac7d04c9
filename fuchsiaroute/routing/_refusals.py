"""
Refusals of the router.

A refusal reads the same whether a name is unknown or another organisation's, so that
a caller learns nothing of models it is not permitted.
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
    """Return the refusal of a request that this check kept from running."""
    return Refusal(reason=reason, verdict=Verdict.NOT_RUN, message=_MESSAGES[reason])


def invalid_request(message: str) -> Refusal:
    """Return the refusal of a request that contradicts itself."""
    return Refusal(
        reason=RefusalReason.INVALID_REQUEST,
        verdict=Verdict.NOT_RUN,
        message=message,
    )
