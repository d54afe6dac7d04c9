"""Suspends tasks that wait for an endpoint and resumes them in a fair order."""

import asyncio
from collections.abc import Callable
from typing import TypeVar

from returns.result import Failure, Result, Success

from fuchsiaroute.admission._admission import Admission
from fuchsiaroute.fairness import Ticket
from fuchsiaroute.verdict import Refusal, RefusalReason

_Place = TypeVar("_Place")
#: Reserves an endpoint for a request, or returns why none is available.
Reserve = Callable[[], Result[_Place, Refusal]]


class AdmissionGate:
    """Starts requests in the order that ``Admission`` decides."""

    def __init__(self, admission: Admission) -> None:
        self._admission = admission
        self._waiters: dict[int, _Waiter] = {}

    async def reserve(
        self,
        ticket: Ticket,
        target: str,
        reserve: Reserve[_Place],
        *,
        release: Callable[[_Place], None],
    ) -> Result[_Place, Refusal]:
        """
        Reserve an endpoint now, or wait for one while the deadline can be met.

        If the task is cancelled after an endpoint was reserved for it but before it
        resumed, the reservation is passed to ``release``.
        """
        if not self._admission.must_wait(target):
            outcome = reserve()
            if not _is_overload(outcome):
                return outcome
        queued = self._admission.enqueue(ticket, target)
        if isinstance(queued, Failure):
            return Failure(queued.failure())
        reservations: list[Result[_Place, Refusal]] = []

        def attempt() -> bool:
            outcome = reserve()
            if _is_overload(outcome):
                return False
            reservations.append(outcome)
            return True

        waiter = _Waiter(attempt)
        self._waiters[ticket.number] = waiter
        try:
            refusal = await waiter.future
        except asyncio.CancelledError:
            self._admission.leave(ticket, target)
            for reservation in reservations:
                reservation.map(release)
            raise
        finally:
            self._waiters.pop(ticket.number, None)
        return reservations[0] if refusal is None else Failure(refusal)

    def wake(self) -> None:
        """
        Start the requests that can start and refuse those that waited too long.

        Must be called whenever a request ends or a load report arrives, and at least
        every 100 ms.
        """
        for target in self._admission.targets():
            for ticket, refusal in self._admission.expire(target):
                self._waiters[ticket.number].resolve(refusal)
            self._start_waiting(target)

    def _start_waiting(self, target: str) -> None:
        while (ticket := self._admission.head(target)) is not None:
            waiter = self._waiters[ticket.number]
            if waiter.future.done():
                # The waiting task was cancelled but has not run since.
                self._admission.leave(ticket, target)
                continue
            if not waiter.attempt():
                return
            self._admission.start(ticket, target)
            waiter.resolve(None)


class _Waiter:
    def __init__(self, attempt: Callable[[], bool]) -> None:
        self.attempt = attempt
        self.future: asyncio.Future[Refusal | None]
        self.future = asyncio.get_running_loop().create_future()

    def resolve(self, refusal: Refusal | None) -> None:
        if not self.future.done():
            self.future.set_result(refusal)


def _is_overload(outcome: Result[_Place, Refusal]) -> bool:
    if isinstance(outcome, Success):
        return False
    return outcome.failure().reason is RefusalReason.OVERLOADED
