"""Whether a request may be attempted once more."""

from enum import Enum

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.request import Request
from fuchsiaroute.retry._budget import RetryBudget
from fuchsiaroute.verdict import Verdict

#: Attempts of one request on one version.
MAX_ATTEMPTS = 3
#: Attempts of one request that endpoints refused before they ran anything.
MAX_REFUSED_ATTEMPTS = 6
#: Time to the deadline below which another attempt is of no use.
LEAST_REMAINING = Milliseconds(50)


class RetryDecision(Enum):
    """What to do after a failed attempt."""

    RETRY = "retry"
    #: The request may have run and is not idempotent.
    UNSAFE = "unsafe"
    #: The request has had its attempts.
    EXHAUSTED = "exhausted"
    #: The deadline is too close.
    TOO_LATE = "too-late"
    #: Too many requests are being retried.
    OVER_BUDGET = "over-budget"


class RetryPolicy:
    """Decides on retries of one entry."""

    def __init__(self, *, clock: Clock, budget: RetryBudget) -> None:
        self._clock = clock
        self._budget = budget

    def begin(self) -> None:
        """Note the first attempt of a request."""
        self._budget.note_first_attempt()

    def decide(
        self, request: Request, *, verdict: Verdict, attempts: int
    ) -> RetryDecision:
        """
        Decide after ``attempts`` attempts, the latest of which ended with ``verdict``.

        A refusal to run cost the endpoint nothing, so it spends no budget.
        """
        is_not_run = verdict is Verdict.NOT_RUN
        if not (is_not_run or request.is_idempotent):
            return RetryDecision.UNSAFE
        if attempts >= (MAX_REFUSED_ATTEMPTS if is_not_run else MAX_ATTEMPTS):
            return RetryDecision.EXHAUSTED
        if request.deadline - self._clock.wall() < LEAST_REMAINING:
            return RetryDecision.TOO_LATE
        if not is_not_run and not self._budget.spend():
            return RetryDecision.OVER_BUDGET
        return RetryDecision.RETRY

    def may_hedge(self, request: Request) -> bool:
        """Return whether a second attempt may run beside a slow first one."""
        return request.is_idempotent and self._budget.spend()
