"""Carries the faults of a schedule out."""

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
from soak._fleet import Fleet, Place
from soak._instances import RESTART_DELAY
from soak._proxy import Link, LinkState
from soak._record import STORE, Exposure, Order
from soak._schedule import Fault, FaultKind
from soak._traffic import Traffic

#: Time after the start of a process for which it counts as disturbed.
_START = Milliseconds(1_000)
#: Silence after which an endpoint that crashed is taken out of the store.
_SILENCE = Milliseconds(3_600)
#: Time for which an endpoint serves after it has said that it leaves.
_SERVES_ON = Milliseconds(DRAIN + 1_000)
#: Time that a cold endpoint stays cold.
_COLD = Milliseconds(3_000)
#: Time in which the entries of endpoints are back after an outage of the store.
_STORE_RETURN = Milliseconds(2_000)
#: Strength of each sickness, as a share of requests; "slow" is a factor.
_SICK = {
    "failing": Behaviour(failing=0.5),
    "losing-answers": Behaviour(losing_answers=0.3),
    "cutting": Behaviour(cutting=0.1),
    "garbling": Behaviour(garbling=0.4),
    "slow": Behaviour(slowness=10.0),
}
_BAD_VERSION = Behaviour(failing=0.6)
_ROLLOUT = Milliseconds(8_000)
#: Callers that come in addition during a burst.
_BURST = 40

_Action = Callable[[Fault], Awaitable[None]]


