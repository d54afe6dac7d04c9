"""Admission of requests within the limits of an entry."""

from returns.result import Result

from fuchsiaroute.admission import Admission, AdmissionGate, Ticket
from fuchsiaroute.request import Request
from fuchsiaroute.verdict import Refusal


class GatedAdmitStep:
    """Admits requests by deadline and fair shares; implements ``AdmitStep``."""

    def __init__(self, *, admission: Admission, gate: AdmissionGate) -> None:
        self._admission = admission
        self._gate = gate
        # Keyed by ``id()``, because two requests in flight may compare equal.
        self._tickets: dict[int, Ticket] = {}
        self._answered: set[int] = set()

    async def admit(self, request: Request) -> Result[None, Refusal]:
        """Admit ``request`` or refuse it; an admitted request must be released."""
        admitted = self._admission.admit(request)
        return admitted.map(lambda ticket: self._store_ticket(request, ticket))

    def ticket(self, request: Request) -> Ticket:
        """Return the ticket of an admitted request."""
        return self._tickets[id(request)]

    def mark_answered(self, request: Request) -> None:
        """Record that ``request`` has received a complete answer."""
        self._answered.add(id(request))

    def release(self, request: Request) -> None:
        """Release the admission of ``request`` and start waiting requests."""
        ticket = self._tickets.pop(id(request))
        is_answered = id(request) in self._answered
        self._answered.discard(id(request))
        self._admission.release(ticket, is_answered=is_answered)
        self._gate.wake()

    def _store_ticket(self, request: Request, ticket: Ticket) -> None:
        self._tickets[id(request)] = ticket
