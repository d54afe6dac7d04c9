"""Refusals of requests that have not been dispatched."""

from random import Random

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.verdict import Refusal, RefusalReason, Verdict

#: Bounds of the retry-after time before jitter.
MIN_RETRY_AFTER = Milliseconds(500)
MAX_RETRY_AFTER = Milliseconds(10_000)
#: Maximum random extension, as a fraction, so that callers do not retry in sync.
RETRY_AFTER_JITTER = 0.5


def deadline_refusal() -> Refusal:
    """Return the refusal of a request whose deadline has passed."""
    return Refusal(
        reason=RefusalReason.DEADLINE,
        verdict=Verdict.NOT_RUN,
        message="the deadline of the request has passed",
    )


def overload_refusal(wait: Milliseconds, random: Random) -> Refusal:
    """Return the refusal of a request whose expected wait is too long."""
    bounded = min(max(wait, MIN_RETRY_AFTER), MAX_RETRY_AFTER)
    jitter = 1.0 + RETRY_AFTER_JITTER * random.random()
    return Refusal(
        reason=RefusalReason.OVERLOADED,
        verdict=Verdict.NOT_RUN,
        message="the request could not start early enough to meet its deadline",
        retry_after=Milliseconds(round(bounded * jitter)),
    )
