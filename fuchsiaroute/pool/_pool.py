"""The choice of an endpoint for a request."""

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
from fuchsiaroute.pool._cold_rate_limiter import ColdRateLimiter
from fuchsiaroute.pool._member import Load, PoolMember

#: Requests in flight for each slot of a plain service's endpoint above which it gets
#: no more; a request then waits about as long at the endpoint as it runs.
PLAIN_LOAD_PER_SLOT = 2.0
#: The same for a model engine, whose own queue would only hide the wait.
ENGINE_LOAD_PER_SLOT = 1.0
#: How likely the endpoint that a shared part prefers next has it as well: it does if
#: the first one was passed over lately.
SECOND_CHOICE_CACHED = 0.5
#: Milliseconds by which each running request delays a new one: the batch's step grows
#: with each of them.
RUNNING_COST = 1.5
#: Weight of failures in the choice: at half of the requests failing, an endpoint is
#: taken for eight times as loaded.
HEALTH_EXPONENT = 3.0
#: Random part of a score, so that instances with like views choose differently.
SCORE_SPREAD = 0.1


class NoChoice(Enum):
    """Why no endpoint was chosen."""

    #: No endpoint of the service may be used.
    NONE = "none"
    #: Every usable endpoint has as much as it bears.
    FULL = "full"


@dataclass(frozen=True, kw_only=True)
class Demand:
    """What a request needs of an endpoint."""

    service: ServiceId
    #: Versions that may run it; None allows any.
    versions: frozenset[VersionId] | None = None
    #: Shared part of the prompt that an endpoint may have cached; empty for none.
    affinity: str = ""
    #: Expected milliseconds until an idle endpoint begins to answer that has the
    #: shared part cached.
    work: float = 0.0
    #: Factor on them at an endpoint that does not have it.
    uncached_factor: float = 1.0
    #: Milliseconds of work that may be ahead of it at an endpoint; what is beyond that
    #: waits where it can still be put in another order.
    max_backlog: float = math.inf
    #: Endpoints that have had this request.
    excluded: frozenset[EndpointId] = frozenset()
    #: Whether a failed attempt can be repeated.
    is_repeatable: bool = True


class Reservation:
    """A place at an endpoint; to be given back once with its outcome."""

    def __init__(self, member: PoolMember, *, work: float = 0.0) -> None:
        self._member = member
        self._is_open = True
        self._on_started: Callable[[], None] | None = None
        self._on_finish: Callable[[], None] | None = None
        self._work = work
        #: Expected milliseconds of work that the request waits for.
        self.backlog = member.backlog
        member.began(work)

    @property
    def endpoint(self) -> Endpoint:
        """Return the endpoint as announced at the choice."""
        return self._member.endpoint

    def record_duration(self, relative_duration: float) -> None:
        """Note a request's time relative to the mean of its kind."""
        self._member.record_duration(relative_duration)

    @property
    def is_usable(self) -> bool:
        """Return whether the endpoint may still get this request."""
        return self._member.state not in (EndpointState.LEAVING, EndpointState.OUT)

    def answer_started(self) -> None:
        """Note that the endpoint has begun to answer."""
        self._member.worked_off(self._work)
        self._work = 0.0
        if self._on_started is not None:
            self._on_started()

    def watch(
        self, *, on_started: Callable[[], None], on_finish: Callable[[], None]
    ) -> None:
        """Tell when the answer begins and when the place is given back."""
        self._on_started = on_started
        self._on_finish = on_finish

    def record_connection_refused(self) -> None:
        """Note that nobody listens at the endpoint's address."""
        self._member.is_connection_refused = True

    def revoke(self) -> None:
        """Give the place back unused."""
        self.finish(Outcome.REVOKED)

    def finish(self, outcome: Outcome) -> None:
        """Give the place back; a second time has no effect."""
        if self._is_open:
            self._is_open = False
            self.answer_started()
            self._member.ended(outcome)
            if self._on_finish is not None:
                self._on_finish()


