"""Endpoints that send nothing for a second or more and go on, or never do."""

import asyncio
from copy import deepcopy
from enum import Enum
from typing import Any

import pytest

from fuchsiaroute.http1 import InboundRequest, Responder, find_header
from fuchsiaroute.platform.tests.node_harness import (
    CONFIGURATION,
    NodeHarness,
    Reply,
    cluster,
)
from fuchsiaroute.platform.tests.standin import (
    STREAM_PATHS,
    Answer,
    Endpoint,
    fail,
    full,
    reset,
)

EVENTS = 8
EVENT_INTERVAL_S = 0.05
FIRST_EVENT_S = 0.1
#: Longest pause between events that the routes allow; silences here are longer.
GAP_TARGET_MS = 600
#: Deadline and route timeout: a silence alone must not use them up.
TIMEOUT_MS = 6_000
STREAMS = 12


class Others(Enum):
    """What the endpoints that are not silent do with the requests that they get."""

    FULL = "full"
    FAILING = "failing"
    RESETTING = "resetting"
    SILENT_IN_TURN = "silent-in-turn"


class PausingEndpoint(Endpoint):
    """Sends nothing while it is silent; then goes on with every run it still has."""

    def __init__(self, *, first_event_s: float = FIRST_EVENT_S) -> None:
        super().__init__(self._run)
        self._first_event_s = first_event_s
        self._goes_on = asyncio.Event()
        self._goes_on.set()
        #: Ids of the requests that arrived, in order.
        self.arrived: list[bytes | None] = []
        #: Replaces the response to requests that arrive from now on; None for none.
        self.turned_away: Answer | None = None

    def fall_silent(self) -> None:
        self._goes_on.clear()

    def go_on(self) -> None:
        self._goes_on.set()
        self.turned_away = None

    async def _run(
        self, endpoint: Endpoint, request: InboundRequest, responder: Responder
    ) -> None:
        if self.turned_away is not None:
            await self.turned_away(endpoint, request, responder)
            return
        self.arrived.append(find_header(request.headers, b"x-request-id"))
        await asyncio.sleep(self._first_event_s)
        await self._goes_on.wait()
        if not request.path.startswith(STREAM_PATHS):
            responder.send(200, self.headers(request), b"done")
            return
        headers = [*self.headers(request), (b"Content-Type", b"text/event-stream")]
        responder.start(200, headers)
        first = int(find_header(request.headers, b"last-event-id") or b"0") + 1
        for number in range(first, EVENTS + 1):
            await self._goes_on.wait()
            responder.write(b"id: %d\ndata: x\n\n" % number)
            await asyncio.sleep(EVENT_INTERVAL_S)
        responder.finish()


def configuration(version: int = 1, **route: Any) -> dict[str, Any]:
    changed = deepcopy(CONFIGURATION)
    changed["Version"] = version
    for item in changed["Routes"]:
        item.update({"TimeoutMs": TIMEOUT_MS, "GapTargetMs": GAP_TARGET_MS, **route})
    return changed


async def ask_all(
    harnesses: list[NodeHarness], path: str, count: int = STREAMS
) -> list[Reply]:
    async def ask(number: int) -> Reply:
        await asyncio.sleep(number * EVENT_INTERVAL_S / 2)
        caller = harnesses[number % len(harnesses)].caller()
        return await caller.ask(
            f"{path}{number}", request_id=f"r{number}", deadline=TIMEOUT_MS
        )

    return list(await asyncio.gather(*(ask(number) for number in range(count))))


def event_numbers(reply: Reply) -> list[int]:
    lines = reply.body.splitlines()
    return [int(line[4:]) for line in lines if line.startswith(b"id: ")]


def assert_whole(replies: list[Reply]) -> None:
    for reply in replies:
        assert reply.is_whole
        assert reply.status == 200
        assert event_numbers(reply) == list(range(1, EVENTS + 1))


