"""Injection of the faults of a schedule."""

import signal
from collections.abc import Awaitable, Callable

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.platform.tests.failing_store import StoreMode
from fuchsiaroute.platform.tests.recording_endpoint import Behaviour, RecordingEndpoint
from fuchsiaroute.platform.tests.soak_platform import (
    APP,
    APPLY,
    DRAIN,
    EVACUATE,
    POOL,
    REVOKED_KEY,
    added_route,
)
from soak._fleet import Fleet, Node
from soak._foreign_rows import FOREIGN_ROWS
from soak._instances import RESTART_DELAY
from soak._proxy import Link, LinkState
from soak._record import STORE, BadRollout, OperatorOrder
from soak._schedule import Fault, FaultKind
from soak._stop_faults import START_TIME, Stops
from soak._traffic import Traffic

#: Time after which the platform removes a crashed endpoint from the store.
_CRASH_DETECTION_TIME = Milliseconds(3_600)
#: Time for which a draining endpoint still serves.
_DRAIN_DURATION = Milliseconds(DRAIN + 1_000)
_COLD_DURATION = Milliseconds(3_000)
#: Time after a store outage until all endpoint records are present again.
_STORE_RECOVERY_TIME = Milliseconds(2_000)
#: Behaviour by variant, as a share of requests; "slow" is a factor.
_DEGRADED = {
    "failing": Behaviour(failing=0.5),
    "losing-answers": Behaviour(losing_answers=0.3),
    "cutting": Behaviour(cutting=0.1),
    "garbling": Behaviour(garbling=0.4),
    "slow": Behaviour(slowness=10.0),
    "named": Behaviour(repeating=0.3, names_requests=True),
    "unnamed": Behaviour(repeating=0.3),
}
#: Time for which the store is away before it comes back from a copy, and after which
#: operators and endpoints write again what it has lost.
_AWAY_TIME = Milliseconds(300)
_REWRITE_TIME = Milliseconds(700)
_BAD_VERSION_BEHAVIOUR = Behaviour(failing=0.6)
_ROLLOUT_DURATION = Milliseconds(8_000)
#: Additional callers during a burst.
_BURST_CALLERS = 40

_Action = Callable[[Fault], Awaitable[None]]


