"""Changes that end the use of an endpoint or a connection while it has a request."""

import asyncio
import dataclasses
import itertools
from collections.abc import Callable

import pytest

from fuchsiaroute.http1 import InboundRequest, Responder
from fuchsiaroute.platform import Address
from fuchsiaroute.platform.tests.node_harness import CONFIGURATION, ROUTES, NodeHarness
from fuchsiaroute.platform.tests.standin import Endpoint
from fuchsiaroute.store import store_position

Change = Callable[[NodeHarness], None]
#: Time between two events; less than the gap after which a stream is resumed.
EVENT_INTERVAL_SECONDS = 0.05
#: Time for which requests run on after a change has been read.
EFFECT_SECONDS = 0.3
#: Limit that a change sets, and pause within an answer, which is longer.
IDLE_TIMEOUT_MS, PAUSE_SECONDS = 400, 1.5
PATHS = ("/read/", "/write/", "/stream/", "/once/")


def event(number: int) -> bytes:
    return b"id: %d\ndata: \n\n" % number


class RunningEndpoint(Endpoint):
    """Streams events until ``may_end`` is set."""

    def __init__(self, *, interval_seconds: float = EVENT_INTERVAL_SECONDS) -> None:
        super().__init__(self._answer)
        self.is_running = asyncio.Event()
        self.may_end = asyncio.Event()
        self.sent: dict[bytes, bytes] = {}
        self._interval_seconds = interval_seconds

    async def _answer(
        self, endpoint: Endpoint, request: InboundRequest, responder: Responder
    ) -> None:
        responder.start(200, self.headers(request))
        for number in itertools.count(1):
            responder.write(event(number))
            sent = self.sent.get(request.path, b"")
            self.sent[request.path] = sent + event(number)
            if len(self.sent) == len(PATHS):
                self.is_running.set()
            if self.may_end.is_set() and number > 1:
                break
            await asyncio.sleep(self._interval_seconds)
        responder.finish()


def declare(**changes: object) -> Change:
    """Return a change to a declaration with ``changes``."""
    declared = {**CONFIGURATION, "Version": 2, **changes}
    return lambda harness: harness.store.put("op", "config", declared)


def announce(**changes: object) -> Change:
    """Return a change of the endpoint's announcement."""

    def apply(harness: NodeHarness) -> None:
        (endpoint,) = harness.endpoints
        harness.store.put("servers", endpoint.id, endpoint.announcement(**changes))

    return apply


def withdraw(harness: NodeHarness) -> None:
    (endpoint,) = harness.endpoints
    harness.store.put("servers", endpoint.id, None)


def evacuate(harness: NodeHarness) -> None:
    harness.store.put("op", "evacuate/z1", {})


def complete_rollout(harness: NodeHarness) -> None:
    order = {"Service": "app", "To": "v2", "DurationS": 1}
    harness.store.put("op", "rollout/app", order)


def restore_store(harness: NodeHarness) -> None:
    harness.store.restore(({}, 0))


def reload(harness: NodeHarness) -> None:
    """Apply settings with another address of the store, at which nothing listens."""
    unused = Address(host="127.0.0.1", port=1)
    settings = dataclasses.replace(harness.node._settings, store=unused)
    harness.node._parts.reload(settings)


CHANGES = [
    declare(Routes=[ROUTES[1]]),
    declare(Services=[]),
    declare(Tenants=[]),
    declare(Services=[{"Name": "app", "MaxConnections": 0}]),
    declare(Limits={"IdleTimeoutMs": IDLE_TIMEOUT_MS}),
    announce(State="draining"),
    announce(born=2),
    announce(Address="127.0.0.1:1"),
    withdraw,
    evacuate,
    complete_rollout,
    restore_store,
    reload,
]


@pytest.mark.parametrize("change", CHANGES)
async def test_change_does_not_end_running_requests(change: Change) -> None:
    """Callers must get the whole answers of an endpoint that may not get others."""
    endpoint = RunningEndpoint()
    async with NodeHarness(endpoint) as harness:
        parts, store = harness.node._parts, harness.store
        feeds = (parts.orders_feed, parts.endpoints_feed)
        await harness.until(lambda: store.calls.count("rows-feed") >= len(feeds))
        callers = {path: harness.caller() for path in PATHS}
        for path, caller in callers.items():
            await caller.send(path, request_id=path)
        await endpoint.is_running.wait()
        change(harness)
        position = store_position(store.era or 0, store.counter)
        if change is reload:
            await harness.until(lambda: all(feed.unreachable_for() for feed in feeds))
        else:
            await harness.until(
                lambda: any((feed.revision or 0) >= position for feed in feeds)
            )
        if change is withdraw:
            await harness.until(lambda: endpoint.id not in parts.pool)
        await asyncio.sleep(EFFECT_SECONDS)
        endpoint.may_end.set()
        for path, caller in callers.items():
            reply = await caller.receive()
            assert (reply.status, reply.is_whole) == (200, True)
            assert reply.body == endpoint.sent[path.encode()]
    assert len(endpoint.requests) == len(PATHS)


async def test_idle_timeouts_do_not_end_running_requests() -> None:
    """A pause within an answer is longer than any connection may be idle."""
    endpoint = RunningEndpoint(interval_seconds=PAUSE_SECONDS)
    async with NodeHarness(endpoint) as harness:
        parts = harness.node._parts
        declare(Limits={"IdleTimeoutMs": IDLE_TIMEOUT_MS})(harness)
        await harness.until(lambda: parts.limits().idle_timeout == IDLE_TIMEOUT_MS)
        endpoint.may_end.set()
        # Not the resumable route: a stream that pauses there is resumed elsewhere.
        callers = {path: harness.caller() for path in ("/read/", "/write/", "/once/")}
        for path, caller in callers.items():
            await caller.send(path, request_id=path)
        for caller in callers.values():
            reply = await caller.receive()
            assert (reply.status, reply.is_whole) == (200, True)
            assert reply.body == event(1) + event(2)
