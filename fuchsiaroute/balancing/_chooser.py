"""Selection of an endpoint for each request of one entry."""

import itertools
import math
from collections.abc import Iterable, Mapping, Sequence
from random import Random

from returns.result import Failure, Result, Success

from fuchsiaroute.balancing._cold_slots import ColdSlots
from fuchsiaroute.balancing._estimate import LoadEstimate
from fuchsiaroute.balancing._loaded import LoadedEndpoint
from fuchsiaroute.balancing._peer_group import PeerGroup
from fuchsiaroute.balancing._refusals import refusal_for
from fuchsiaroute.balancing._reservation import Reservation, ReservationKind, Target
from fuchsiaroute.balancing._selection import select_endpoint
from fuchsiaroute.balancing._targets import TargetIndex
from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.configuration import Configuration
from fuchsiaroute.endpoints import (
    MAX_REQUEST_DURATION,
    UNSETTLED_OUTCOMES,
    EndpointRecord,
    EndpointState,
    EndpointTable,
    LoadReport,
    Outcome,
    WarmthFact,
)
from fuchsiaroute.ids import EndpointId, Incarnation, InstanceId
from fuchsiaroute.request import Request
from fuchsiaroute.store import InstanceRecord
from fuchsiaroute.verdict import Refusal

#: Fraction of the warm-up time over which the usable capacity of an endpoint that has
#: just become warm ramps up to its full capacity (slow start).
RAMP_SHARE = 1 / 3
#: Utilisation (estimated load / capacity) at which an endpoint gets no more requests.
MAX_UTILISATION = 1.1
#: Utilisation of the least utilised warm endpoint from which cold and warming
#: endpoints are used as well.
COLD_USE_UTILISATION = 0.8
#: Mean service time assumed before the first answer.
INITIAL_SERVICE_TIME = Milliseconds(4_000)
#: Weight of the newest request in the moving average of the service time.
SERVICE_TIME_EWMA_WEIGHT = 0.02
#: Time for which an endpoint that answered "full" gets no requests.
FULL_BACKOFF = Milliseconds(200)
#: Maximum time between a reservation and the first byte of its dispatch.
MAX_RESERVATION_AGE = Milliseconds(1_000)

_COLD_STATES = (EndpointState.COLD, EndpointState.WARMING)
_STATES_WITHOUT_NEW_WORK = (EndpointState.LEAVING, EndpointState.OUT)


