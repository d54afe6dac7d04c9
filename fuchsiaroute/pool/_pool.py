"""The endpoints that are announced to an instance, and selection among them."""

import math
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from random import Random

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.deployment import Endpoint, Service
from fuchsiaroute.hashing import rendezvous_hash
from fuchsiaroute.ids import (
    EndpointId,
    FailureDomainId,
    InstanceId,
    ServiceId,
    VersionId,
)
from fuchsiaroute.lifecycle import EndpointEvent, EndpointState, Outcome
from fuchsiaroute.permits import NamedRates, PermitHolder
from fuchsiaroute.pool._cold_rate_limiter import ColdRateLimiter
from fuchsiaroute.pool._member import Load, PeerLoad, PoolMember
from fuchsiaroute.pool._process_notices import ProcessNotices

#: Requests in flight per slot at which an endpoint of a plain service gets no more; a
#: request then waits about as long at the endpoint as it runs.
PLAIN_LOAD_PER_SLOT = 2.0
#: Requests in flight per slot at which a model engine gets no more. Requests beyond its
#: slots would wait in the engine's own queue, where this instance cannot reorder them.
ENGINE_LOAD_PER_SLOT = 1.0
#: Probability that the second endpoint in the affinity order has the shared prompt part
#: cached, because recent requests could not use the first endpoint.
SECOND_CHOICE_CACHE_PROBABILITY = 0.5
#: Milliseconds by which each running request delays a new one: it lengthens every step
#: of the engine's batch.
RUNNING_REQUEST_DELAY_MS = 1.5
#: Exponent of the success rate in the score: an endpoint at which half of the requests
#: fail counts as eight times as loaded.
SUCCESS_RATE_EXPONENT = 3.0
#: Maximum random increase of a score, so that instances with the same loads do not all
#: select the same endpoint.
SCORE_JITTER = 0.1


class NoChoice(Enum):
    """Why no endpoint was selected."""

    #: No endpoint of the service may be used.
    NONE = "none"
    #: Every usable endpoint is at its capacity.
    FULL = "full"
    #: Every usable endpoint has asked for no requests until later.
    PAUSED = "paused"
    #: Every usable endpoint with capacity names a rate, and no request may be sent now.
    RATE_LIMITED = "rate-limited"
    #: Endpoints crash under it, or under requests with a part of its prompt.
    QUARANTINED = "quarantined"
    #: An endpoint has crashed under it, and only one of the service is left, or other
    #: requests that were in the same crashes have their turn.
    SUSPECTED = "suspected"
    #: The instance stops before the request could end.
    STOPPING = "stopping"


@dataclass(frozen=True, kw_only=True)
class Demand:
    """The requirements of a request that decide which endpoint is selected."""

    service: ServiceId
    #: Versions that may run the request; None allows any.
    versions: frozenset[VersionId] | None = None
    #: Key of the shared part of the prompt that an endpoint may have cached; empty for
    #: none.
    affinity: str = ""
    #: Expected milliseconds until an idle endpoint that has the shared part cached
    #: starts to answer.
    work: float = 0.0
    #: Factor on ``work`` at an endpoint that does not have the shared part cached.
    uncached_factor: float = 1.0
    #: Maximum milliseconds of work queued before the request at an endpoint. Beyond it
    #: the request stays in this instance's queue, where it can still be reordered.
    max_backlog: float = math.inf
    #: Endpoints that must not get the request because they already had it.
    excluded: frozenset[EndpointId] = frozenset()
    #: Whether the request may be sent again after a failed attempt.
    is_repeatable: bool = True