@pytest.mark.parametrize("path", ["/stream/", "/once/"])
@pytest.mark.parametrize("silence_s", [0.7, 1.2, 2.0])
@pytest.mark.parametrize(
    ("instances", "silent"),
    [(1, [0]), (1, [0, 1]), (1, [0, 1, 2]), (3, [0, 1]), (3, [0, 1, 2])],
)
async def test_no_started_stream_is_cut_while_sound_endpoints_are_silent(
    instances: int, silent: list[int], silence_s: float, path: str
) -> None:
    """
    Guards against a run that is ended before another endpoint goes on with its stream.

    The other endpoint is silent as well, and the first one would have gone on.
    """
    endpoints = [PausingEndpoint() for _ in range(3)]
    async with cluster(
        instances, *endpoints, configuration=configuration()
    ) as harnesses:
        asking = asyncio.create_task(ask_all(harnesses, path))
        await asyncio.sleep(FIRST_EVENT_S + 3 * EVENT_INTERVAL_S)
        harnesses[0].store.put("op", "config", configuration(2, TargetLatencyMs=410))
        for number in silent:
            endpoints[number].fall_silent()
        await asyncio.sleep(silence_s)
        for endpoint in endpoints:
            endpoint.go_on()
        replies = await asking
        started = [reply for reply in replies if reply.body]
        assert started
        assert_whole(started)
        # An answer that had not begun may fail, with a whole response.
        assert all(reply.is_whole for reply in replies)


_TURNING_AWAY: dict[Others, Answer | None] = {
    Others.FULL: full,
    Others.FAILING: fail,
    Others.RESETTING: reset,
    Others.SILENT_IN_TURN: None,
}


@pytest.mark.parametrize("others", Others)
@pytest.mark.parametrize("silent", [[0], [0, 1]])
async def test_no_started_stream_is_cut_while_no_other_endpoint_takes_it(
    silent: list[int], others: Others
) -> None:
    """
    Guards against a run that is ended before another endpoint goes on with its stream.

    The other endpoints turn new requests away, and the silent one would have gone on.
    """
    endpoints = [PausingEndpoint() for _ in range(3)]
    async with cluster(1, *endpoints, configuration=configuration()) as harnesses:
        asking = asyncio.create_task(ask_all(harnesses, "/stream/"))
        await asyncio.sleep(FIRST_EVENT_S + 12 * EVENT_INTERVAL_S / 2)
        for number, endpoint in enumerate(endpoints):
            if number in silent:
                endpoint.fall_silent()
            elif others is Others.SILENT_IN_TURN:
                asyncio.get_running_loop().call_later(
                    GAP_TARGET_MS / 1_000, endpoint.fall_silent
                )
            else:
                endpoint.turned_away = _TURNING_AWAY[others]
        await asyncio.sleep(2.0)
        for endpoint in endpoints:
            endpoint.go_on()
        replies = await asking
        started = [reply for reply in replies if reply.body and reply.status == 200]
        assert started
        assert_whole(started)
        assert all(reply.is_whole for reply in replies)


@pytest.mark.parametrize("silent", [[0], [0, 1]])
async def test_streams_leave_endpoints_that_never_go_on(silent: list[int]) -> None:
    """Guards against streams that wait for a dead endpoint beside a sound one."""
    endpoints = [PausingEndpoint() for _ in range(3)]
    async with cluster(1, *endpoints, configuration=configuration()) as harnesses:
        asking = asyncio.create_task(ask_all(harnesses, "/stream/", 6))
        await asyncio.sleep(FIRST_EVENT_S + 3 * EVENT_INTERVAL_S)
        for number in silent:
            endpoints[number].fall_silent()
        replies = await asking
        assert_whole(replies)


@pytest.mark.parametrize("path", ["/read/", "/write/"])
async def test_whole_answers_follow_when_all_endpoints_go_on(path: str) -> None:
    """Guards against requests that use up their attempts at silent endpoints."""
    endpoints = [PausingEndpoint() for _ in range(3)]
    async with cluster(1, *endpoints, configuration=configuration()) as harnesses:
        # Usual durations are known.
        for number in range(20):
            await harnesses[0].caller().ask(f"{path}w{number}", request_id=f"w{number}")
        for endpoint in endpoints:
            endpoint.fall_silent()
        asking = asyncio.create_task(ask_all(harnesses, path, 9))
        await asyncio.sleep(1.5)
        for endpoint in endpoints:
            endpoint.go_on()
        replies = await asking
        assert [reply.status for reply in replies] == [200] * len(replies)
        if path == "/write/":
            arrived = [name for item in endpoints for name in item.arrived]
            assert len(arrived) == len(set(arrived))


