"""Refusals of admission; nothing has been dispatched for any of them."""

from random import Random

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.verdict import Refusal, RefusalReason, Verdict

#: Bounds of the advice on when to retry.
SHORTEST_RETRY_AFTER = Milliseconds(500)
LONGEST_RETRY_AFTER = Milliseconds(10_000)
#: Largest random extension of the advice, so that callers do not return at once.
RETRY_SPREAD = 0.5


def deadline_refusal() -> Refusal:
    """Return the refusal of a request whose deadline has passed."""
    return Refusal(
        reason=RefusalReason.DEADLINE,
        verdict=Verdict.NOT_RUN,
        message="the deadline of the request has passed",
    )


def overload_refusal(wait: Milliseconds, random: Random) -> Refusal:
    """Return the refusal of a request that could only have waited in vain."""
    bounded = min(max(wait, SHORTEST_RETRY_AFTER), LONGEST_RETRY_AFTER)
    spread = 1.0 + RETRY_SPREAD * random.random()
    return Refusal(
        reason=RefusalReason.OVERLOADED,
        verdict=Verdict.NOT_RUN,
        message="the request could not start early enough to meet its deadline",
        retry_after=Milliseconds(round(bounded * spread)),
    )
