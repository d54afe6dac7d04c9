"""A stopping instance, whose callers use open connections until it has gone."""

import asyncio
import socket
from collections.abc import Callable
from contextlib import suppress

import pytest

from fuchsiaroute.clock import BootClock, Milliseconds
from fuchsiaroute.draining import MIN_DRAIN_TIME, SIGKILL_MARGIN
from fuchsiaroute.http1 import ConnectionState, InboundRequest, Responder
from fuchsiaroute.node._run import IDLE_CHECK_INTERVAL
from fuchsiaroute.platform.tests.node_harness import HOST, NodeHarness, Reply
from fuchsiaroute.platform.tests.standin import Endpoint, complete, events, hang

#: Time that is not enough for the responses of slow endpoints below.
SHORT_GRACE_S = 2
#: Answers that do not fit into the buffers of a connection.
_LARGE_BYTES = 6_000_000
#: Time from the signal to stop after which an idle instance exits.
_IDLE_EXIT_S = MIN_DRAIN_TIME / 1_000
_REQUEST = (
    f"POST /read/ HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: late\r\nX-Key: key\r\n"
    "X-Deadline-Ms: 3000\r\nContent-Length: 4\r\n\r\nbody"
).encode()


async def answer_late(
    endpoint: Endpoint, request: InboundRequest, responder: Responder
) -> None:
    await asyncio.sleep(2.5)
    await complete(endpoint, request, responder)


async def answer_large(
    endpoint: Endpoint, request: InboundRequest, responder: Responder
) -> None:
    responder.send(200, endpoint.headers(request), b"x" * _LARGE_BYTES)


def is_resolved(reply: Reply) -> bool:
    """Return whether a caller has all that it is owed or knows where it stands."""
    return reply.is_whole and reply.status in {200, 502, 503, 504}


# Requests that a stopping instance admitted, although they took longer than the time
# until its exit, ended with a closed connection.
@pytest.mark.parametrize(
    ("path", "answer", "sent_after_s"),
    [
        ("/stream/", events(50, pause_s=0.05), 0.6),
        ("/once/", events(50, pause_s=0.05), 0.6),
        ("/stream/", events(50, pause_s=0.05), 1.4),
        ("/read/", answer_late, 0.6),
        ("/write/", answer_late, 0.6),
    ],
)
async def test_request_during_a_stop_is_never_cut_off(
    path: str, answer, sent_after_s: float
) -> None:
    endpoint = Endpoint(answer)
    async with NodeHarness(endpoint, grace_s=SHORT_GRACE_S) as harness:
        caller = harness.caller()
        await caller.connect()
        harness.node._stop.set()
        await asyncio.sleep(sent_after_s)
        reply = await caller.ask(path)
    assert is_resolved(reply)
    assert reply.status != 503 or not endpoint.requests


# Requests that were in progress at the end of a stop had their connections closed, so
# that callers did not learn whether they may have run.
@pytest.mark.parametrize(
    ("data", "status"),
    [
        # Sent to an endpoint that does not answer.
        (_REQUEST, 504),
        (_REQUEST.replace(b"/read/", b"/write/"), 504),
        (_REQUEST.replace(b"/read/", b"/stream/"), 504),
        # The body has not arrived; no endpoint has seen the request.
        (_REQUEST[:-1], 503),
    ],
)
async def test_request_without_a_response_gets_one_at_the_end_of_a_stop(
    data: bytes, status: int
) -> None:
    endpoint = Endpoint(hang)
    async with NodeHarness(endpoint, grace_s=SHORT_GRACE_S) as harness:
        caller = harness.caller()
        await caller.connect()
        caller.write(data)
        if status == 504:
            await harness.until(lambda: endpoint.requests)
        harness.node._stop.set()
        reply = await caller.receive()
        await harness.until(harness.node_task.done)
    assert (reply.status, reply.is_whole) == (status, True)
    assert (b"retry-after" in reply.headers) is (status == 503)
    assert b'"unsent_bytes":0' in harness.lines[-1]


# Guards against late requests that are admitted by the usual duration of their route,
# and cut with no answer when they take longer, also if they must not be sent again.
@pytest.mark.parametrize("path", ["/read/", "/write/", "/stream/", "/once/"])
@pytest.mark.parametrize("before_end_s", [0.9, 0.6, 0.3, 0.1])
async def test_late_request_that_takes_unusually_long_is_not_cut(
    path: str, before_end_s: float
) -> None:
    endpoint = Endpoint()
    async with NodeHarness(endpoint, grace_s=SHORT_GRACE_S) as harness:
        for number in range(12):
            assert (await harness.caller().ask(path, request_id=f"u{number}")).is_whole
        usual = len(endpoint.requests)
        caller = harness.caller()
        await caller.connect()
        endpoint.answer = hang
        harness.node._stop.set()
        await asyncio.sleep(SHORT_GRACE_S - SIGKILL_MARGIN / 1_000 - before_end_s)
        reply = await caller.ask(path)
        await harness.until(harness.node_task.done)
    assert is_resolved(reply)
    assert reply.status != 503 or len(endpoint.requests) == usual