@pytest.mark.parametrize("others", Others)
@pytest.mark.parametrize("path", ["/read/", "/stream/"])
async def test_answer_is_awaited_while_no_other_endpoint_takes_the_request(
    path: str, others: Others
) -> None:
    """
    Guards against a run that is ended for an endpoint that turns the request away.

    The silent endpoint would have answered within the request's time.
    """
    endpoints = [PausingEndpoint() for _ in range(3)]
    async with cluster(1, *endpoints, configuration=configuration()) as harnesses:
        for number in range(20):
            await harnesses[0].caller().ask(f"{path}w{number}", request_id=f"w{number}")
        asking = asyncio.create_task(ask_all(harnesses, path, 6))
        expected = {f"r{number}".encode() for number in range(6)}
        async with asyncio.timeout(5):
            while not expected <= {name for item in endpoints for name in item.arrived}:  # noqa: ASYNC110
                await asyncio.sleep(0.005)
        for endpoint in endpoints:
            endpoint.fall_silent()
            endpoint.turned_away = _TURNING_AWAY[others]
        await asyncio.sleep(2.0)
        for endpoint in endpoints:
            endpoint.go_on()
        replies = await asking
        assert [reply.status for reply in replies] == [200] * len(replies)


async def arrival(endpoints: list[PausingEndpoint]) -> PausingEndpoint:
    """Return the endpoint among ``endpoints`` at which a request arrives first."""
    while True:
        for endpoint in endpoints:
            if endpoint.arrived:
                return endpoint
        await asyncio.sleep(0.005)


@pytest.mark.parametrize("path", ["/read/", "/stream/"])
async def test_silent_endpoint_breaks_off_while_another_one_works(path: str) -> None:
    """
    Guards against a run that is ended because the silent one before it broke off.

    The other endpoint would have answered, and no attempt is left for a third one.
    """
    endpoints = [PausingEndpoint() for _ in range(3)]
    async with cluster(
        1, *endpoints, configuration=configuration(MaxAttempts=2)
    ) as harnesses:
        asking = asyncio.create_task(ask_all(harnesses, path, 1))
        silent = await arrival(endpoints)
        await asyncio.sleep(FIRST_EVENT_S / 2 if path == "/read/" else FIRST_EVENT_S)
        silent.fall_silent()
        await arrival([endpoint for endpoint in endpoints if endpoint is not silent])
        await asyncio.sleep(FIRST_EVENT_S / 2)
        for connection in list(silent.connections):
            connection.close()
        [reply] = await asking
        assert reply.is_whole
        assert reply.status == 200


@pytest.mark.parametrize("others", [Others.FULL, Others.FAILING, Others.RESETTING])
async def test_endpoint_that_took_over_is_awaited_as_well(others: Others) -> None:
    """
    Guards against a run that is ended after it has replaced a silent one.

    It is silent itself, the third endpoint turns the stream away, and it would have
    gone on.
    """
    endpoints = [PausingEndpoint() for _ in range(3)]
    async with cluster(1, *endpoints, configuration=configuration()) as harnesses:
        asking = asyncio.create_task(ask_all(harnesses, "/stream/", 1))
        first = await arrival(endpoints)
        await asyncio.sleep(FIRST_EVENT_S + EVENT_INTERVAL_S)
        for endpoint in endpoints:
            endpoint.fall_silent()
        left = [endpoint for endpoint in endpoints if endpoint is not first]
        second = await arrival(left)
        left.remove(second)
        left[0].turned_away = _TURNING_AWAY[others]
        await asyncio.sleep(2.0)
        for endpoint in endpoints:
            endpoint.go_on()
        assert_whole(await asking)


