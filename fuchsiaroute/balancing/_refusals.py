"""Refusals for want of an endpoint."""

from fuchsiaroute.balancing._reservation import Target
from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.verdict import Refusal, RefusalReason, Verdict

#: Advice for callers while every endpoint is full.
FULL_RETRY_AFTER = Milliseconds(1_000)
#: Advice for callers while no endpoint is in service.
ABSENT_RETRY_AFTER = Milliseconds(2_000)


def refusal_for(*, is_full: bool, target: Target) -> Refusal:
    """Return the refusal for a request for which no endpoint was found."""
    if is_full:
        return Refusal(
            reason=RefusalReason.OVERLOADED,
            verdict=Verdict.NOT_RUN,
            message=f"every endpoint of {target} that this entry uses is full or cold",
            retry_after=FULL_RETRY_AFTER,
        )
    return Refusal(
        reason=RefusalReason.NO_ENDPOINT,
        verdict=Verdict.NOT_RUN,
        message=f"no endpoint of {target} is in service",
        retry_after=ABSENT_RETRY_AFTER,
    )
