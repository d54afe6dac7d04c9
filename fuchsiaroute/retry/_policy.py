"""Decision whether a request may be attempted again."""

from enum import Enum

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.request import Request
from fuchsiaroute.retry._budget import RetryBudget
from fuchsiaroute.verdict import Verdict

#: Maximum attempts of one request on one version.
MAX_ATTEMPTS = 3
#: Maximum attempts if the latest one ended with NOT_RUN, for example by a refusal of
#: the endpoint.
MAX_REFUSED_ATTEMPTS = 6
#: Minimum time to the deadline for another attempt.
MIN_REMAINING = Milliseconds(50)


class RetryDecision(Enum):
    """What to do after a failed attempt."""

    RETRY = "retry"
    #: The request may have run and is not idempotent.
    UNSAFE = "unsafe"
    #: The maximum number of attempts has been made.
    EXHAUSTED = "exhausted"
    #: The deadline is too close.
    TOO_LATE = "too-late"
    #: The retry budget is exhausted.
    OVER_BUDGET = "over-budget"


class RetryPolicy:
    """Decides on retries and hedges for all requests of one entry."""

    def __init__(self, *, clock: Clock, budget: RetryBudget) -> None:
        self._clock = clock
        self._budget = budget

    def record_first_attempt(self) -> None:
        """Count the first attempt of a request towards the budget."""
        self._budget.record_first_attempt()

    def decide(
        self, request: Request, *, verdict: Verdict, attempts: int
    ) -> RetryDecision:
        """
        Decide after ``attempts`` attempts, the latest of which ended with ``verdict``.

        A retry after NOT_RUN spends no budget, because the refused attempt cost the
        endpoint nothing.
        """
        is_not_run = verdict is Verdict.NOT_RUN
        if not (is_not_run or request.is_idempotent):
            return RetryDecision.UNSAFE
        if attempts >= (MAX_REFUSED_ATTEMPTS if is_not_run else MAX_ATTEMPTS):
            return RetryDecision.EXHAUSTED
        if request.deadline - self._clock.wall() < MIN_REMAINING:
            return RetryDecision.TOO_LATE
        if not is_not_run and not self._budget.spend():
            return RetryDecision.OVER_BUDGET
        return RetryDecision.RETRY

    def may_hedge(self, request: Request) -> bool:
        """Return whether a second attempt may run beside a slow first one."""
        return request.is_idempotent and self._budget.spend()
