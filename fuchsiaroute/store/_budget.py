"""Budgets of store calls per function, shared by all entries."""

from dataclasses import dataclass
from enum import Enum

from fuchsiaroute.clock import Clock, Milliseconds

MILLISECONDS_PER_SECOND = 1_000
#: Calls that a function may make without delay after being idle.
DEFAULT_BURST = 2.0
#: Burst of a function that is in the request path and makes few calls.
REQUEST_PATH_BURST = 32.0


class StoreFunction(Enum):
    """Purpose of a call of the table service."""

    CONFIGURATION = "configuration"
    CLAIMS = "claims"
    LEDGER = "ledger"
    PLACEMENT = "placement"
    SPENDING = "spending"
    QUALITY = "quality"
    ENDPOINTS = "endpoints"


@dataclass(frozen=True, kw_only=True)
class StoreBudget:
    """Rate limits of the store calls of one function."""

    reads_per_second: float
    writes_per_second: float
    #: Whether the budget is divided evenly among all entries. Otherwise each entry has
    #: all of it, since few use it at a time.
    is_divided: bool = True
    #: Calls that an entry may make without delay after being idle.
    burst: float = DEFAULT_BURST

    def share(self, entry_count: int) -> "StoreBudget":
        """Return what one of ``entry_count`` entries may use."""
        if not self.is_divided:
            return self
        return StoreBudget(
            reads_per_second=self.reads_per_second / entry_count,
            writes_per_second=self.writes_per_second / entry_count,
            burst=self.burst,
        )


#: The divided budgets add up to 1,540 reads and 375 writes a second. The service takes
#: about two thousand reads and several hundred writes a second.
BUDGETS = {
    StoreFunction.CONFIGURATION: StoreBudget(reads_per_second=800, writes_per_second=5),
    StoreFunction.CLAIMS: StoreBudget(reads_per_second=400, writes_per_second=200),
    StoreFunction.LEDGER: StoreBudget(reads_per_second=100, writes_per_second=100),
    # Only lease holders write, one for each failure domain.
    StoreFunction.PLACEMENT: StoreBudget(
        reads_per_second=5, writes_per_second=3, is_divided=False
    ),
    StoreFunction.SPENDING: StoreBudget(
        reads_per_second=90, writes_per_second=30, burst=REQUEST_PATH_BURST
    ),
    StoreFunction.QUALITY: StoreBudget(reads_per_second=90, writes_per_second=30),
    StoreFunction.ENDPOINTS: StoreBudget(reads_per_second=60, writes_per_second=10),
}


class TokenBucket:
    """Token bucket that serves waiting calls in order of arrival."""

    def __init__(
        self, *, clock: Clock, rate_per_second: float, burst: float = DEFAULT_BURST
    ) -> None:
        self._clock = clock
        self._burst = burst
        self._rate = rate_per_second / MILLISECONDS_PER_SECOND
        self._tokens = burst
        self._refilled_at = clock.now()

    def set_rate(self, rate_per_second: float) -> None:
        """Change the rate, for example because the number of entries has changed."""
        self._refill()
        self._rate = rate_per_second / MILLISECONDS_PER_SECOND

    def discard_tokens(self) -> None:
        """Discard the accumulated tokens."""
        self._refill()
        self._tokens = min(0.0, self._tokens)

    async def wait_for_token(self) -> None:
        """Wait until a token is available, without taking it."""
        while (delay := self._delay()) > 0:
            await self._clock.sleep(delay)

    async def acquire(self) -> None:
        """Take a token in advance, and wait until it has accrued."""
        self._refill()
        self._tokens -= 1
        delay = self._delay(threshold=0)
        if delay > 0:
            await self._clock.sleep(delay)

    def _delay(self, *, threshold: float = 1) -> Milliseconds:
        self._refill()
        missing = threshold - self._tokens
        if missing <= 0:
            return Milliseconds(0)
        return Milliseconds(int(missing / self._rate) + 1)

    def _refill(self) -> None:
        now = self._clock.now()
        accrued = (now - self._refilled_at) * self._rate
        self._tokens = min(self._burst, self._tokens + accrued)
        self._refilled_at = now