class EndpointChooser:
    """
    Selects endpoints for the requests of one entry.

    Load, warmth and life cycle are derived from the outcomes of this entry's requests,
    the endpoints' delayed load reports, the platform's instance list and the messages
    of other entries. A cold endpoint gets a request only through a slot in
    ``cold_slots``.
    """

    def __init__(self, *, entry: InstanceId, clock: Clock, random: Random) -> None:
        self._clock = clock
        self._random = random
        self._numbers = itertools.count(1)
        self._estimates: dict[EndpointId, LoadEstimate] = {}
        self._mean_service_time = float(INITIAL_SERVICE_TIME)
        self._open: dict[int, Reservation] = {}
        self._targets = TargetIndex(entry)
        self._full_until: dict[EndpointId, Milliseconds] = {}
        self._peers = PeerGroup(entry=entry, clock=clock)
        #: Life cycle and warmth of each endpoint.
        self.table = EndpointTable(clock)
        #: Slots of cold endpoints that this entry owns.
        self.cold_slots = ColdSlots(clock)

    def update_configuration(self, configuration: Configuration) -> None:
        """Apply a configuration that came into force."""
        self.table.update_configuration(configuration)
        self._targets.update(configuration.endpoints)
        for endpoint in configuration.endpoints:
            self._estimates.setdefault(endpoint.id, LoadEstimate(self._clock))

    def update_instances(self, instances: Iterable[InstanceRecord]) -> None:
        """Apply the platform's list of instances."""
        self.table.update_instances(instances)

    def update_members(self, entries: Sequence[InstanceId]) -> None:
        """Replace the set of live entries; ``entries`` includes this one."""
        alive = self._peers.update(entries)
        for estimate in self._estimates.values():
            estimate.retain_peers(alive)

    def own_loads(self) -> dict[EndpointId, int]:
        """Return this entry's requests in flight per endpoint, zeros left out."""
        return {
            name: estimate.own
            for name, estimate in self._estimates.items()
            if estimate.own
        }

    def update_peer_loads(
        self, peer: InstanceId, loads: Mapping[EndpointId, int]
    ) -> None:
        """Replace the requests in flight per endpoint that another entry reported."""
        if self._peers.record_message(peer):
            for name, estimate in self._estimates.items():
                estimate.set_peer_load(peer, loads.get(name, 0))

    def record_load_report(self, report: LoadReport) -> None:
        """Apply a load report and the incarnation in it."""
        if report.endpoint not in self.table:
            return
        self.record_incarnation(report.endpoint, report.incarnation)
        self._estimates[report.endpoint].apply_report(report)

    def record_incarnation(
        self, endpoint: EndpointId, incarnation: Incarnation
    ) -> None:
        """
        Record the incarnation in an endpoint's answer or report.

        Must be called before ``release`` of the request that was answered.
        """
        if endpoint not in self.table:
            return
        previous = self.table[endpoint].warmth.incarnation
        self.table.record_incarnation(endpoint, incarnation)
        if incarnation > previous:
            self.cold_slots.release_unsettled(endpoint)

    def merge_warmth(self, facts: Iterable[WarmthFact]) -> None:
        """Merge warmth facts that other entries sent or stored."""
        for fact in facts:
            self.table.merge_warmth(fact)

    def choose(
        self,
        request: Request,
        target: Target,
        *,
        excluded: frozenset[EndpointId] = frozenset(),
    ) -> Result[Reservation, Refusal]:
        """Select an endpoint that serves ``target`` and count the request there."""
        self.table.advance()
        records = self._records(target, excluded)
        warm = self._warm(records)
        trial = self._trial(records, request)
        if trial is not None:
            return Success(self._reserve(trial, target, ReservationKind.TRIAL))
        usable = [item for item in warm if item.utilisation < MAX_UTILISATION]
        cold = self._cold(records, request, usable)
        if cold is not None:
            return Success(self._reserve(cold, target, ReservationKind.COLD_SLOT))
        if not usable:
            return Failure(
                refusal_for(is_full=_is_any_in_service(records), target=target)
            )
        chosen = select_endpoint(
            usable,
            prefix_hash=request.prefix_hash,
            mean_service_time=Milliseconds(round(self._mean_service_time)),
            random=self._random,
        )
        return Success(self._reserve(chosen.record, target, ReservationKind.WARM))

    def may_dispatch(self, reservation: Reservation) -> bool:
        """
        Return whether ``reservation`` is still valid.

        Must be checked right before the first byte is sent: since the reservation the
        process may have been paused, or the endpoint may have turned cold, begun to
        leave or been taken out by an outage.
        """
        if self._clock.now() - reservation.chosen_at > MAX_RESERVATION_AGE:
            return False
        endpoint = reservation.endpoint.id
        if endpoint not in self.table:
            return False
        record = self.table[endpoint]
        if record.state in _STATES_WITHOUT_NEW_WORK:
            return False
        if reservation.kind is ReservationKind.COLD_SLOT:
            return not self.cold_slots.is_suspended
        return record.warmth == reservation.warmth

    def release(self, reservation: Reservation, outcome: Outcome) -> None:
        """Release ``reservation`` with its outcome; a repeated call has no effect."""
        if self._open.pop(reservation.number, None) is None:
            return
        endpoint = reservation.endpoint.id
        self._estimates[endpoint].count_end()
        if outcome is Outcome.ANSWERED:
            duration = self._clock.now() - reservation.chosen_at
            self._mean_service_time += SERVICE_TIME_EWMA_WEIGHT * (
                duration - self._mean_service_time
            )
        if reservation.kind is ReservationKind.COLD_SLOT:
            is_settled = outcome not in UNSETTLED_OUTCOMES
            self.cold_slots.release(endpoint, is_settled=is_settled)
        if outcome is Outcome.REFUSED_FULL:
            self._full_until[endpoint] = Milliseconds(self._clock.now() + FULL_BACKOFF)
        self.table.record_outcome(endpoint, outcome, reservation.warmth)

    def used_endpoints(self) -> frozenset[EndpointId]:
        """Return the endpoints that this entry may select."""
        return self._targets.used() | self.cold_slots.endpoints

    def in_flight(self, endpoint: EndpointId) -> int:
        """Return the number of this entry's requests at ``endpoint``."""
        return self._estimates[endpoint].own

    @property
    def open_requests(self) -> int:
        """Return the number of this entry's requests at all endpoints."""
        return len(self._open)

    def _records(
        self, target: Target, excluded: frozenset[EndpointId]
    ) -> list[EndpointRecord]:
        names = self._targets.endpoints(target, self.cold_slots.endpoints)
        return [self.table[name] for name in names if name not in excluded]

    def _warm(self, records: Iterable[EndpointRecord]) -> list[LoadedEndpoint]:
        are_loads_complete = self._peers.are_loads_complete()
        return [
            self._loaded(record, are_peer_loads_complete=are_loads_complete)
            for record in records
            if record.state is EndpointState.WARM
        ]

    def _loaded(
        self, record: EndpointRecord, *, are_peer_loads_complete: bool
    ) -> LoadedEndpoint:
        estimate = self._estimates[record.endpoint.id]
        sharing = self._peers.size * self._targets.share
        load = estimate.total(sharing, are_peer_loads_complete=are_peer_loads_complete)
        if self._clock.now() < self._full_until.get(record.endpoint.id, 0):
            load = math.inf
        no_age = Milliseconds(0)
        return LoadedEndpoint(
            record=record,
            load=load,
            capacity=self._capacity(record),
            report_age=no_age if are_peer_loads_complete else estimate.report_age(),
        )

    def _capacity(self, record: EndpointRecord) -> float:
        endpoint = record.endpoint
        since_warm = self._clock.now() - record.changed_at
        ramp = endpoint.warm_up * RAMP_SHARE
        if since_warm >= ramp:
            return float(endpoint.capacity)
        growth = (endpoint.capacity - endpoint.cold_capacity) * since_warm / ramp
        return max(endpoint.cold_capacity + growth, 1.0)

    def _trial(
        self, records: Iterable[EndpointRecord], request: Request
    ) -> EndpointRecord | None:
        if not request.is_idempotent:
            return None
        for record in records:
            # A suspect endpoint that is not warm gets its trial through a cold slot.
            is_warm = record.warmth.is_warm
            is_suspect = record.state is EndpointState.SUSPECT
            if is_suspect and is_warm and self.table.is_trial_due(record):
                self.table.record_trial(record)
                return record
        return None

    def _cold(
        self,
        records: Iterable[EndpointRecord],
        request: Request,
        usable: Sequence[LoadedEndpoint],
    ) -> EndpointRecord | None:
        if request.deadline > self._clock.wall() + MAX_REQUEST_DURATION:
            return None
        available = [record for record in records if self._has_slot(record)]
        if not available:
            return None
        idle = [record for record in available if self._needs_first_request(record)]
        if idle and request.is_idempotent:
            return self._random.choice(idle)
        min_utilisation = min((item.utilisation for item in usable), default=1.0)
        if min_utilisation >= COLD_USE_UTILISATION:
            return self._random.choice(available)
        return None

    def _has_slot(self, record: EndpointRecord) -> bool:
        if record.state is EndpointState.SUSPECT:
            is_candidate = not record.warmth.is_warm and self.table.is_trial_due(record)
        else:
            is_candidate = record.state in _COLD_STATES
        return (
            is_candidate
            and self.cold_slots.is_available(record.endpoint.id)
            and self.table.is_drained(record)
        )

    def _needs_first_request(self, record: EndpointRecord) -> bool:
        is_not_warming = record.state is not EndpointState.WARMING
        return is_not_warming and not self.cold_slots.is_used(record.endpoint.id)

    def _reserve(
        self, record: EndpointRecord, target: Target, kind: ReservationKind
    ) -> Reservation:
        endpoint = record.endpoint
        if kind is ReservationKind.COLD_SLOT:
            self.cold_slots.acquire(endpoint.id)
            if record.state is EndpointState.SUSPECT:
                self.table.record_trial(record)
        self._estimates[endpoint.id].count_start()
        reservation = Reservation(
            number=next(self._numbers),
            endpoint=endpoint,
            target=target,
            kind=kind,
            warmth=record.warmth,
            chosen_at=self._clock.now(),
        )
        self._open[reservation.number] = reservation
        return reservation


def _is_any_in_service(records: Iterable[EndpointRecord]) -> bool:
    """Return whether an endpoint is warm, warming or cold, so that waiting helps."""
    return any(
        record.state is EndpointState.WARM or record.state in _COLD_STATES
        for record in records
    )