@pytest.mark.parametrize(("sizes", "model"), [([], ""), (["small"], "X-Model: *\r\n")])
async def test_stream_stays_where_a_sound_endpoint_would_have_answered(
    sizes: list[str], model: str
) -> None:
    """
    Guards against a run that is ended for an endpoint that is silent for too long.

    On routes that choose a model, usual durations are those of the model.
    """
    endpoints = [PausingEndpoint(first_event_s=0.02) for _ in range(3)]
    async with cluster(
        1, *endpoints, configuration=configuration(Sizes=sizes)
    ) as harnesses:
        ask = harnesses[0].caller
        await asyncio.gather(
            *(
                ask().ask(f"/stream/w{number}", request_id=f"w{number}", extra=model)
                for number in range(20)
            )
        )
        for endpoint in endpoints:
            endpoint.arrived.clear()
        asking = asyncio.create_task(
            ask().ask("/stream/", deadline=TIMEOUT_MS, extra=model)
        )
        first = await arrival(endpoints)
        await asyncio.sleep(FIRST_EVENT_S + EVENT_INTERVAL_S)
        for endpoint in endpoints:
            endpoint.fall_silent()
        await arrival([endpoint for endpoint in endpoints if endpoint is not first])
        await asyncio.sleep(GAP_TARGET_MS / 1_000)
        first.go_on()
        assert_whole([await asking])


async def test_last_attempt_is_kept_for_a_silent_run_that_breaks_off() -> None:
    """
    Guards against a last attempt at an endpoint that has no time to answer.

    Endpoints usually take longer than two may work on one stream.
    """
    endpoints = [PausingEndpoint(first_event_s=0.5) for _ in range(3)]
    async with cluster(
        1, *endpoints, configuration=configuration(MaxAttempts=2)
    ) as harnesses:
        await ask_all(harnesses, "/stream/")
        for endpoint in endpoints:
            endpoint.arrived.clear()
        asking = asyncio.create_task(ask_all(harnesses, "/stream/", 1))
        silent = await arrival(endpoints)
        await asyncio.sleep(0.5 + EVENT_INTERVAL_S)
        silent.fall_silent()
        await asyncio.sleep(1.0)
        for connection in list(silent.connections):
            connection.close()
        assert_whole(await asking)


async def test_silence_of_all_endpoints_leaves_the_retry_budget() -> None:
    """Guards against retries that are charged though no endpoint can take them."""
    endpoints = [PausingEndpoint() for _ in range(3)]
    async with cluster(1, *endpoints, configuration=configuration()) as harnesses:
        asking = asyncio.create_task(ask_all(harnesses, "/stream/"))
        await asyncio.sleep(STREAMS * EVENT_INTERVAL_S / 2 + FIRST_EVENT_S)
        for endpoint in endpoints:
            endpoint.fall_silent()
        await asyncio.sleep(2.0)
        for endpoint in endpoints:
            endpoint.go_on()
        assert_whole(await asking)
        sends = sum(len(endpoint.arrived) for endpoint in endpoints)
        runner = harnesses[0].node._parts.forwarder._runner
        charged = sum(
            len(budget._retries) for budget in runner._permission._budgets.values()
        )
        assert charged == sends - STREAMS


class TricklingEndpoint(Endpoint):
    """Sends one event, then a few bytes now and then that never make an event."""

    def __init__(self, bytes_of_nothing: bytes) -> None:
        super().__init__(self._run)
        self._bytes = bytes_of_nothing

    async def _run(
        self, endpoint: Endpoint, request: InboundRequest, responder: Responder
    ) -> None:
        headers = [*self.headers(request), (b"Content-Type", b"text/event-stream")]
        responder.start(200, headers)
        responder.write(b"id: 1\ndata: x\n\n")
        while True:
            responder.write(self._bytes)
            await asyncio.sleep(EVENT_INTERVAL_S)


@pytest.mark.parametrize("trickle", [b":", b": still here\n\n", b"d"])
async def test_stalled_stream_that_sends_a_byte_now_and_then_is_left(
    trickle: bytes,
) -> None:
    """Guards against a stream that never ends because its endpoint is never silent."""
    stalled = TricklingEndpoint(trickle)
    sound = PausingEndpoint()
    async with NodeHarness(stalled, sound, configuration=configuration()) as harness:
        replies = await ask_all([harness], "/stream/")
    assert stalled.requests
    assert all(reply.is_whole for reply in replies)
    for reply in replies:
        assert event_numbers(reply) == list(range(1, EVENTS + 1))
