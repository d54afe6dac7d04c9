"""Refusals that the gateway itself gives; none of these requests has run."""

from fuchsiaroute.verdict import Refusal, RefusalReason, Verdict


def refuse(reason: RefusalReason, message: str) -> Refusal:
    """Return the refusal of a request that was not run."""
    return Refusal(reason=reason, verdict=Verdict.NOT_RUN, message=message)


def invalid(message: str) -> Refusal:
    """Return the refusal of a request that could not be understood."""
    return refuse(RefusalReason.INVALID_REQUEST, message)
