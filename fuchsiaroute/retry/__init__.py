"""Decisions on retries and hedged requests, and retry budgets."""

from fuchsiaroute.retry._budget import RETRY_RATIO, RetryBudget
from fuchsiaroute.retry._policy import (
    MAX_ATTEMPTS,
    MAX_REFUSED_ATTEMPTS,
    RetryDecision,
    RetryPolicy,
)
from fuchsiaroute.retry._windowed_budget import WindowedRetryBudget

__all__ = [
    "MAX_ATTEMPTS",
    "MAX_REFUSED_ATTEMPTS",
    "RETRY_RATIO",
    "RetryBudget",
    "RetryDecision",
    "RetryPolicy",
    "WindowedRetryBudget",
]
