"""Entries of the load bench, with baseline policies or the project's components."""

from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Any, TypeVar

from returns.result import Failure, Success

from benches._load_endpoints import FakeEndpoint, Job
from benches._load_events import Events
from benches._load_policies import Policy
from fuchsiaroute.admission import Admission, Ticket
from fuchsiaroute.balancing import (
    ColdSlotOwnership,
    Departures,
    EndpointChooser,
    Reservation,
    SlotOwner,
    Target,
)
from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.configuration import Configuration
from fuchsiaroute.endpoints import LoadReport, Outcome, WarmthFact
from fuchsiaroute.ids import EndpointId, Incarnation, InstanceId
from fuchsiaroute.request import Request
from fuchsiaroute.retry import MAX_REFUSED_ATTEMPTS
from fuchsiaroute.store import TableStore
from fuchsiaroute.verdict import Refusal, RefusalReason, Verdict

MAX_ATTEMPTS = 3
#: Maximum attempts when the last one was refused without running.
_MAX_ATTEMPTS_AFTER = {
    Outcome.REFUSED_COLD: MAX_REFUSED_ATTEMPTS,
    Outcome.REFUSED_FULL: MAX_REFUSED_ATTEMPTS,
}
#: Interval between two passes over the queued requests.
QUEUE_CHECK_INTERVAL_MS = 50

_Result = TypeVar("_Result")


@dataclass(kw_only=True, eq=False)
class Call:
    """A request and its current state or result."""

    request: Request
    target: Target
    service_time: float
    arrived_at: Milliseconds
    first_token_at: Milliseconds | None = None
    is_answered: bool = False
    is_over: bool = False
    refusal: Refusal | None = None
    attempts: int = 0
    #: Cancels the attempt or queue position of the call.
    cancel: Callable[[], None] = field(default=lambda: None)


def run_now(coroutine: Coroutine[Any, Any, _Result]) -> _Result:
    """Run a coroutine that never suspends, such as a call of the in-memory store."""
    try:
        coroutine.send(None)
    except StopIteration as stop:
        return stop.value  # type: ignore[no-any-return]
    raise RuntimeError("the coroutine suspended")


@dataclass(kw_only=True)
class PolicyEntry:
    """An entry with a policy only, without admission or endpoint states."""

    events: Events
    policy: Policy

    def submit(self, call: Call) -> None:
        """Dispatch ``call``."""
        call.attempts += 1
        endpoint = self.policy.choose()

        def record_first_token() -> None:
            call.first_token_at = call.first_token_at or self.events.clock.now()

        def end(outcome: Outcome) -> None:
            if outcome is Outcome.ANSWERED:
                call.is_answered = call.is_over = True
            elif not call.is_over and call.attempts < MAX_ATTEMPTS:
                self.submit(call)

        job = Job(
            service_time=call.service_time,
            on_first_token=record_first_token,
            on_end=end,
        )
        call.cancel = lambda: endpoint.cancel(job)
        endpoint.submit(job, Incarnation(0))


