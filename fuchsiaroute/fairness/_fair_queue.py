"""Fair queue of the requests that wait for one target."""

from collections import OrderedDict
from collections.abc import Iterator, Mapping

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.fairness._ticket import Ticket
from fuchsiaroute.ids import OrganisationId

#: Tickets of one organisation and one priority, by number in order of arrival.
_Flow = OrderedDict[int, Ticket]


class FairQueue:
    """
    Waiting tickets, ordered by priority and then by the organisations' fair shares.

    Among organisations of one priority the one with the fewest running requests per
    weight starts first, so that a flood from one organisation delays only its own
    requests.
    """

    def __init__(self) -> None:
        self._flows: dict[tuple[int, OrganisationId], _Flow] = {}

    def __len__(self) -> int:
        return sum(len(flow) for flow in self._flows.values())

    def __iter__(self) -> Iterator[Ticket]:
        for flow in self._flows.values():
            yield from flow.values()

    def push(self, ticket: Ticket) -> None:
        """Add a ticket, in order of arrival within its organisation and priority."""
        key = (ticket.priority, ticket.request.organisation)
        flow = self._flows.setdefault(key, OrderedDict())
        is_requeued = bool(flow) and next(iter(flow)) > ticket.number
        flow[ticket.number] = ticket
        if is_requeued:
            flow.move_to_end(ticket.number, last=False)

    def remove(self, ticket: Ticket) -> bool:
        """Remove a ticket; return whether it was waiting."""
        key = (ticket.priority, ticket.request.organisation)
        flow = self._flows.get(key)
        if flow is None or ticket.number not in flow:
            return False
        del flow[ticket.number]
        if not flow:
            del self._flows[key]
        return True

    def head(self, running: Mapping[OrganisationId, int]) -> Ticket | None:
        """Return the ticket that starts next, or None if the queue is empty."""
        heads = [next(iter(flow.values())) for flow in self._flows.values()]
        if not heads:
            return None

        def sort_key(ticket: Ticket) -> tuple[int, float, int]:
            share = running.get(ticket.request.organisation, 0) / ticket.weight
            return (-ticket.priority, share, ticket.number)

        return min(heads, key=sort_key)

    def expired(self, now: Milliseconds) -> list[Ticket]:
        """Return the waiting tickets that can no longer meet their deadline."""
        return [ticket for ticket in self if ticket.latest_start < now]

    def ahead_of(self, ticket: Ticket) -> float:
        """Return the expected number of waiting tickets to start before ``ticket``."""
        own = self._flows.get((ticket.priority, ticket.request.organisation), ())
        rounds = (len(own) + 1) / ticket.weight
        ahead = float(len(own))
        for (priority, organisation), flow in self._flows.items():
            if priority > ticket.priority:
                ahead += len(flow)
            is_peer = priority == ticket.priority
            if is_peer and organisation != ticket.request.organisation:
                weight = next(iter(flow.values())).weight
                ahead += min(len(flow), rounds * weight)
        return ahead