class Injector:
    """Runs each fault of a schedule as a task of its own, so that they overlap."""

    def __init__(self, fleet: Fleet, traffic: Traffic) -> None:
        self._fleet = fleet
        self._traffic = traffic
        self._clock = fleet.clock
        self._evacuated: set[str] = set()
        self._leaving: set[str] = set()
        self._cold: set[str] = set()
        self._actions: dict[FaultKind, _Action] = {
            FaultKind.PAUSE: self._pause,
            FaultKind.KILL: self._kill,
            FaultKind.KILL_ALL: self._kill_all,
            FaultKind.STOP: self._stop,
            FaultKind.STOP_IN_TURN: self._stop_in_turn,
            FaultKind.RELOAD: self._reload,
            FaultKind.CLOCK_STEP: self._step_clock,
            FaultKind.CALLER_LINK: self._harm_callers,
            FaultKind.STORE_LINK: self._harm_store_link,
            FaultKind.ENDPOINT_LINK: self._harm_endpoint,
            FaultKind.STORE: self._harm_store,
            FaultKind.STORE_FORGETS: self._forget,
            FaultKind.ENDPOINT_CRASH: self._crash,
            FaultKind.ENDPOINT_LEAVES: self._leave,
            FaultKind.ENDPOINT_COLD: self._cool,
            FaultKind.ENDPOINT_SICK: self._sicken,
            FaultKind.ROUTES: self._add_route,
            FaultKind.REVOKE: self._revoke,
            FaultKind.EVACUATE: self._evacuate,
            FaultKind.ROLLOUT: self._roll_out,
            FaultKind.BURST: self._burst,
        }

    async def carry_out(self, fault: Fault) -> None:
        """Begin a fault, wait for its end and take it back."""
        await self._actions[fault.kind](fault)

    def _place(self, fault: Fault) -> Place:
        return self._fleet.places[fault.target % len(self._fleet.places)]

    def _endpoint(self, fault: Fault) -> tuple[RecordingEndpoint, Link]:
        endpoints = list(self._fleet.endpoints.values())
        return endpoints[fault.target % len(endpoints)]

    def _disturb(self, name: str, lasts: Milliseconds) -> None:
        now = self._clock.now()
        end = Milliseconds(now + lasts)
        self._fleet.record.disturbances.add(name, now, end)

    async def _pause(self, fault: Fault) -> None:
        instance = self._place(fault).instance
        life = instance.life
        self._disturb(instance.name, fault.lasts)
        instance.signal(signal.SIGSTOP)
        await self._clock.sleep(fault.lasts)
        if instance.life == life:
            instance.signal(signal.SIGCONT)

    async def _kill(self, fault: Fault) -> None:
        instance = self._place(fault).instance
        self._disturb(instance.name, Milliseconds(RESTART_DELAY + _START))
        instance.signal(signal.SIGKILL)

    async def _kill_all(self, fault: Fault) -> None:
        for place in self._fleet.places:
            name = place.instance.name
            self._disturb(name, Milliseconds(RESTART_DELAY + _START))
            place.instance.signal(signal.SIGKILL)

    async def _stop(self, fault: Fault) -> None:
        await self._stop_instance(self._place(fault))

    async def _stop_instance(self, place: Place) -> None:
        begin = self._clock.now()
        # A process that is suspended cannot act on the signal.
        await place.instance.stop()
        end = Milliseconds(self._clock.now() + RESTART_DELAY + _START)
        self._fleet.record.disturbances.add(place.instance.name, begin, end)

    async def _stop_in_turn(self, fault: Fault) -> None:
        for place in self._fleet.places:
            await self._stop_instance(place)

    async def _reload(self, fault: Fault) -> None:
        place = self._place(fault)
        place.settings["memory"] = 250 + fault.target % 50
        self._fleet.write_settings(place)
        place.instance.signal(signal.SIGHUP)

    async def _step_clock(self, fault: Fault) -> None:
        instance = self._place(fault).instance
        self._disturb(instance.name, fault.lasts)
        instance.step_clock(Milliseconds(int(fault.variant)))
        await self._clock.sleep(fault.lasts)
        instance.step_clock(Milliseconds(0))

    async def _harm(self, link: Link, fault: Fault) -> None:
        if fault.variant == "reset":
            link.reset()
        elif fault.variant == "silenced":
            link.silence()
        else:
            link.change(LinkState(fault.variant))
            await self._clock.sleep(fault.lasts)
            link.change(LinkState.SOUND)

    async def _harm_callers(self, fault: Fault) -> None:
        place = self._place(fault)
        self._disturb(place.instance.name, fault.lasts)
        await self._harm(place.callers, fault)

    async def _harm_store_link(self, fault: Fault) -> None:
        place = self._place(fault)
        self._disturb(place.instance.name, fault.lasts)
        await self._harm(place.store, fault)

    async def _harm_endpoint(self, fault: Fault) -> None:
        endpoint, link = self._endpoint(fault)
        self._disturb(endpoint.id, fault.lasts)
        await self._harm(link, fault)

    async def _harm_store(self, fault: Fault) -> None:
        self._disturb(STORE, Milliseconds(fault.lasts + _STORE_RETURN))
        mode = StoreMode(fault.variant)
        self._fleet.store.mode = mode
        await self._clock.sleep(fault.lasts)
        if self._fleet.store.mode is mode:
            self._fleet.store.mode = StoreMode.SOUND

    async def _forget(self, fault: Fault) -> None:
        self._disturb(STORE, Milliseconds(0))
        self._fleet.store.drop_history()

    async def _crash(self, fault: Fault) -> None:
        endpoint, link = self._endpoint(fault)
        self._disturb(endpoint.id, Milliseconds(_SILENCE + fault.lasts))
        endpoint.close()
        link.change(LinkState.REFUSING)
        link.reset()
        await self._clock.sleep(_SILENCE)
        if endpoint.id in self._fleet.endpoints:
            await self._fleet.remove(endpoint).close()
        await self._fleet.add_endpoint(
            endpoint.service, endpoint.domain, version=endpoint.version
        )

    async def _leave(self, fault: Fault) -> None:
        endpoint, link = self._endpoint(fault)
        if endpoint.id in self._leaving:
            return
        self._leaving.add(endpoint.id)
        await self._fleet.add_endpoint(
            endpoint.service, endpoint.domain, version=endpoint.version
        )
        self._forbid("draining", DRAIN, endpoint)
        self._fleet.announce(endpoint, is_draining=True)
        await self._clock.sleep(_SERVES_ON)
        if endpoint.id not in self._fleet.endpoints:
            return
        self._fleet.remove(endpoint)
        self._disturb(endpoint.id, _SILENCE)
        endpoint.close()
        await link.close()

    def _forbid(
        self, name: str, within: Milliseconds, *endpoints: RecordingEndpoint
    ) -> None:
        order = Order(
            at=self._clock.now(),
            endpoints=frozenset(endpoint.id for endpoint in endpoints),
            within=within,
            name=name,
        )
        self._fleet.record.orders.append(order)

    async def _cool(self, fault: Fault) -> None:
        endpoint, _ = self._endpoint(fault)
        if endpoint.id in self._leaving | self._cold:
            return
        self._cold.add(endpoint.id)
        now = self._clock.now()
        # Instances learn of it within the time to apply an order.
        begin, end = Milliseconds(now + APPLY), Milliseconds(now + _COLD)
        self._fleet.record.cold.add(endpoint.id, begin, end)
        self._fleet.announce(endpoint, cold_for=_COLD)
        await self._clock.sleep(_COLD)
        self._cold.discard(endpoint.id)
        if endpoint.id in self._fleet.endpoints and endpoint.id not in self._leaving:
            self._fleet.announce(endpoint)

    async def _sicken(self, fault: Fault) -> None:
        endpoint, _ = self._endpoint(fault)
        former = endpoint.behaviour
        self._disturb(endpoint.id, fault.lasts)
        endpoint.behaviour = _SICK[fault.variant]
        await self._clock.sleep(fault.lasts)
        endpoint.behaviour = former

    async def _add_route(self, fault: Fault) -> None:
        added = added_route(self._fleet.added_routes)
        self._fleet.added_routes += 1
        self._fleet.configuration_version += 1 + fault.target % 3
        self._fleet.declare()
        self._fleet.record.routes[added] = self._clock.now()

    async def _revoke(self, fault: Fault) -> None:
        if not self._fleet.has_second_key:
            return
        self._fleet.has_second_key = False
        self._fleet.configuration_version += 1
        self._fleet.declare()
        order = Order(
            at=self._clock.now(), key=REVOKED_KEY, within=APPLY, name="revoked key"
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
        # An order shorter than its time to take effect would check nothing.
        await self._clock.sleep(Milliseconds(EVACUATE + fault.lasts))
        struck = [item for item in fleet.all_endpoints if item.domain == domain]
        order = Order(
            at=begin,
            until=fleet.clock.now(),
            endpoints=frozenset(endpoint.id for endpoint in struck),
            within=EVACUATE,
            name="evacuated",
        )
        fleet.record.orders.append(order)
        fleet.store.end_evacuation(domain)
        self._evacuated.discard(domain)

    async def _roll_out(self, fault: Fault) -> None:
        fleet, service = self._fleet, (APP, POOL)[fault.target % 2]
        for number in range(3):
            domain = fleet.domain(number)
            endpoint = await fleet.add_endpoint(service, domain, version="v2")
            if fault.variant == "bad":
                endpoint.behaviour = _BAD_VERSION
        begin = fleet.clock.now()
        fleet.store.roll_out(service, "v2", _ROLLOUT)
        end = Milliseconds(begin + _ROLLOUT)
        if fault.variant == "bad":
            exposure = Exposure(service=service, version="v2", begin=begin, end=end)
            fleet.record.exposures.append(exposure)

    async def _burst(self, fault: Fault) -> None:
        await self._traffic.burst(_BURST, fault.lasts)