async def read_late(port: int, request: bytes, delay_s: float) -> bytes:
    """Return what a caller receives that reads ``delay_s`` after it has sent."""
    loop = asyncio.get_running_loop()
    with socket.socket() as caller:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
        caller.setblocking(False)
        await loop.sock_connect(caller, ("127.0.0.1", port))
        await loop.sock_sendall(caller, request)
        await asyncio.sleep(delay_s)
        received = b""
        with suppress(ConnectionError):
            while len(received) < _LARGE_BYTES:
                data = await loop.sock_recv(caller, 1_000_000)
                if not data or b" 503 " in data[:20]:
                    return received + data
                received += data
        return received


# Guards against late requests whose answers are handed to the connection and cut by the
# exit, on a route whose callers always need longer than that to read them.
@pytest.mark.parametrize("path", ["/read/", "/write/"])
async def test_late_request_whose_callers_read_slowly_is_not_cut(path: str) -> None:
    request = _REQUEST.replace(b"/read/", path.encode())
    async with NodeHarness(Endpoint(answer_large), grace_s=SHORT_GRACE_S) as harness:
        for _ in range(6):
            answer = await read_late(harness.frontend, request, 0.9)
            assert len(answer) > _LARGE_BYTES
        harness.node._stop.set()
        await asyncio.sleep(SHORT_GRACE_S - SIGKILL_MARGIN / 1_000 - 0.3)
        received = await read_late(harness.frontend, request, 0.9)
        await harness.until(harness.node_task.done)
    assert b" 503 " in received[:20] or len(received) > _LARGE_BYTES
    # The exit of a process discards what it has not sent.
    assert b'"unsent_bytes":0' in harness.lines[-1]


class _SteppedClock(BootClock):
    """A clock that shows the time after the process was suspended."""

    def __init__(self) -> None:
        self.suspended_for = 0

    def now(self) -> Milliseconds:
        return Milliseconds(super().now() + self.suspended_for)


# An instance that was suspended during its stop until after the grace closed its
# connections before their final responses were written.
async def test_final_responses_are_sent_after_a_suspension_during_a_stop() -> None:
    clock = _SteppedClock()
    endpoint = Endpoint(hang)
    async with NodeHarness(endpoint, clock=clock) as harness:
        caller = harness.caller()
        await caller.send("/read/", deadline=None)
        await harness.until(lambda: endpoint.requests)
        harness.node._stop.set()
        await harness.until(lambda: harness.node._parts.drain.is_draining)
        clock.suspended_for = 60_000
        reply = await caller.receive()
    assert (reply.status, reply.is_whole) == (504, True)


class _SendsAtExit(BootClock):
    """Delivers a request in the turn of the event loop in which the exit is decided."""

    def __init__(self) -> None:
        self.deliver_at: int | None = None
        self.deliver: Callable[[], None] = lambda: None

    async def sleep(self, duration: Milliseconds) -> None:
        await super().sleep(duration)
        is_due = self.deliver_at is not None and self.now() >= self.deliver_at
        if is_due and duration == IDLE_CHECK_INTERVAL:
            self.deliver_at = None
            self.deliver()


# A request that had been read, but whose handler had not started, was not counted when
# the instance decided to exit, and its connection was closed.
async def test_request_read_as_the_instance_exits_is_answered() -> None:
    clock = _SendsAtExit()
    async with NodeHarness(Endpoint(), clock=clock) as harness:
        caller = harness.caller()
        await caller.connect()
        await harness.until(lambda: harness.node._caller_connections)
        (connection,) = harness.node._caller_connections
        clock.deliver = lambda: connection.data_received(_REQUEST)
        clock.deliver_at = clock.now() + MIN_DRAIN_TIME
        harness.node._stop.set()
        reply = await caller.receive()
    assert (reply.status, reply.is_whole) == (200, True)


# An instance without running handlers exited while bytes of complete answers had not
# been sent yet to callers that read slowly; the exit of the process discards them.
async def test_instance_does_not_exit_before_its_answers_are_sent() -> None:
    async with NodeHarness(Endpoint(answer_large)) as harness:
        loop = asyncio.get_running_loop()
        with socket.socket() as caller:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
            caller.setblocking(False)
            await loop.sock_connect(caller, ("127.0.0.1", harness.frontend))
            await loop.sock_sendall(caller, _REQUEST)
            await harness.until(
                lambda: any(
                    item.state is ConnectionState.SENDING
                    for item in harness.node._caller_connections
                )
            )
            (connection,) = harness.node._caller_connections
            harness.node._stop.set()
            await asyncio.sleep(_IDLE_EXIT_S + 0.5)
            while connection.unsent_bytes:
                assert not harness.node_task.done()
                await loop.sock_recv(caller, 262_144)
            await asyncio.wait_for(harness.node_task, 5)
