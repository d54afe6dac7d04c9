"""The budget of store calls of each function, for all entries together."""

from dataclasses import dataclass
from enum import Enum

from fuchsiaroute.clock import Clock, Milliseconds

MILLISECONDS_PER_SECOND = 1_000
#: Calls that an idle function may make without a pause.
BURST = 2.0
#: The same for a function in the path of requests that makes few calls.
REQUEST_PATH_BURST = 32.0


class StoreFunction(Enum):
    """What a call of the table service is made for."""

    CONFIGURATION = "configuration"
    CLAIMS = "claims"
    LEDGER = "ledger"
    PLACEMENT = "placement"
    SPENDING = "spending"
    QUALITY = "quality"
    ENDPOINTS = "endpoints"


@dataclass(frozen=True, kw_only=True)
class StoreBudget:
    """Calls a second that one function makes."""

    reads_per_second: float
    writes_per_second: float
    #: Whether all entries share the budget evenly. Otherwise each has the whole, since
    #: few of them use it at a time.
    is_divided: bool = True
    #: Calls that an idle entry may make without a pause.
    burst: float = BURST

    def share(self, entry_count: int) -> "StoreBudget":
        """Return what one of ``entry_count`` entries may use."""
        if not self.is_divided:
            return self
        return StoreBudget(
            reads_per_second=self.reads_per_second / entry_count,
            writes_per_second=self.writes_per_second / entry_count,
            burst=self.burst,
        )


#: Divided budgets come to 1,540 reads and 375 writes a second, under the service's
#: about two thousand reads and several hundred writes.
BUDGETS = {
    StoreFunction.CONFIGURATION: StoreBudget(reads_per_second=800, writes_per_second=5),
    StoreFunction.CLAIMS: StoreBudget(reads_per_second=400, writes_per_second=200),
    StoreFunction.LEDGER: StoreBudget(reads_per_second=100, writes_per_second=100),
    # Writes are made by lease holders, one for each failure domain.
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
    """Token bucket whose waiters are served in order."""

    def __init__(
        self, *, clock: Clock, rate_per_second: float, burst: float = BURST
    ) -> None:
        self._clock = clock
        self._burst = burst
        self._rate = rate_per_second / MILLISECONDS_PER_SECOND
        self._tokens = burst
        self._filled_at = clock.now()

    def set_rate(self, rate_per_second: float) -> None:
        """Change the rate, for example because entries came or went."""
        self._fill()
        self._rate = rate_per_second / MILLISECONDS_PER_SECOND

    def drop_burst(self) -> None:
        """Give up the tokens that were saved."""
        self._fill()
        self._tokens = min(0.0, self._tokens)

    async def ready(self) -> None:
        """Wait until a token is there, without taking it."""
        while (delay := self._delay()) > 0:
            await self._clock.sleep(delay)

    async def take(self) -> None:
        """Take a token, and wait until it has been earned."""
        self._fill()
        self._tokens -= 1
        delay = self._delay(threshold=0)
        if delay > 0:
            await self._clock.sleep(delay)

    def _delay(self, *, threshold: float = 1) -> Milliseconds:
        self._fill()
        missing = threshold - self._tokens
        if missing <= 0:
            return Milliseconds(0)
        return Milliseconds(int(missing / self._rate) + 1)

    def _fill(self) -> None:
        now = self._clock.now()
        earned = (now - self._filled_at) * self._rate
        self._tokens = min(self._burst, self._tokens + earned)
        self._filled_at = now
