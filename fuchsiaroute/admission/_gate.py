"""The waiting room: tasks that wait for an endpoint, woken in a fair order."""

import asyncio
from collections.abc import Callable
from typing import TypeVar

from returns.result import Failure, Result, Success

from fuchsiaroute.admission._admission import Admission
from fuchsiaroute.fairness import Ticket
from fuchsiaroute.verdict import Refusal, RefusalReason

_Place = TypeVar("_Place")
#: Reserves a place for a request, or says why there is none.
Reserve = Callable[[], Result[_Place, Refusal]]


class AdmissionGate:
    """Lets requests start in the order that ``Admission`` decides."""

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
        Reserve a place now, or wait for one while the deadline can be met.

        A caller that goes away in the very moment in which a place is found never
        sees the place; ``release`` gets it then.
        """
        if not self._admission.must_wait(target):
            outcome = reserve()
            if not _is_overload(outcome):
                return outcome
        queued = self._admission.enqueue(ticket, target)
        if isinstance(queued, Failure):
            return Failure(queued.failure())
        places: list[Result[_Place, Refusal]] = []

        def attempt() -> bool:
            outcome = reserve()
            if _is_overload(outcome):
                return False
            places.append(outcome)
            return True

        waiter = _Waiter(attempt)
        self._waiters[ticket.number] = waiter
        try:
            refusal = await waiter.woken
        except asyncio.CancelledError:
            self._admission.leave(ticket, target)
            for place in places:
                place.map(release)
            raise
        finally:
            self._waiters.pop(ticket.number, None)
        return places[0] if refusal is None else Failure(refusal)

    def wake(self) -> None:
        """
        Start what can start and refuse what waits in vain.

        To be called whenever a request ends or a load report arrives, and at least
        every 100 ms.
        """
        for target in self._admission.targets():
            for ticket, refusal in self._admission.expire(target):
                self._waiters[ticket.number].resolve(refusal)
            self._start_all(target)

    def _start_all(self, target: str) -> None:
        while (ticket := self._admission.head(target)) is not None:
            waiter = self._waiters[ticket.number]
            if waiter.woken.done():
                # The caller has gone, and its task has not run since.
                self._admission.leave(ticket, target)
                continue
            if not waiter.attempt():
                return
            self._admission.start(ticket, target)
            waiter.resolve(None)


class _Waiter:
    def __init__(self, attempt: Callable[[], bool]) -> None:
        self.attempt = attempt
        self.woken: asyncio.Future[Refusal | None]
        self.woken = asyncio.get_running_loop().create_future()

    def resolve(self, refusal: Refusal | None) -> None:
        if not self.woken.done():
            self.woken.set_result(refusal)


def _is_overload(outcome: Result[_Place, Refusal]) -> bool:
    if isinstance(outcome, Success):
        return False
    return outcome.failure().reason is RefusalReason.OVERLOADED
