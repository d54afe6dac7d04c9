"""Client of the table service with timeout, circuit breaker and budgets."""

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from enum import Enum
from random import Random
from typing import Any, Literal, TypeVar

from returns.result import Failure, Result, Success

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.store._budget import BUDGETS, StoreBudget, StoreFunction, TokenBucket
from fuchsiaroute.store._circuit import CircuitBreaker, CircuitState
from fuchsiaroute.store._table_store import (
    Committed,
    Conflict,
    Record,
    StoreError,
    StoreErrorKind,
    TableStore,
    Transaction,
)

#: Longest duration of a call; a longer one counts as failed.
CALL_TIMEOUT = Milliseconds(1_000)

_Answer = TypeVar("_Answer")


class TimedOut(Enum):
    """Sentinel: the call did not end before its timeout."""

    TOKEN = "timed-out"


async def run_with_timeout(
    clock: Clock, max_wait: Milliseconds, call: Coroutine[Any, Any, _Answer]
) -> _Answer | Literal[TimedOut.TOKEN]:
    """Return the answer of ``call``, or cancel it after ``max_wait`` on ``clock``."""
    task = asyncio.ensure_future(call)
    timer = asyncio.ensure_future(clock.sleep(max_wait))
    try:
        await asyncio.wait({task, timer}, return_when=asyncio.FIRST_COMPLETED)
        if task.done():
            return task.result()
        return TimedOut.TOKEN
    finally:
        task.cancel()
        timer.cancel()


class StoreClient:
    """Table service client of one entry; all functions share a circuit breaker."""

    def __init__(
        self,
        store: TableStore,
        *,
        clock: Clock,
        random: Random,
        entry_count: Callable[[], int] = lambda: 1,
        timeout: Milliseconds = CALL_TIMEOUT,
    ) -> None:
        self._store = store
        self._clock = clock
        self._circuit = CircuitBreaker(random=random)
        self._entry_count = entry_count
        self._timeout = timeout
        self._views = {item: StoreView(self, item, clock) for item in StoreFunction}

    @property
    def circuit_state(self) -> CircuitState:
        """Return the state of the circuit breaker."""
        return self._circuit.state

    @property
    def entry_count(self) -> int:
        """Return the number of entries that share the budgets."""
        return max(1, self._entry_count())

    @property
    def is_refusing(self) -> bool:
        """Return whether a call made now would be refused by the circuit breaker."""
        is_probing = self._circuit.state is CircuitState.PROBING
        return is_probing or self.retry_after() > 0

    def retry_after(self) -> Milliseconds:
        """Return the time until the next probe of a failing store."""
        return self._circuit.retry_after(self._clock.now())

    def view(self, function: StoreFunction) -> "StoreView":
        """Return the table service as ``function`` may use it."""
        return self._views[function]

    async def call(
        self,
        call: Callable[[TableStore], Coroutine[Any, Any, Result[_Answer, StoreError]]],
    ) -> Result[_Answer, StoreError]:
        """Make one call, subject to the circuit breaker and the timeout."""
        if not self._circuit.allows(self._clock.now()):
            return Failure(_CIRCUIT_OPEN)
        try:
            answer = await run_with_timeout(
                self._clock, self._timeout, call(self._store)
            )
        except asyncio.CancelledError:
            self._circuit.abandon_probe(self._clock.now())
            raise
        if isinstance(answer, TimedOut):
            self._circuit.record_failure(self._clock.now())
            return Failure(_error(StoreErrorKind.UNKNOWN, "no answer in time"))
        if isinstance(answer, Success):
            self._record_success()
        else:
            self._circuit.record_failure(self._clock.now())
        return answer

    def _record_success(self) -> None:
        if self._circuit.state is not CircuitState.CLOSED:
            # All entries would otherwise send their bursts at once to a store that has
            # just recovered.
            for view in self._views.values():
                view.discard_tokens()
        self._circuit.record_success()


class StoreView:
    """The table service for one function; implements ``TableStore``."""

    def __init__(
        self, client: StoreClient, function: StoreFunction, clock: Clock
    ) -> None:
        budget = BUDGETS[function]
        self._client = client
        self._budget = budget
        self._read_tokens = TokenBucket(
            clock=clock, rate_per_second=budget.reads_per_second, burst=budget.burst
        )
        self._write_tokens = TokenBucket(
            clock=clock, rate_per_second=budget.writes_per_second, burst=budget.burst
        )
        #: Calls made so far, within the budget.
        self.reads = 0
        self.writes = 0

    @property
    def retry_after(self) -> Milliseconds:
        """Return the time until the next probe of a failing store; 0 if none."""
        return self._client.retry_after()

    @property
    def _share(self) -> StoreBudget:
        return self._budget.share(self._client.entry_count)

    @property
    def is_refusing(self) -> bool:
        """Return whether a call made now would be refused by the circuit breaker."""
        return self._client.is_refusing

    def discard_tokens(self) -> None:
        """Discard the accumulated tokens of both budgets."""
        self._read_tokens.discard_tokens()
        self._write_tokens.discard_tokens()

    async def wait_for_write_budget(self) -> None:
        """Wait until the budget allows a write, so that a batch can grow meanwhile."""
        self._write_tokens.set_rate(self._share.writes_per_second)
        await self._write_tokens.wait_for_token()

    async def read(self, keys: Sequence[str]) -> Result[tuple[Record, ...], StoreError]:
        """Return a record per key, in the order of ``keys``."""
        return await self._read(lambda store: store.read(keys))

    async def scan(
        self, prefix: str, *, limit: int
    ) -> Result[tuple[Record, ...], StoreError]:
        """Return at most ``limit`` records whose keys start with ``prefix``."""
        return await self._read(lambda store: store.scan(prefix, limit=limit))

    async def commit(
        self, transaction: Transaction
    ) -> Result[Committed | Conflict, StoreError]:
        """Apply ``transaction`` as a whole, or nothing of it."""
        if self._client.is_refusing:
            return Failure(_CIRCUIT_OPEN)
        self._write_tokens.set_rate(self._share.writes_per_second)
        await self._write_tokens.acquire()
        self.writes += 1
        return await self._client.call(lambda store: store.commit(transaction))

    async def _read(
        self,
        call: Callable[
            [TableStore],
            Coroutine[Any, Any, Result[tuple[Record, ...], StoreError]],
        ],
    ) -> Result[tuple[Record, ...], StoreError]:
        if self._client.is_refusing:
            return Failure(_CIRCUIT_OPEN)
        self._read_tokens.set_rate(self._share.reads_per_second)
        await self._read_tokens.acquire()
        self.reads += 1
        return await self._client.call(call)


def _error(kind: StoreErrorKind, message: str) -> StoreError:
    return StoreError(kind=kind, message=message)


_CIRCUIT_OPEN = _error(StoreErrorKind.REFUSED, "the circuit is open")
