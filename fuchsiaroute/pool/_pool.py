"""The endpoints that are announced to an instance, and selection among them."""

from collections.abc import Callable, Iterable, Mapping, Sequence
from random import Random

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.deployment import Endpoint, Service
from fuchsiaroute.ids import (
    EndpointId,
    FailureDomainId,
    InstanceId,
    ServiceId,
    VersionId,
)
from fuchsiaroute.lifecycle import EndpointEvent, EndpointState
from fuchsiaroute.pool._capacity import capacity
from fuchsiaroute.pool._cold_rate_limiter import ColdRateLimiter
from fuchsiaroute.pool._demand import Demand, NoChoice
from fuchsiaroute.pool._member import Load, PoolMember
from fuchsiaroute.pool._outcomes import MIN_TOLD, Outcomes
from fuchsiaroute.pool._peer_loads import PeerLoads
from fuchsiaroute.pool._process_notices import ProcessNotices
from fuchsiaroute.pool._reservation import Reservation
from fuchsiaroute.pool._selection import Selection
from fuchsiaroute.pool._send_gate import SendGate

_NO_OUTCOMES = Outcomes()


class EndpointPool:
    """
    All announced endpoints with their state, load and warmth.

    Own requests are counted exactly; the loads of other instances are delayed.

    Cold endpoints get no requests while ``is_share_confirmed`` returns False: the other
    instances may not count this one then.
    """

    def __init__(
        self,
        *,
        instance: InstanceId,
        clock: Clock,
        random: Random,
        gate: SendGate | None = None,
        is_share_confirmed: Callable[[], bool] = lambda: True,
    ) -> None:
        self._instance = instance
        self._clock = clock
        self._selection = Selection(random)
        self._gate = gate or SendGate(clock=clock)
        self._is_share_confirmed = is_share_confirmed
        self._members: dict[EndpointId, PoolMember] = {}
        self._peer_loads = PeerLoads()
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

        Only endpoints of ``versions`` count, unless it is None. Those that are cold or
        that take no requests now count only if all others do neither: they have no
        backlog because they may not get one.
        """
        usable = [
            item
            for item in self.members(service)
            if item.is_usable
            and (versions is None or item.endpoint.version in versions)
        ]
        open_now = [
            item
            for item in usable
            if not (item.is_cold or item.is_full or item.is_paused)
        ]
        return min((item.backlog for item in open_now or usable), default=0.0)

    def member(self, endpoint: EndpointId) -> PoolMember | None:
        """Return an announced endpoint; None if there is none with this id."""
        return self._members.get(endpoint)

    def endpoints(self) -> list[Endpoint]:
        """Return all announced endpoints."""
        return [member.endpoint for member in self._members.values()]

    def own_loads(self) -> dict[EndpointId, Load]:
        """Return this instance's load at each endpoint, zeros left out."""
        return {
            name: Load(member.own_load, member.own_work)
            for name, member in self._members.items()
            if member.own_load
        }

    def own_outcomes(self) -> dict[EndpointId, Outcomes]:
        """Return recent outcomes at endpoints where requests of any instance failed."""
        found = {}
        for name, member in self._members.items():
            own = member.recent_outcomes.current
            if max(own.failed, member.peer_outcomes.failed) >= MIN_TOLD:
                found[name] = own
        return found

    def use_peer_outcomes(self, outcomes: Mapping[EndpointId, Outcomes]) -> None:
        """Replace the sums of the other instances' recent outcomes."""
        for name, member in self._members.items():
            member.update_peer_outcomes(outcomes.get(name, _NO_OUTCOMES))

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
        Replace the instances that share rates; this one is always included.

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

    def needs_share(self) -> bool:
        """Return whether this instance has a part in the rate of a cold endpoint."""
        return any(
            member.is_cold and member.cold_limiter.rate > 0.0
            for member in self._members.values()
        )

    def update_peer(
        self, instance: InstanceId, loads: Mapping[EndpointId, Load]
    ) -> None:
        """Replace the loads that another instance reported."""
        self._peer_loads.update(instance, loads)

    def keep_peers(self, instances: Iterable[InstanceId]) -> None:
        """Remove the loads of all other instances than ``instances``."""
        self._peer_loads.keep(instances, endpoints=self._members.keys())

    def update_evacuated(self, domains: Iterable[FailureDomainId]) -> None:
        """Replace the evacuated failure domains, which get no new requests."""
        self._evacuated = frozenset(domains)
        for member in self._members.values():
            self._apply_evacuation(member)

    def announce(self, endpoint: Endpoint) -> None:
        """Add or update an endpoint from its announcement."""
        member = self._members.get(endpoint.id)
        if member is None or member.is_replaced_by(endpoint):
            member = PoolMember(
                clock=self._clock,
                endpoint=endpoint,
                cold_limiter=ColdRateLimiter(endpoint.id, clock=self._clock),
            )
            member.peers = self._peer_loads.total(endpoint.id)
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

    def record_path_change(self, endpoint: EndpointId) -> None:
        """Record that the path to an endpoint, which is reached, is another one now."""
        member = self._members.get(endpoint)
        if member is not None:
            member.record_path_change()

    def has_crashed(self, endpoint: EndpointId) -> bool:
        """Return whether a crash of an endpoint was recorded just now."""
        member = self._members.get(endpoint)
        return member is not None and member.has_crashed

    def has_silent(self, service: ServiceId, *, beside: EndpointId) -> bool:
        """Return whether an endpoint other than ``beside`` was found silent."""
        return any(
            member.is_silent and member.endpoint.id != beside
            for member in self.members(service)
        )

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

    def restarted(self) -> list[tuple[EndpointId, int, Milliseconds]]:
        """
        Return the endpoints whose announced process was found to have ended.

        Each has the start of that process and the time for which the one that follows
        may still be cold.
        """
        return [
            (name, member.endpoint.started_at, left)
            for name, member in self._members.items()
            if (left := member.restart_cold_left)
        ]

    def mark_restarted(
        self, endpoint: EndpointId, started_at: int, cold_left: Milliseconds
    ) -> None:
        """Limit an endpoint whose announced process a peer has found to have ended."""
        member = self._members.get(endpoint)
        if member is not None and member.endpoint.started_at == started_at:
            member.mark_cold(min(cold_left, member.cold_period))

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

    def can_take(self, demand: Demand) -> bool:
        """
        Return whether an endpoint has room for a request now.

        It may still need a permit, which ``choose`` asks for.
        """
        return any(
            member.is_usable and self._has_capacity(member, demand)
            for member in self._candidates(demand)
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
        # Several instances know more of a failing endpoint than this one alone.
        available = [item for item in available if not item.is_failing] or available
        if not self._gate.is_needed:
            return self._reserve(self._selection.select(available, demand), demand)
        return self._choose_permitted(available, demand)

    def room_wait(self, demand: Demand) -> float:
        """
        Return the milliseconds until an endpoint's backlog is short enough.

        It is 0 unless all usable endpoints have more work queued than the request may
        join, as engines work it off at one millisecond a millisecond.
        """
        return max(
            min(
                (
                    member.backlog - demand.max_backlog
                    for member in self._candidates(demand)
                    if member.is_usable
                ),
                default=0.0,
            ),
            0.0,
        )

    def permit_wait(self, demand: Demand, ahead: float) -> Milliseconds | None:
        """
        Return the expected time until a permit if only permits are missing.

        ``ahead`` requests wait before the one with ``demand``. None is returned if an
        endpoint without a rate or with a permit could take it, or none has capacity.
        """
        if not self._gate.is_needed:
            return None
        available = [
            member
            for member in self._candidates(demand)
            if member.is_usable and self._has_capacity(member, demand)
        ]
        if not available or not all(map(self._gate.lacks_only_permit, available)):
            return None
        return self._gate.expected_wait(available, ahead)

    def _reserve(self, member: PoolMember, demand: Demand) -> Reservation:
        return Reservation(member, gate=self._gate, work=demand.work)

    def _choose_permitted(
        self, available: list[PoolMember], demand: Demand
    ) -> Reservation | NoChoice:
        """
        Select an endpoint to which a request may be sent now.

        Permits or places of those that would have been better are requested.
        """
        permitted = [member for member in available if self._gate.may_send(member)]
        if not permitted:
            is_rate_limited = all(map(self._gate.lacks_only_permit, available))
            for member in available:
                self._gate.want(member)
            return NoChoice.RATE_LIMITED if is_rate_limited else NoChoice.FULL
        best = self._selection.select(available, demand)
        if best in permitted:
            return self._reserve(best, demand)
        self._gate.want(best)
        return self._reserve(self._selection.select(permitted, demand), demand)

    def _candidates(self, demand: Demand) -> list[PoolMember]:
        return [
            member
            for member in self.members(demand.service)
            if member.endpoint.id not in demand.excluded
            and (demand.versions is None or member.endpoint.version in demand.versions)
            and not _is_too_silent(member, demand.max_silence)
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
            if self._gate.may_send(member):
                return member
            self._gate.want(member)
        return None

    def _has_capacity(self, member: PoolMember, demand: Demand) -> bool:
        if member.is_full or member.is_paused or member.backlog > demand.max_backlog:
            return False
        if member.is_cold and not (
            self._is_share_confirmed() and member.cold_limiter.is_allowed()
        ):
            return False
        service = self._services.get(member.endpoint.service)
        # Places limit the sum over all instances; the loads of others are delayed.
        load = member.own_load if self._gate.needs_place(member) else member.load
        return load < capacity(member, service)

    def _update_cold_rate(self, member: PoolMember) -> None:
        service = self._services.get(member.endpoint.service)
        rate = service.cold_requests_per_second if service is not None else 0.0
        member.cold_period = Milliseconds(0)
        if service is not None and rate > 0.0:
            member.cold_period = service.cold_period
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


def _is_too_silent(member: PoolMember, limit: Milliseconds | None) -> bool:
    return limit is not None and (member.is_silent or member.silence >= limit)
