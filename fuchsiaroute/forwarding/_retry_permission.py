"""Decides whether a request may be sent to an endpoint once more."""

from collections.abc import Callable

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.forwarding._call import Call
from fuchsiaroute.ids import ServiceId
from fuchsiaroute.retry import WindowedRetryBudget

#: Sends beyond the route's attempts, to replace those that endpoints reject.
MAX_REJECTIONS = 2
#: Remaining time below which a request is not retried.
MIN_REMAINING_TO_RETRY = Milliseconds(40)
#: Share of the retry budget that escalations leave to retries of failed attempts and to
#: the resumption of broken streams.
ESCALATION_RESERVE = 0.05
#: Attempts that an escalation leaves for the resumption of its stream.
RESUME_RESERVE = 1


class RetryPermission:
    """
    Attempts, time and the retry budgets of the services.

    ``may_run_again`` returns whether the crashes under a request let it be sent again.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        new_budget: Callable[[], WindowedRetryBudget],
        is_stopping: Callable[[], bool],
        may_run_again: Callable[[Call], bool],
    ) -> None:
        self._clock = clock
        self._new_budget = new_budget
        self._is_stopping = is_stopping
        self._may_run_again = may_run_again
        self._budgets: dict[ServiceId, WindowedRetryBudget] = {}

    def record_request(self, call: Call) -> None:
        """Count a new request to a service for its retry budget."""
        self._retry_budget(call.service).record_first_attempt()

    def may_retry(self, call: Call) -> bool:
        """Return whether the request may be sent again; charges the retry budget."""
        if not self._is_retry_allowed(call):
            return False
        if call.charged_retries >= len(call.sent_to):
            # The last attempt was not sent, so the next one is not a further retry.
            return True
        # A retry counts whether the endpoint runs or rejects it.
        if not self._retry_budget(call.service).spend():
            return False
        call.charged_retries += 1
        return True

    def may_escalate(self, call: Call) -> bool:
        """Return whether a larger model may be asked; charges the retry budget."""
        reserve = RESUME_RESERVE if call.route.is_resumable else 0
        if (
            self._is_stopping()
            or not call.route.is_repeatable
            or call.possible_runs + reserve >= call.route.max_attempts
        ):
            return False
        if not self._retry_budget(call.service).spend(reserve_share=ESCALATION_RESERVE):
            return False
        call.charged_retries += 1
        return True

    def _is_retry_allowed(self, call: Call) -> bool:
        max_sends = call.route.max_attempts + MAX_REJECTIONS
        is_late = call.remaining(self._clock) < MIN_REMAINING_TO_RETRY
        if is_late or len(call.failure_reasons) > max_sends:
            return False
        if call.is_not_run:
            return len(call.sent_to) < max_sends
        if not self._may_run_again(call):
            return False
        return call.route.is_repeatable and call.possible_runs < call.route.max_attempts

    def _retry_budget(self, service: ServiceId) -> WindowedRetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets.setdefault(service, self._new_budget())
        return budget
