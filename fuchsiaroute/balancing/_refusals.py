"""Refusals of requests for which no endpoint is available."""

from fuchsiaroute.balancing._reservation import Target
from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.verdict import Refusal, RefusalReason, Verdict

#: Retry-after time sent to callers while every endpoint is full or cold.
FULL_RETRY_AFTER = Milliseconds(1_000)
#: Retry-after time sent to callers while no endpoint is in service.
NO_ENDPOINT_RETRY_AFTER = Milliseconds(2_000)


def refusal_for(*, is_full: bool, target: Target) -> Refusal:
    """Return the refusal: overloaded if ``is_full``, else no endpoint in service."""
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
        retry_after=NO_ENDPOINT_RETRY_AFTER,
    )
