"""A stopping instance that is busy, whose endpoints pause, or that begins late."""

import asyncio
import os
import signal
import time

import pytest

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.draining import EXIT_MARGIN, SIGKILL_MARGIN
from fuchsiaroute.http1 import InboundRequest, Responder, find_header
from fuchsiaroute.platform.tests.node_harness import (
    CONFIGURATION,
    ROUTES,
    NodeHarness,
)
from fuchsiaroute.platform.tests.standin import (
    Endpoint,
    complete,
    events,
    fail,
    hang,
)

SHORT_GRACE_S = 2
#: Maximum pause between events that the routes declare.
GAP_MS = 500
WITH_GAP = {
    **CONFIGURATION,
    "Routes": [
        {**route, "GapTargetMs": GAP_MS, "TimeoutMs": 10_000} for route in ROUTES
    ],
}
EVENTS = 3
DRAINING = "draining"
#: Number of streams whose two resumptions each exceed the retry budget.
_STREAMS = 40
#: Requests that an endpoint with one slot gets at the same time.
_CAPACITY = 2
#: Observations after which the usual duration of a route is close to their value.
_OBSERVATIONS = 80


def learn(harness: NodeHarness, route: str, duration: int) -> None:
    """Let the instance know how long responses of a route usually take."""
    for _ in range(_OBSERVATIONS):
        harness.node._parts._durations.add(route, "", 0, Milliseconds(duration))


async def pause_in_stream(
    endpoint: Endpoint, request: InboundRequest, responder: Responder
) -> None:
    """Pause after each of three events for longer than the declared gap."""
    responder.start(200, endpoint.headers(request))
    first = int(find_header(request.headers, b"last-event-id") or b"0") + 1
    for number in range(first, EVENTS + 1):
        responder.write(b"id: %d\ndata: x\n\n" % number)
        await asyncio.sleep(1.5 * GAP_MS / 1_000)
    responder.finish()


# Streams whose endpoints only paused were ended when the retry budget was used up: an
# endpoint was given up before it was known whether another one could continue.
@pytest.mark.parametrize("is_stopping", [False, True])
async def test_pause_of_an_endpoint_does_not_end_streams_that_cannot_be_resumed(
    is_stopping: bool,
) -> None:
    endpoint = Endpoint(pause_in_stream, Slots=100)
    async with NodeHarness(endpoint, configuration=WITH_GAP) as harness:
        callers = [harness.caller() for _ in range(_STREAMS)]
        for number, caller in enumerate(callers):
            await caller.send("/stream/", request_id=f"q{number}", deadline=20_000)
        await harness.until(lambda: len(endpoint.requests) >= _STREAMS)
        if is_stopping:
            harness.node._stop.set()
        replies = await asyncio.gather(*(caller.receive() for caller in callers))
    cut = [reply for reply in replies if not reply.is_whole]
    assert not cut, f"{len(cut)} of {_STREAMS} streams cut"
    assert {reply.body.count(b"id: ") for reply in replies} == {EVENTS}


# A stream whose endpoint paused while it was about to leave was given up, although no
# other endpoint could continue it and its own one still worked on it.
async def test_pause_of_a_leaving_endpoint_does_not_end_a_stream() -> None:
    is_known = asyncio.Event()

    async def pause_once_known(
        endpoint: Endpoint, request: InboundRequest, responder: Responder
    ) -> None:
        responder.start(200, endpoint.headers(request))
        number = 0
        while not is_known.is_set():
            number += 1
            responder.write(b"id: %d\ndata: x\n\n" % number)
            await asyncio.sleep(0.1)
        await asyncio.sleep(1.5 * GAP_MS / 1_000)
        responder.write(b"id: %d\ndata: last\n\n" % (number + 1))
        responder.finish()

    endpoint = Endpoint(pause_once_known)
    async with NodeHarness(endpoint, configuration=WITH_GAP) as harness:
        caller = harness.caller()
        await caller.send("/stream/", deadline=6_000)
        await harness.until(lambda: endpoint.requests)
        harness.store.put("servers", endpoint.id, endpoint.announcement(State=DRAINING))
        harness.node._stop.set()
        await harness.until(lambda: b'"is_draining":true' in b"".join(harness.lines))
        is_known.set()
        reply = await caller.receive()
    assert (reply.status, reply.is_whole) == (200, True)
    assert reply.body.endswith(b"data: last\n\n")