class Injector:
    """Injects faults; calls for several faults may overlap."""

    def __init__(self, fleet: Fleet, traffic: Traffic) -> None:
        self._fleet = fleet
        self._traffic = traffic
        self._clock = fleet.clock
        self._evacuated: set[str] = set()
        self._draining: set[str] = set()
        self._cold: set[str] = set()
        stops = Stops(fleet, self.inject)
        self._actions: dict[FaultKind, _Action] = {
            FaultKind.PAUSE: self._pause,
            FaultKind.KILL: self._kill,
            FaultKind.KILL_ALL: self._kill_all,
            FaultKind.STOP: stops.stop,
            FaultKind.STOP_IN_TURN: stops.stop_in_turn,
            FaultKind.RELOAD: stops.reload,
            FaultKind.CLOCK_STEP: self._step_clock,
            FaultKind.CALLER_LINK: self._disturb_caller_link,
            FaultKind.STORE_LINK: self._disturb_store_link,
            FaultKind.ENDPOINT_LINK: self._disturb_endpoint_link,
            FaultKind.STORE: self._fail_store,
            FaultKind.STORE_FORGETS: self._drop_store_history,
            FaultKind.ENDPOINT_CRASH: self._crash_endpoint,
            FaultKind.ENDPOINT_LEAVES: self._drain_endpoint,
            FaultKind.ENDPOINT_COLD: self._make_endpoint_cold,
            FaultKind.ENDPOINT_SICK: self._degrade_endpoint,
            FaultKind.ROUTES: self._add_route,
            FaultKind.REVOKE: self._revoke,
            FaultKind.EVACUATE: self._evacuate,
            FaultKind.ROLLOUT: self._start_rollout,
            FaultKind.BURST: self._burst,
            FaultKind.RESTORE: self._restore,
            FaultKind.ENDPOINT_SAYS_LEAVING: self._leave_by_answer,
            FaultKind.ENDPOINT_PAUSES: self._pause_endpoint,
            FaultKind.STOP_SERIES: stops.stop_series,
            FaultKind.FOREIGN_ROW: self._write_foreign_row,
            FaultKind.ENDPOINT_REPEATS: self._degrade_endpoint,
        }

    async def inject(self, fault: Fault) -> None:
        """Inject a fault, wait until it ends and restore the normal state."""
        await self._actions[fault.kind](fault)

    def _node(self, fault: Fault) -> Node:
        return self._fleet.nodes[fault.target % len(self._fleet.nodes)]

    def _endpoint(self, fault: Fault) -> tuple[RecordingEndpoint, Link]:
        endpoints = list(self._fleet.endpoints.values())
        return endpoints[fault.target % len(endpoints)]

    def _record_disturbance(self, name: str, lasts: Milliseconds) -> None:
        now = self._clock.now()
        end = Milliseconds(now + lasts)
        self._fleet.record.disturbances.add(name, now, end)

    async def _pause(self, fault: Fault) -> None:
        instance = self._node(fault).instance
        process_index = instance.process_index
        self._record_disturbance(instance.name, fault.lasts)
        instance.signal(signal.SIGSTOP)
        await self._clock.sleep(fault.lasts)
        if instance.process_index == process_index:
            instance.signal(signal.SIGCONT)

    async def _kill(self, fault: Fault) -> None:
        instance = self._node(fault).instance
        self._record_disturbance(
            instance.name, Milliseconds(RESTART_DELAY + START_TIME)
        )
        instance.signal(signal.SIGKILL)

    async def _kill_all(self, fault: Fault) -> None:
        for node in self._fleet.nodes:
            name = node.instance.name
            self._record_disturbance(name, Milliseconds(RESTART_DELAY + START_TIME))
            node.instance.signal(signal.SIGKILL)

    async def _step_clock(self, fault: Fault) -> None:
        instance = self._node(fault).instance
        self._record_disturbance(instance.name, fault.lasts)
        instance.step_clock(Milliseconds(int(fault.variant)))
        await self._clock.sleep(fault.lasts)
        instance.step_clock(Milliseconds(0))

    async def _disturb_link(self, link: Link, fault: Fault) -> None:
        if fault.variant == "reset":
            link.reset()
        elif fault.variant == "silenced":
            link.stall()
        else:
            link.set_state(LinkState(fault.variant))
            await self._clock.sleep(fault.lasts)
            link.set_state(LinkState.SOUND)

    async def _disturb_caller_link(self, fault: Fault) -> None:
        node = self._node(fault)
        self._record_disturbance(node.instance.name, fault.lasts)
        await self._disturb_link(node.callers, fault)

    async def _disturb_store_link(self, fault: Fault) -> None:
        node = self._node(fault)
        self._record_disturbance(node.instance.name, fault.lasts)
        await self._disturb_link(node.store, fault)

    async def _disturb_endpoint_link(self, fault: Fault) -> None:
        endpoint, link = self._endpoint(fault)
        self._record_disturbance(endpoint.id, fault.lasts)
        await self._disturb_link(link, fault)

    async def _fail_store(self, fault: Fault) -> None:
        self._record_disturbance(
            STORE, Milliseconds(fault.lasts + _STORE_RECOVERY_TIME)
        )
        mode = StoreMode(fault.variant)
        self._fleet.store.mode = mode
        await self._clock.sleep(fault.lasts)
        if self._fleet.store.mode is mode:
            self._fleet.store.mode = StoreMode.SOUND

    async def _drop_store_history(self, fault: Fault) -> None:
        self._record_disturbance(STORE, Milliseconds(0))
        self._fleet.store.drop_history()

    async def _restore(self, fault: Fault) -> None:
        """Lose what was written while the fault lasted."""
        store = self._fleet.store
        copy = store.copy()
        await self._clock.sleep(fault.lasts)
        self._record_disturbance(
            STORE, Milliseconds(_AWAY_TIME + _REWRITE_TIME + _STORE_RECOVERY_TIME)
        )
        store.mode = StoreMode.DOWN
        await self._clock.sleep(_AWAY_TIME)
        lost = store.operators_and_endpoints_rows()
        store.restore(copy)
        restored = store.operators_and_endpoints_rows()
        if store.mode is StoreMode.DOWN:
            store.mode = StoreMode.SOUND
        await self._clock.sleep(_REWRITE_TIME)
        store.write_again(lost, restored)

    async def _leave_by_answer(self, fault: Fault) -> None:
        """Let an endpoint leave that says so in its answers and nowhere else."""
        endpoint, link = self._endpoint(fault)
        if endpoint.id in self._draining:
            return
        self._draining.add(endpoint.id)
        await self._fleet.add_endpoint(
            endpoint.service, endpoint.domain, version=endpoint.version
        )
        endpoint.is_leaving = True
        await self._clock.sleep(_DRAIN_DURATION)
        if endpoint.said_leaving_at is not None:
            order = OperatorOrder(
                at=endpoint.said_leaving_at,
                endpoints=frozenset({endpoint.id}),
                effective_within=DRAIN,
                name="said leaving",
            )
            self._fleet.record.orders.append(order)
        await self._end_endpoint(endpoint, link)

    async def _pause_endpoint(self, fault: Fault) -> None:
        endpoint, _ = self._endpoint(fault)
        self._record_disturbance(endpoint.id, fault.lasts)
        endpoint.pause = f"{fault.lasts / 1_000:.2f}"
        await self._clock.sleep(fault.lasts)
        endpoint.pause = None

    async def _crash_endpoint(self, fault: Fault) -> None:
        endpoint, link = self._endpoint(fault)
        self._record_disturbance(
            endpoint.id, Milliseconds(_CRASH_DETECTION_TIME + fault.lasts)
        )
        endpoint.close()
        link.set_state(LinkState.REFUSING)
        link.reset()
        await self._clock.sleep(_CRASH_DETECTION_TIME)
        if endpoint.id in self._fleet.endpoints:
            await self._fleet.remove(endpoint).close()
        await self._fleet.add_endpoint(
            endpoint.service, endpoint.domain, version=endpoint.version
        )

    async def _drain_endpoint(self, fault: Fault) -> None:
        endpoint, link = self._endpoint(fault)
        if endpoint.id in self._draining:
            return
        self._draining.add(endpoint.id)
        await self._fleet.add_endpoint(
            endpoint.service, endpoint.domain, version=endpoint.version
        )
        self._record_endpoint_order("draining", DRAIN, endpoint)
        self._fleet.announce(endpoint, is_draining=True)
        await self._clock.sleep(_DRAIN_DURATION)
        await self._end_endpoint(endpoint, link)

    async def _end_endpoint(self, endpoint: RecordingEndpoint, link: Link) -> None:
        """End an endpoint that has left, unless it has crashed meanwhile."""
        if endpoint.id not in self._fleet.endpoints:
            return
        self._fleet.remove(endpoint)
        self._record_disturbance(endpoint.id, _CRASH_DETECTION_TIME)
        endpoint.close()
        await link.close()

    def _record_endpoint_order(
        self, name: str, within: Milliseconds, *endpoints: RecordingEndpoint
    ) -> None:
        order = OperatorOrder(
            at=self._clock.now(),
            endpoints=frozenset(endpoint.id for endpoint in endpoints),
            effective_within=within,
            name=name,
        )
        self._fleet.record.orders.append(order)

    async def _make_endpoint_cold(self, fault: Fault) -> None:
        endpoint, _ = self._endpoint(fault)
        if endpoint.id in self._draining | self._cold:
            return
        self._cold.add(endpoint.id)
        now = self._clock.now()
        # Instances have APPLY to apply the endpoint's new state.
        begin, end = Milliseconds(now + APPLY), Milliseconds(now + _COLD_DURATION)
        self._fleet.record.cold_periods.add(endpoint.id, begin, end)
        self._fleet.announce(endpoint, cold_for=_COLD_DURATION)
        await self._clock.sleep(_COLD_DURATION)
        self._cold.discard(endpoint.id)
        if endpoint.id in self._fleet.endpoints and endpoint.id not in self._draining:
            self._fleet.announce(endpoint)

    async def _degrade_endpoint(self, fault: Fault) -> None:
        endpoint, _ = self._endpoint(fault)
        previous_behaviour = endpoint.behaviour
        self._record_disturbance(endpoint.id, fault.lasts)
        endpoint.behaviour = _DEGRADED[fault.variant]
        await self._clock.sleep(fault.lasts)
        endpoint.behaviour = previous_behaviour

    async def _add_route(self, fault: Fault) -> None:
        added = added_route(self._fleet.added_route_count)
        self._fleet.added_route_count += 1
        self._fleet.configuration_version += 1 + fault.target % 3
        self._fleet.declare()
        self._fleet.record.route_added_at[added] = self._clock.now()

    async def _revoke(self, fault: Fault) -> None:
        if not self._fleet.has_second_key:
            return
        self._fleet.has_second_key = False
        self._fleet.configuration_version += 1
        self._fleet.declare()
        order = OperatorOrder(
            at=self._clock.now(),
            key=REVOKED_KEY,
            effective_within=APPLY,
            name="revoked key",
        )
        self._fleet.record.orders.append(order)

    async def _evacuate(self, fault: Fault) -> None:
        fleet = self._fleet
        domain = fleet.domain(fault.target)
        if domain in self._evacuated:
            return
        self._evacuated.add(domain)
        begin = fleet.clock.now()
        fleet.store.evacuate(domain)
        # An evacuation shorter than EVACUATE would end before it must be in effect.
        await self._clock.sleep(Milliseconds(EVACUATE + fault.lasts))
        evacuated = [item for item in fleet.all_endpoints if item.domain == domain]
        order = OperatorOrder(
            at=begin,
            until=fleet.clock.now(),
            endpoints=frozenset(endpoint.id for endpoint in evacuated),
            effective_within=EVACUATE,
            name="evacuated",
        )
        fleet.record.orders.append(order)
        fleet.store.end_evacuation(domain)
        self._evacuated.discard(domain)

    async def _start_rollout(self, fault: Fault) -> None:
        fleet, service = self._fleet, (APP, POOL)[fault.target % 2]
        for number in range(3):
            domain = fleet.domain(number)
            endpoint = await fleet.add_endpoint(service, domain, version="v2")
            if fault.variant == "bad":
                endpoint.behaviour = _BAD_VERSION_BEHAVIOUR
        begin = fleet.clock.now()
        fleet.store.roll_out(service, "v2", _ROLLOUT_DURATION)
        end = Milliseconds(begin + _ROLLOUT_DURATION)
        if fault.variant == "bad":
            rollout = BadRollout(service=service, version="v2", begin=begin, end=end)
            fleet.record.bad_rollouts.append(rollout)

    async def _write_foreign_row(self, fault: Fault) -> None:
        """Write a row that instances must neither use nor fail at."""
        table, key, value = FOREIGN_ROWS[fault.variant]
        self._fleet.store.put_bytes(table, key, value)
        await self._clock.sleep(fault.lasts)
        self._fleet.store.put_bytes(table, key, None)

    async def _burst(self, fault: Fault) -> None:
        await self._traffic.burst(_BURST_CALLERS, fault.lasts)