class EndpointPool:
    """
    All announced endpoints with their state, load and warmth.

    Loads of other instances come late; own requests are counted exactly.
    """

    def __init__(self, *, instance: InstanceId, clock: Clock, random: Random) -> None:
        self._instance = instance
        self._clock = clock
        self._random = random
        self._members: dict[EndpointId, PoolMember] = {}
        self._by_service: dict[ServiceId, list[PoolMember]] = {}
        self._services: Mapping[ServiceId, Service] = {}
        self._evacuated: frozenset[FailureDomainId] = frozenset()
        self._instances: tuple[InstanceId, ...] = (instance,)

    def __contains__(self, endpoint: EndpointId) -> bool:
        return endpoint in self._members

    def __len__(self) -> int:
        return len(self._members)

    def members(self, service: ServiceId) -> Sequence[PoolMember]:
        """Return the announced endpoints of a service."""
        return self._by_service.get(service, ())

    def versions(self, service: ServiceId) -> frozenset[VersionId]:
        """Return the versions of which usable endpoints are announced."""
        return frozenset(
            member.endpoint.version
            for member in self.members(service)
            if member.state not in (EndpointState.LEAVING, EndpointState.OUT)
        )

    def min_backlog(
        self, service: ServiceId, versions: frozenset[VersionId] | None = None
    ) -> float:
        """
        Return the milliseconds of work at the least loaded usable endpoint.

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
        """Return what this instance has at each endpoint."""
        return {
            name: Load(member.own_load, member.own_work)
            for name, member in self._members.items()
            if member.own_load
        }

    def load_of_versions(self, service: ServiceId, target: VersionId) -> int:
        """Return the requests in flight at endpoints of other versions."""
        return sum(
            member.load
            for member in self.members(service)
            if member.endpoint.version != target
        )

    def update_services(self, services: Mapping[ServiceId, Service]) -> None:
        """Take over what is declared about the services."""
        self._services = services
        for member in self._members.values():
            self._divide_cold_share(member)

    def update_instances(self, instances: Iterable[InstanceId]) -> None:
        """Take over the instances that are alive, this one included."""
        names = tuple(sorted({*instances, self._instance}))
        if names == self._instances:
            return
        self._instances = names
        for member in self._members.values():
            self._divide_cold_share(member)

    def update_peer_loads(
        self, loads: Mapping[InstanceId, Mapping[EndpointId, Load]]
    ) -> None:
        """Replace the loads that other instances reported."""
        by_endpoint: dict[EndpointId, list[Load]] = {}
        for own in loads.values():
            for name, load in own.items():
                by_endpoint.setdefault(name, []).append(load)
        for name, member in self._members.items():
            member.set_peer_loads(by_endpoint.get(name, ()))

    def update_evacuated(self, domains: Iterable[FailureDomainId]) -> None:
        """Take over the failure domains that get no new requests."""
        self._evacuated = frozenset(domains)
        for member in self._members.values():
            self._apply_evacuation(member)

    def announce(self, endpoint: Endpoint) -> None:
        """Take over an endpoint's announcement."""
        member = self._members.get(endpoint.id)
        if member is None or _is_other_process(member.endpoint, endpoint):
            member = PoolMember(
                clock=self._clock,
                endpoint=endpoint,
                cold_limiter=ColdRateLimiter(endpoint.id, clock=self._clock),
            )
            self._members[endpoint.id] = member
            self._divide_cold_share(member)
        member.endpoint = endpoint
        member.mark_cold(endpoint.cold_for)
        listed = (
            EndpointEvent.LISTED_LEAVING
            if endpoint.is_draining
            else EndpointEvent.LISTED_LIVE
        )
        member.apply(listed)
        if member.state is EndpointState.COLD:
            # The life cycle's cold state; the time it lasts is counted apart.
            member.apply(EndpointEvent.WARMED_UP)
        self._apply_evacuation(member)
        self._index()

    def withdraw(self, endpoint: EndpointId) -> None:
        """Forget an endpoint whose announcement is gone."""
        if self._members.pop(endpoint, None) is not None:
            self._index()

    def mark_cold(self, endpoint: EndpointId, duration: Milliseconds) -> None:
        """Note that an endpoint has told that it is cold."""
        member = self._members.get(endpoint)
        if member is not None:
            member.mark_cold(duration)

    def choose(self, demand: Demand) -> Reservation | NoChoice:
        """Choose an endpoint and reserve a place there."""
        candidates = [
            member
            for member in self.members(demand.service)
            if member.endpoint.id not in demand.excluded
            and (demand.versions is None or member.endpoint.version in demand.versions)
        ]
        usable = [member for member in candidates if member.is_usable]
        trial = self._due_trial(candidates, demand, has_others=bool(usable))
        if trial is not None:
            return Reservation(trial, work=demand.work)
        if not usable:
            return NoChoice.NONE
        open_ones = [member for member in usable if self._has_room(member, demand)]
        if not open_ones:
            return NoChoice.FULL
        return Reservation(self._best(open_ones, demand), work=demand.work)

    # Private

    def _due_trial(
        self, candidates: list[PoolMember], demand: Demand, *, has_others: bool
    ) -> PoolMember | None:
        """Return a suspect endpoint to try with this request, if any is due."""
        if has_others and not demand.is_repeatable:
            return None
        for member in candidates:
            is_due = member.is_trial_due or (
                not has_others
                and member.state is EndpointState.SUSPECT
                and not member.is_on_trial
            )
            if is_due and self._has_room(member, demand):
                return member
        return None

    def _has_room(self, member: PoolMember, demand: Demand) -> bool:
        if member.is_full or member.backlog > demand.max_backlog:
            return False
        if member.is_cold and not member.cold_limiter.has_room():
            return False
        return member.load < self._capacity(member)

    def _capacity(self, member: PoolMember) -> float:
        service = self._services.get(member.endpoint.service)
        is_engine = service is not None and service.engine is not None
        per_slot = ENGINE_LOAD_PER_SLOT if is_engine else PLAIN_LOAD_PER_SLOT
        return member.endpoint.slots * per_slot

    def _best(self, members: list[PoolMember], demand: Demand) -> PoolMember:
        if not demand.affinity:
            return min(members, key=self._score)
        ranked = sorted(
            members,
            key=lambda item: -rendezvous_hash(demand.affinity, item.endpoint.id),
        )
        extra = demand.uncached_factor - 1.0
        factors = {item.endpoint.id: 1.0 + extra for item in ranked}
        cached = (1.0, SECOND_CHOICE_CACHED)
        for item, chance in zip(ranked, cached, strict=False):
            factors[item.endpoint.id] = 1.0 + extra * (1.0 - chance)
        return min(
            ranked,
            key=lambda item: self._wait(item, demand.work * factors[item.endpoint.id]),
        )

    def _wait(self, member: PoolMember, work: float) -> float:
        """Return the expected milliseconds until an engine begins to answer."""
        doubt = math.pow(max(member.current_health, 0.05), HEALTH_EXPONENT)
        spread = 1.0 + SCORE_SPREAD * self._random.random()
        running = member.load * RUNNING_COST
        expected = (member.backlog + work + running) * member.current_slowness
        return expected / doubt * spread

    def _score(self, member: PoolMember) -> float:
        load = (member.load + 1.0) / member.endpoint.slots
        doubt = math.pow(max(member.current_health, 0.05), HEALTH_EXPONENT)
        spread = 1.0 + SCORE_SPREAD * self._random.random()
        return load * member.current_slowness / doubt * spread

    def _divide_cold_share(self, member: PoolMember) -> None:
        service = self._services.get(member.endpoint.service)
        rate = service.cold_rate if service is not None else 0.0
        member.cold_limiter.divide(
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
            if member.endpoint.is_draining:
                member.apply(EndpointEvent.LISTED_LEAVING)

    def _index(self) -> None:
        by_service: dict[ServiceId, list[PoolMember]] = {}
        for member in self._members.values():
            by_service.setdefault(member.endpoint.service, []).append(member)
        self._by_service = by_service


def _is_other_process(former: Endpoint, latter: Endpoint) -> bool:
    """Return whether an id now belongs to another start of an endpoint."""
    return (former.host, former.port, former.born, former.service) != (
        latter.host,
        latter.port,
        latter.born,
        latter.service,
    )