class Reservation:
    """A request counted at an endpoint until ``finish`` is called with its outcome."""

    def __init__(
        self, member: PoolMember, *, permits: PermitHolder, work: float = 0.0
    ) -> None:
        self._member = member
        self._permits = permits
        #: End of the validity of the permit that this uses up, if it needs one.
        self._permit_expiry = permits.take(member.endpoint)
        self._is_sent = False
        self._is_open = True
        self._on_answer_started: Callable[[], None] | None = None
        self._on_finish: Callable[[], None] | None = None
        self._work = work
        #: Expected milliseconds of work queued before the request.
        self.backlog = member.backlog
        #: Monotonic instant at which the endpoint was reserved.
        self.reserved_at = member.clock.now()
        #: Whether the endpoint was cold when it was reserved.
        self.is_cold = member.is_cold
        member.add_request(work)

    @property
    def endpoint(self) -> Endpoint:
        """Return the endpoint of the reservation."""
        return self._member.endpoint

    def record_duration(self, relative_duration: float) -> None:
        """Record the request's latency, relative to the mean of its kind."""
        self._member.record_duration(relative_duration)

    @property
    def is_usable(self) -> bool:
        """Return whether the request may still be sent to the endpoint."""
        is_gone = self._member.state in (EndpointState.LEAVING, EndpointState.OUT)
        return not is_gone and not self._member.is_paused

    def answer_started(self) -> None:
        """Record that the endpoint has started to answer."""
        self._member.remove_work(self._work)
        self._work = 0.0
        if self._on_answer_started is not None:
            self._on_answer_started()

    def set_callbacks(
        self, *, on_answer_started: Callable[[], None], on_finish: Callable[[], None]
    ) -> None:
        """Set the callbacks for the start of the answer and for ``finish``."""
        self._on_answer_started = on_answer_started
        self._on_finish = on_finish

    def record_sent(self) -> None:
        """Record that the request is about to be sent."""
        self._is_sent = True

    def record_connection_refused(self) -> None:
        """Record that the connection to the endpoint's address was refused."""
        self._member.is_connection_refused = True

    def revoke(self) -> None:
        """Release the reservation without having sent the request."""
        self.finish(Outcome.REVOKED)

    def finish(self, outcome: Outcome) -> None:
        """Release the reservation; a repeated call has no effect."""
        if self._is_open:
            self._is_open = False
            self.answer_started()
            self._member.finish_request(outcome)
            if self._permit_expiry is not None and not self._is_sent:
                self._permits.give_back(self.endpoint, self._permit_expiry)
            if self._on_finish is not None:
                self._on_finish()


