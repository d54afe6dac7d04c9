"""Admission: the limits on the work that an entry takes."""

from returns.result import Result

from fuchsiaroute.admission import Admission, AdmissionGate, Ticket
from fuchsiaroute.request import Request
from fuchsiaroute.verdict import Refusal


class GatedAdmitStep:
    """Admits requests by deadline and fair shares; implements ``AdmitStep``."""

    def __init__(self, *, admission: Admission, gate: AdmissionGate) -> None:
        self._admission = admission
        self._gate = gate
        # Two requests may be equal, so the tickets go by the objects themselves.
        self._tickets: dict[int, Ticket] = {}
        self._answered: set[int] = set()

    async def admit(self, request: Request) -> Result[None, Refusal]:
        """Admit ``request`` or refuse it; an admitted one must be released."""
        admitted = self._admission.admit(request)
        return admitted.map(lambda ticket: self._keep(request, ticket))

    def ticket(self, request: Request) -> Ticket:
        """Return the ticket of an admitted request."""
        return self._tickets[id(request)]

    def note_answered(self, request: Request) -> None:
        """Note that an endpoint has given ``request`` a whole answer."""
        self._answered.add(id(request))

    def release(self, request: Request) -> None:
        """Give back what ``request`` held, and let others start."""
        ticket = self._tickets.pop(id(request))
        is_answered = id(request) in self._answered
        self._answered.discard(id(request))
        self._admission.release(ticket, is_answered=is_answered)
        self._gate.wake()

    def _keep(self, request: Request, ticket: Ticket) -> None:
        self._tickets[id(request)] = ticket