class ProjectEntry:
    """An entry with the project's chooser, admission and cold slots."""

    def __init__(
        self,
        *,
        name: InstanceId,
        events: Events,
        fakes: dict[EndpointId, FakeEndpoint],
        random: Random,
        store: TableStore,
    ) -> None:
        clock = events.clock
        self.name = name
        self.chooser = EndpointChooser(entry=name, clock=clock, random=random)
        self.admission = Admission(clock=clock, random=random)
        owner = SlotOwner(instance=name, incarnation=Incarnation(1))
        self._cold_slot_ownership = ColdSlotOwnership(
            owner=owner,
            store=store,
            slots=self.chooser.cold_slots,
            departures=Departures(owner=owner, clock=clock),
            clock=clock,
        )
        self._events = events
        self._fakes = fakes
        self._waiting: dict[int, Call] = {}
        self._tickets: dict[int, Ticket] = {}
        events.every(QUEUE_CHECK_INTERVAL_MS, self.dispatch_queued)

    def update(self, configuration: Configuration) -> None:
        """Apply a configuration."""
        self.chooser.update_configuration(configuration)
        self.admission.update_configuration(configuration)

    def run_maintenance(
        self, configuration: Configuration, members: Sequence[InstanceId]
    ) -> None:
        """Run the maintenance that an entry does once a second."""
        self.chooser.update_members(members)
        run_now(self._cold_slot_ownership.step(configuration.endpoints, members))

    def merge_warmth(self, facts: Sequence[WarmthFact]) -> None:
        """Merge the warmth of endpoints known to other entries."""
        self.chooser.merge_warmth(facts)

    def report(self, reports: Sequence[LoadReport]) -> None:
        """Record load reports of endpoints."""
        for report in reports:
            self.chooser.record_load_report(report)

    def submit(self, call: Call) -> None:
        """Admit ``call`` and dispatch or queue it, or refuse it."""
        admitted = self.admission.admit(call.request)
        if isinstance(admitted, Failure):
            self._refuse(call, admitted.failure())
            return
        ticket = admitted.unwrap()
        self._tickets[ticket.number] = ticket
        self._dispatch_or_enqueue(call, ticket)

    def dispatch_queued(self) -> None:
        """Dispatch queued calls that have a free slot; refuse expired ones."""
        for target in self.admission.targets():
            for ticket, refusal in self.admission.expire(target):
                self._refuse(self._waiting.pop(ticket.number), refusal)
                self.admission.release(ticket, is_answered=False)
            while (head := self.admission.head(target)) is not None:
                call = self._waiting[head.number]
                chosen = self.chooser.choose(call.request, call.target)
                if not isinstance(chosen, Success):
                    break
                del self._waiting[head.number]
                self.admission.start(head, target)
                self._dispatch(call, head, chosen.unwrap())

    def _dispatch_or_enqueue(self, call: Call, ticket: Ticket) -> None:
        if not self.admission.must_wait(call.target):
            chosen = self.chooser.choose(call.request, call.target)
            if isinstance(chosen, Success):
                self._dispatch(call, ticket, chosen.unwrap())
                return
            if chosen.failure().reason is not RefusalReason.OVERLOADED:
                self._refuse_and_release(call, ticket, chosen.failure())
                return
        queued = self.admission.enqueue(ticket, call.target)
        if isinstance(queued, Failure):
            self._refuse_and_release(call, ticket, queued.failure())
            return
        self._waiting[ticket.number] = call
        call.cancel = lambda: self._abandon(call, ticket)

    def _dispatch(self, call: Call, ticket: Ticket, reservation: Reservation) -> None:
        call.attempts += 1
        endpoint = self._fakes[reservation.endpoint.id]

        def record_first_token() -> None:
            call.first_token_at = call.first_token_at or self._events.clock.now()

        def end(outcome: Outcome) -> None:
            self.chooser.record_incarnation(endpoint.endpoint.id, endpoint.incarnation)
            self.chooser.release(reservation, outcome)
            self._finish_attempt(call, ticket, outcome)
            self.dispatch_queued()

        def cancel() -> None:
            endpoint.cancel(job)
            self.chooser.release(reservation, Outcome.CANCELLED)
            self.admission.release(ticket, is_answered=False)

        job = Job(
            service_time=call.service_time,
            on_first_token=record_first_token,
            on_end=end,
        )
        call.cancel = cancel
        endpoint.submit(job, reservation.warmth.incarnation)

    def _finish_attempt(self, call: Call, ticket: Ticket, outcome: Outcome) -> None:
        if outcome is Outcome.ANSWERED:
            call.is_answered = call.is_over = True
            self.admission.release(ticket, is_answered=True)
        elif call.attempts < _MAX_ATTEMPTS_AFTER.get(outcome, MAX_ATTEMPTS):
            self._dispatch_or_enqueue(call, ticket)
        else:
            self._refuse_and_release(call, ticket, _EXHAUSTED)

    def _refuse_and_release(self, call: Call, ticket: Ticket, refusal: Refusal) -> None:
        self.admission.release(ticket, is_answered=False)
        self._refuse(call, refusal)

    def _refuse(self, call: Call, refusal: Refusal) -> None:
        call.refusal = refusal
        call.is_over = True

    def _abandon(self, call: Call, ticket: Ticket) -> None:
        self._waiting.pop(ticket.number, None)
        self.admission.leave(ticket, call.target)
        self.admission.release(ticket, is_answered=False)


_EXHAUSTED = Refusal(
    reason=RefusalReason.ENDPOINT_FAILED,
    verdict=Verdict.MAY_HAVE_RUN,
    message="every attempt failed",
)