class EndpointPool:
    """
    All announced endpoints with their state, load and warmth.

    Own requests are counted exactly; the loads of other instances are delayed.
    """

    def __init__(
        self,
        *,
        instance: InstanceId,
        clock: Clock,
        random: Random,
        permits: PermitHolder | None = None,
    ) -> None:
        self._instance = instance
        self._clock = clock
        self._random = random
        self._permits = permits or PermitHolder(
            rates=NamedRates(clock=clock), clock=clock
        )
        self._members: dict[EndpointId, PoolMember] = {}
        #: Loads of other instances, and their sums by endpoint.
        self._peer_loads: dict[InstanceId, Mapping[EndpointId, Load]] = {}
        self._peer_totals: dict[EndpointId, PeerLoad] = {}
        self._notices = ProcessNotices(clock=clock)
        #: Built again at its next use after endpoints have come or gone.
        self._by_service: dict[ServiceId, list[PoolMember]] | None = None
        self._services: Mapping[ServiceId, Service] = {}
        self._evacuated: frozenset[FailureDomainId] = frozenset()
        self._instances: tuple[InstanceId, ...] = (instance,)
        self._given_instances: Sequence[InstanceId] = ()

    def __contains__(self, endpoint: EndpointId) -> bool:
        return endpoint in self._members

    def __len__(self) -> int:
        return len(self._members)

    def members(self, service: ServiceId) -> Sequence[PoolMember]:
        """Return the announced endpoints of a service."""
        if self._by_service is None:
            self._by_service = self._index()
        return self._by_service.get(service, ())

    def versions(self, service: ServiceId) -> frozenset[VersionId]:
        """Return the versions with an endpoint in a state other than leaving or out."""
        return frozenset(
            member.endpoint.version
            for member in self.members(service)
            if member.state not in (EndpointState.LEAVING, EndpointState.OUT)
        )

    def min_backlog(
        self, service: ServiceId, versions: frozenset[VersionId] | None = None
    ) -> float:
        """
        Return the smallest backlog of the usable endpoints, in milliseconds of work.

        Only endpoints of ``versions`` count, unless it is None.
        """
        return min(
            (
                item.backlog
                for item in self.members(service)
                if item.is_usable
                and (versions is None or item.endpoint.version in versions)
            ),
            default=0.0,
        )

    def own_loads(self) -> dict[EndpointId, Load]:
        """Return this instance's load at each endpoint, zeros left out."""
        return {
            name: Load(member.own_load, member.own_work)
            for name, member in self._members.items()
            if member.own_load
        }

    def load_of_versions(self, service: ServiceId, target: VersionId) -> int:
        """Return the requests in flight at endpoints of versions except ``target``."""
        return sum(
            member.load
            for member in self.members(service)
            if member.endpoint.version != target
        )

    def update_services(self, services: Mapping[ServiceId, Service]) -> None:
        """Replace the declared services."""
        self._services = services
        for member in self._members.values():
            self._update_cold_rate(member)

    def update_instances(self, instances: Sequence[InstanceId]) -> None:
        """
        Replace the live instances; this one is always included.

        ``instances`` must not be changed later: the same sequence is not read again.
        """
        if instances is self._given_instances:
            return
        self._given_instances = instances
        names = tuple(sorted({*instances, self._instance}))
        if names == self._instances:
            return
        self._instances = names
        for member in self._members.values():
            self._update_cold_rate(member)

    def update_peer(
        self, instance: InstanceId, loads: Mapping[EndpointId, Load]
    ) -> None:
        """
        Replace the loads that another instance reported.

        The sums over all instances are updated by the difference, so that the work
        does not grow with the number of instances.
        """
        former = self._peer_loads.pop(instance, {})
        if loads:
            self._peer_loads[instance] = loads
        totals = self._peer_totals
        for name, (requests, work) in former.items():
            total = totals[name]
            total.requests -= requests
            total.work -= work
        for name, (requests, work) in loads.items():
            total = totals.setdefault(name, PeerLoad())
            total.requests += requests
            total.work += work

    def keep_peers(self, instances: Iterable[InstanceId]) -> None:
        """Remove the loads of all other instances than ``instances``."""
        for instance in self._peer_loads.keys() - set(instances):
            self.update_peer(instance, {})
        for name in self._peer_totals.keys() - self._members.keys():
            if not self._peer_totals[name].requests:
                del self._peer_totals[name]

    def update_evacuated(self, domains: Iterable[FailureDomainId]) -> None:
        """Replace the evacuated failure domains, which get no new requests."""
        self._evacuated = frozenset(domains)
        for member in self._members.values():
            self._apply_evacuation(member)

    def announce(self, endpoint: Endpoint) -> None:
        """Add or update an endpoint from its announcement."""
        member = self._members.get(endpoint.id)
        if member is None or _is_new_process(member.endpoint, endpoint):
            member = PoolMember(
                clock=self._clock,
                endpoint=endpoint,
                cold_limiter=ColdRateLimiter(endpoint.id, clock=self._clock),
            )
            member.peers = self._peer_totals.setdefault(endpoint.id, PeerLoad())
            self._members[endpoint.id] = member
            self._update_cold_rate(member)
        member.endpoint = endpoint
        member.mark_cold(endpoint.cold_remaining)
        member.paused_until = self._notices.paused_until(endpoint)
        listed = (
            EndpointEvent.LISTED_LEAVING
            if endpoint.is_draining or self._notices.is_leaving(endpoint)
            else EndpointEvent.LISTED_LIVE
        )
        member.apply(listed)
        if member.state is EndpointState.COLD:
            # The pool tracks coldness by ``cold_until`` instead of the life cycle's
            # cold state.
            member.apply(EndpointEvent.WARMED_UP)
        self._apply_evacuation(member)
        self._by_service = None

    def withdraw(self, endpoint: EndpointId) -> None:
        """Remove an endpoint whose announcement was removed."""
        if self._members.pop(endpoint, None) is not None:
            self._by_service = None

    def mark_cold(self, endpoint: EndpointId, duration: Milliseconds) -> None:
        """Limit an endpoint, if it is announced, to its cold rate for ``duration``."""
        member = self._members.get(endpoint)
        if member is not None:
            member.mark_cold(duration)

    def record_crash(self, endpoint: EndpointId) -> None:
        """Record that nothing listens at an endpoint's address any more."""
        member = self._members.get(endpoint)
        if member is not None:
            member.record_crash()

    def has_crashed(self, endpoint: EndpointId) -> bool:
        """Return whether a crash of an endpoint was recorded just now."""
        member = self._members.get(endpoint)
        return member is not None and member.has_crashed

    def is_reduced_to_one(self, service: ServiceId) -> bool:
        """Return whether at most one of several endpoints of a service is usable."""
        staying = [
            member
            for member in self.members(service)
            if member.state not in (EndpointState.LEAVING, EndpointState.OUT)
        ]
        usable = sum(member.is_usable for member in staying)
        return usable <= 1 < len(staying)

    def mark_leaving(self, endpoint: EndpointId, started_at: int) -> bool:
        """
        Stop using the process of an endpoint that has said in an answer that it leaves.

        This holds until a process with another start is announced under the id. Returns
        whether it is new.
        """
        if not self._notices.record_leaving(endpoint, started_at):
            return False
        member = self._members.get(endpoint)
        if member is not None and self._notices.is_leaving(member.endpoint):
            member.apply(EndpointEvent.LISTED_LEAVING)
        return True

    def leaving(self) -> list[tuple[EndpointId, int]]:
        """Return the announced endpoints that said they leave, with their starts."""
        return [
            (name, member.endpoint.started_at)
            for name, member in self._members.items()
            if self._notices.is_leaving(member.endpoint)
        ]

    def pause(
        self, endpoint: EndpointId, started_at: int, duration: Milliseconds
    ) -> bool:
        """
        Send no requests to an endpoint for ``duration``, as its process has asked.

        A shorter pause does not end a longer one. Returns whether one has begun.
        """
        is_begun = self._notices.record_pause(endpoint, started_at, duration)
        member = self._members.get(endpoint)
        if member is not None:
            member.paused_until = self._notices.paused_until(member.endpoint)
        return is_begun

    def soonest_return(self, demand: Demand) -> Milliseconds:
        """
        Return the time until the first pause ends if all usable endpoints are paused.

        It is 0 if one of them is not, or if there is none.
        """
        if not self._notices.has_pauses:
            return Milliseconds(0)
        now = self._clock.now()
        return Milliseconds(
            min(
                (
                    max(member.paused_until - now, 0)
                    for member in self._candidates(demand)
                    if member.is_usable
                ),
                default=0,
            )
        )

    def choose(self, demand: Demand) -> Reservation | NoChoice:
        """Select an endpoint and count the request there."""
        candidates = self._candidates(demand)
        usable = [member for member in candidates if member.is_usable]
        trial = self._due_trial(candidates, demand, has_others=bool(usable))
        if trial is not None:
            return self._reserve(trial, demand)
        if not usable:
            return NoChoice.NONE
        available = [member for member in usable if self._has_capacity(member, demand)]
        if not available and all(member.is_paused for member in usable):
            return NoChoice.PAUSED
        if not available:
            return NoChoice.FULL
        if not self._permits.is_needed:
            return self._reserve(self._select(available, demand), demand)
        return self._choose_permitted(available, demand)

    def permit_wait(self, demand: Demand, ahead: float) -> Milliseconds | None:
        """
        Return the expected time until a permit if only permits are missing.

        ``ahead`` requests wait before the one with ``demand``. None is returned if an
        endpoint without a rate or with a permit could take it, or none has capacity.
        """
        if not self._permits.is_needed:
            return None
        available = [
            member.endpoint
            for member in self._candidates(demand)
            if member.is_usable and self._has_capacity(member, demand)
        ]
        if not available or any(map(self._permits.may_send, available)):
            return None
        return self._permits.expected_wait(available, ahead)

    # Private

    def _reserve(self, member: PoolMember, demand: Demand) -> Reservation:
        return Reservation(member, permits=self._permits, work=demand.work)

    def _choose_permitted(
        self, available: list[PoolMember], demand: Demand
    ) -> Reservation | NoChoice:
        """Select an endpoint; request permits of those that would have been better."""
        permitted = [
            member for member in available if self._permits.may_send(member.endpoint)
        ]
        if not permitted:
            for member in available:
                self._permits.want(member.endpoint)
            return NoChoice.RATE_LIMITED
        best = self._select(available, demand)
        if best in permitted:
            return self._reserve(best, demand)
        self._permits.want(best.endpoint)
        return self._reserve(self._select(permitted, demand), demand)

    def _candidates(self, demand: Demand) -> list[PoolMember]:
        return [
            member
            for member in self.members(demand.service)
            if member.endpoint.id not in demand.excluded
            and (demand.versions is None or member.endpoint.version in demand.versions)
        ]

    def _due_trial(
        self, candidates: list[PoolMember], demand: Demand, *, has_others: bool
    ) -> PoolMember | None:
        """
        Return a suspect endpoint that gets this request as its trial, if any.

        If no other endpoint is usable (``has_others`` is False), a suspect endpoint
        gets the request even before its trial is due.
        """
        for member in candidates:
            # A refused connection shows that a request has not run.
            is_safe = demand.is_repeatable or member.has_refused
            if has_others and not is_safe:
                continue
            is_due = member.is_trial_due or (
                not has_others
                and member.state is EndpointState.SUSPECT
                and not member.is_on_trial
            )
            if not is_due or not self._has_capacity(member, demand):
                continue
            if self._permits.may_send(member.endpoint):
                return member
            self._permits.want(member.endpoint)
        return None

    def _has_capacity(self, member: PoolMember, demand: Demand) -> bool:
        if member.is_full or member.is_paused or member.backlog > demand.max_backlog:
            return False
        if member.is_cold and not member.cold_limiter.is_allowed():
            return False
        return member.load < self._capacity(member)

    def _capacity(self, member: PoolMember) -> float:
        service = self._services.get(member.endpoint.service)
        is_engine = service is not None and service.engine is not None
        per_slot = ENGINE_LOAD_PER_SLOT if is_engine else PLAIN_LOAD_PER_SLOT
        capacity = member.endpoint.slots * per_slot
        share = member.ramp_share
        return capacity if share == 1.0 else max(capacity * share, 1.0)

    def _select(self, members: list[PoolMember], demand: Demand) -> PoolMember:
        if not demand.affinity:
            return min(members, key=self._score)
        ranked = sorted(
            members,
            key=lambda item: -rendezvous_hash(demand.affinity, item.endpoint.id),
        )
        extra = demand.uncached_factor - 1.0
        factors = {item.endpoint.id: 1.0 + extra for item in ranked}
        cached = (1.0, SECOND_CHOICE_CACHE_PROBABILITY)
        for item, probability in zip(ranked, cached, strict=False):
            factors[item.endpoint.id] = 1.0 + extra * (1.0 - probability)
        return min(
            ranked,
            key=lambda item: self._expected_wait(
                item, demand.work * factors[item.endpoint.id]
            ),
        )

    def _expected_wait(self, member: PoolMember, work: float) -> float:
        """Return the expected milliseconds until an engine starts to answer."""
        reliability = math.pow(
            max(member.current_success_rate, 0.05), SUCCESS_RATE_EXPONENT
        )
        jitter = 1.0 + SCORE_JITTER * self._random.random()
        running = member.load * RUNNING_REQUEST_DELAY_MS
        expected = (member.backlog + work + running) * member.current_relative_latency
        return expected / reliability * jitter

    def _score(self, member: PoolMember) -> float:
        load = (member.load + 1.0) / member.endpoint.slots
        reliability = math.pow(
            max(member.current_success_rate, 0.05), SUCCESS_RATE_EXPONENT
        )
        jitter = 1.0 + SCORE_JITTER * self._random.random()
        return load * member.current_relative_latency / reliability * jitter

    def _update_cold_rate(self, member: PoolMember) -> None:
        service = self._services.get(member.endpoint.service)
        rate = service.cold_requests_per_second if service is not None else 0.0
        member.cold_limiter.set_share(
            rate, instance=self._instance, instances=self._instances
        )

    def _apply_evacuation(self, member: PoolMember) -> None:
        is_out = member.endpoint.failure_domain in self._evacuated
        if is_out:
            member.apply(EndpointEvent.OUTAGE_DECLARED)
        elif member.state is EndpointState.OUT:
            member.apply(EndpointEvent.OUTAGE_ENDED)
            member.apply(EndpointEvent.WARMED_UP)
            service = self._services.get(member.endpoint.service)
            if service is not None:
                member.mark_cold(service.cold_period)
            is_leaving = self._notices.is_leaving(member.endpoint)
            if member.endpoint.is_draining or is_leaving:
                member.apply(EndpointEvent.LISTED_LEAVING)

    def _index(self) -> dict[ServiceId, list[PoolMember]]:
        by_service: dict[ServiceId, list[PoolMember]] = {}
        for member in self._members.values():
            by_service.setdefault(member.endpoint.service, []).append(member)
        return by_service


def _is_new_process(previous: Endpoint, current: Endpoint) -> bool:
    """Return whether an endpoint's id now belongs to a different process."""
    return (previous.host, previous.port, previous.started_at, previous.service) != (
        current.host,
        current.port,
        current.started_at,
        current.service,
    )