# Requests in progress had their connections closed without an answer if the event loop
# was busy when they were to be ended.
@pytest.mark.parametrize("path", ["/read/", "/write/", "/stream/"])
async def test_requests_are_answered_if_the_loop_is_busy_at_the_end(path: str) -> None:
    endpoint = Endpoint(hang)
    async with NodeHarness(endpoint, grace_s=SHORT_GRACE_S) as harness:
        caller = harness.caller()
        await caller.send(path)
        await harness.until(lambda: endpoint.requests)
        harness.node._stop.set()
        loop = asyncio.get_running_loop()
        end_s = SHORT_GRACE_S - SIGKILL_MARGIN / 1_000
        busy_s = (SIGKILL_MARGIN - EXIT_MARGIN) / 1_000 + 0.03
        loop.call_later(end_s - 0.01, time.sleep, busy_s)
        reply = await caller.receive()
    assert (reply.status, reply.is_whole) == (504, True)


# The time until SIGKILL was counted from the turn of the event loop that handled
# SIGTERM, so that an instance which was busy then was killed before it had answered.
async def test_requests_are_answered_in_time_if_the_loop_is_busy_at_sigterm() -> None:
    endpoint = Endpoint(hang)
    async with NodeHarness(endpoint, grace_s=SHORT_GRACE_S) as harness:
        caller = harness.caller()
        await caller.send("/write/")
        await harness.until(lambda: endpoint.requests)
        signalled_at = time.monotonic()
        os.kill(os.getpid(), signal.SIGTERM)
        # Python code that occupies the loop for longer than the margin.
        while time.monotonic() - signalled_at < 0.4:
            pass
        reply = await caller.receive()
        answered_s = time.monotonic() - signalled_at
    assert (reply.status, reply.is_whole) == (504, True)
    assert answered_s < SHORT_GRACE_S


# A stream that had been admitted waited in the queue and was sent to an endpoint when
# it could no longer end before the exit; it was cut in place of being refused.
async def test_stream_that_waited_too_long_is_refused_instead_of_cut() -> None:
    endpoint = Endpoint(events(40, pause_s=0.05), Slots=1)
    async with NodeHarness(endpoint, grace_s=3.2) as harness:
        learn(harness, "stream", 2_000)
        begun = [harness.caller() for _ in range(_CAPACITY)]
        for number, caller in enumerate(begun):
            await caller.send("/stream/", request_id=f"q{number}")
        await harness.until(lambda: len(endpoint.requests) == _CAPACITY)
        await asyncio.sleep(1.3)
        waiting = harness.caller()
        harness.node._stop.set()
        reply = await waiting.ask("/stream/", request_id="waiting")
        replies = await asyncio.gather(*(caller.receive() for caller in begun))
    assert all(item.is_whole for item in replies)
    assert reply.is_whole
    assert reply.status in {200, 503}
    assert reply.status != 503 or len(endpoint.requests) == _CAPACITY


# Error responses that came at once were learned as durations of whole responses, so
# that streams which cannot end before the exit were admitted after a burst of errors.
async def test_errors_do_not_shorten_the_usual_duration_of_a_route() -> None:
    async with NodeHarness(Endpoint(fail)) as harness:
        learn(harness, "once", 6_000)
        before = harness.node._parts._longest_duration("once")
        for number in range(150):
            await harness.caller().ask("/once/", request_id=f"q{number}")
        after = harness.node._parts._longest_duration("once")
    assert before is not None
    assert after is not None
    assert after >= 6_000


# Requests that are answered at once were refused for the whole stop by an instance that
# had not yet had enough of them to know, such as one that was started recently.
@pytest.mark.parametrize("path", ["/read/", "/write/"])
async def test_short_requests_are_admitted_without_experience(path: str) -> None:
    endpoint = Endpoint(complete)
    async with NodeHarness(endpoint, grace_s=SHORT_GRACE_S) as harness:
        caller = harness.caller()
        await caller.connect()
        harness.node._stop.set()
        await asyncio.sleep(0.1)
        reply = await caller.ask(path)
    assert (reply.status, reply.is_whole) == (200, True)
