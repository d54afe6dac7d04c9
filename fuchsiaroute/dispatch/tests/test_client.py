"""Calls over real sockets to endpoints that misbehave in one way each."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable

import pytest
from returns.result import Failure, Success

from fuchsiaroute.clock import Milliseconds, SystemClock
from fuchsiaroute.dispatch import (
    BrokenAnswerError,
    Connections,
    Dispatcher,
    DispatchOutcome,
    EndpointCall,
)
from fuchsiaroute.ids import Incarnation, Nonce
from fuchsiaroute.verdict import Verdict

NONCE = Nonce("abc")
CLOCK = SystemClock()
#: Far longer than any answer here takes, for tests that are not about silence.
PATIENT = Milliseconds(20_000)
#: For tests in which an endpoint never answers.
IMPATIENT = Milliseconds(300)
Handler = Callable[
    ["Peer", asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]


class Peer:
    """A server that speaks as much HTTP as each test needs."""

    def __init__(self, answer: Handler) -> None:
        self._answer = answer
        self.url = ""
        self.incarnation = 7
        self.status_in_flight = 1
        self.posts = 0
        self.connections = 0
        self.is_status_silent = False
        self.posted = asyncio.Event()
        self.closed = asyncio.Event()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while line := await reader.readline():
                await self._request(line, reader, writer)
        writer.close()

    async def _request(
        self, line: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        size = 0
        while (header := await reader.readline()) != b"\r\n":
            if header.lower().startswith(b"content-length:"):
                size = int(header.split(b":")[1])
        await reader.readexactly(size)
        if line.startswith(b"GET"):
            await self._status(writer)
            return
        self.posts += 1
        self.posted.set()
        await self._answer(self, reader, writer)

    async def _status(self, writer: asyncio.StreamWriter) -> None:
        if self.is_status_silent:
            await asyncio.sleep(30)
        body = b'{"incarnation":%d,"in_flight":%d}' % (
            self.incarnation,
            self.status_in_flight,
        )
        writer.write(b"HTTP/1.1 200 OK\r\nconnection: close\r\n")
        writer.write(b"content-length: %d\r\n\r\n%s" % (len(body), body))
        await writer.drain()
        writer.close()


def head(*, nonce: str = NONCE, status: int = 200, extra: str = "") -> bytes:
    return (
        f"HTTP/1.1 {status} X\r\nx-request-id: {nonce}\r\nx-incarnation: 7\r\n"
        f"content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n{extra}\r\n"
    ).encode()


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def sending(*parts: bytes, then: str = "keep") -> Handler:
    async def answer(
        peer: Peer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        for part in parts:
            writer.write(part)
        await writer.drain()
        if then == "close":
            writer.close()
        elif then == "hang":
            await reader.read()
            peer.closed.set()

    return answer


EVENT = chunk(b"data: x\n\n")
DONE = chunk(b"data: [DONE]\n\n")
LAST = b"0\r\n\r\n"
WHOLE = sending(head(), EVENT, DONE, LAST)


@contextlib.asynccontextmanager
async def running(
    answer: Handler, *, progress_timeout: Milliseconds = PATIENT
) -> AsyncIterator[tuple[Peer, Dispatcher]]:
    peer = Peer(answer)
    server = await asyncio.start_server(peer.serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    peer.url = f"http://{host}:{port}"
    connections = Connections()
    dispatcher = Dispatcher(
        connections=connections,
        clock=CLOCK,
        progress_timeout=progress_timeout,
        ping_interval=Milliseconds(60),
    )
    try:
        yield peer, dispatcher
    finally:
        await connections.aclose()
        server.close()


def call(peer: Peer, **changes: object) -> EndpointCall:
    values: dict[str, object] = {
        "url": peer.url,
        "path": "/v1/chat/completions",
        "body": b"{}",
        "nonce": NONCE,
        "deadline": Milliseconds(CLOCK.wall() + 20_000),
        "incarnation": Incarnation(7),
    }
    return EndpointCall(**{**values, **changes})  # type: ignore[arg-type]


async def read(dispatcher: Dispatcher, sent: EndpointCall) -> bytes:
    answer = (await dispatcher.open(sent)).unwrap()
    return b"".join([item async for item in answer.chunks])


async def test_a_whole_answer_keeps_its_connection() -> None:
    async with running(WHOLE) as (peer, dispatcher):
        ends: list[DispatchOutcome] = []
        for _ in range(3):
            body = await read(dispatcher, call(peer, on_end=ends.append))
            assert body.endswith(b"[DONE]\n\n")
        assert ends == [DispatchOutcome.ANSWERED] * 3
        # One for the answers, one for the check when it was opened.
        assert peer.connections == 2


@pytest.mark.parametrize(
    ("answer", "outcome", "verdict"),
    [
        (
            sending(head(nonce="other"), EVENT, DONE, LAST),
            DispatchOutcome.CROSSED,
            Verdict.MAY_HAVE_RUN,
        ),
        (
            sending(head(status=503, extra="x-not-run: cold\r\n"), LAST),
            DispatchOutcome.REFUSED_COLD,
            Verdict.NOT_RUN,
        ),
        (
            sending(head(status=503, extra="x-not-run: full\r\n"), LAST),
            DispatchOutcome.REFUSED_FULL,
            Verdict.NOT_RUN,
        ),
        (
            sending(head(status=500), LAST),
            DispatchOutcome.FAILED,
            Verdict.MAY_HAVE_RUN,
        ),
        (sending(then="close"), DispatchOutcome.FAILED, Verdict.MAY_HAVE_RUN),
        (sending(then="hang"), DispatchOutcome.SILENT, Verdict.MAY_HAVE_RUN),
    ],
    ids=["crossed", "cold", "full", "error", "closed", "silent"],
)
async def test_heads(
    answer: Handler, outcome: DispatchOutcome, verdict: Verdict
) -> None:
    is_silent = outcome is DispatchOutcome.SILENT
    limit = IMPATIENT if is_silent else PATIENT
    async with running(answer, progress_timeout=limit) as (peer, dispatcher):
        failure = (await dispatcher.open(call(peer))).failure()
        assert (failure.outcome, failure.verdict) == (outcome, verdict)
        assert dispatcher.failures[outcome] == 1


@pytest.mark.parametrize(
    ("answer", "outcome"),
    [
        (sending(head(), EVENT, LAST), DispatchOutcome.TRUNCATED),
        (sending(head(), EVENT, then="close"), DispatchOutcome.TRUNCATED),
        (sending(head(), EVENT, then="hang"), DispatchOutcome.SILENT),
    ],
    ids=["no last event", "closed", "silent"],
)
async def test_a_cut_stream_is_an_error(
    answer: Handler, outcome: DispatchOutcome
) -> None:
    is_silent = outcome is DispatchOutcome.SILENT
    limit = IMPATIENT if is_silent else PATIENT
    async with running(answer, progress_timeout=limit) as (peer, dispatcher):
        ends: list[DispatchOutcome] = []
        with pytest.raises(BrokenAnswerError):
            await read(dispatcher, call(peer, on_end=ends.append))
        assert ends == [outcome]


async def test_a_restart_is_found_before_the_first_byte_leaves() -> None:
    async with running(WHOLE) as (peer, dispatcher):
        peer.incarnation = 8
        failure = (await dispatcher.open(call(peer))).failure()
        assert failure.outcome is DispatchOutcome.RESTARTED
        assert failure.verdict is Verdict.NOT_RUN
        assert failure.incarnation == 8
        assert peer.posts == 0


@pytest.mark.parametrize("is_connected", [False, True])
async def test_a_revoked_choice_never_leaves(is_connected: bool) -> None:
    async with running(WHOLE) as (peer, dispatcher):
        if is_connected:
            await read(dispatcher, call(peer))
        failure = (await dispatcher.open(call(peer, may_send=lambda: False))).failure()
        assert failure.outcome is DispatchOutcome.REVOKED
        assert failure.verdict is Verdict.NOT_RUN
        assert peer.posts == int(is_connected)


async def test_nothing_has_run_if_no_connection_can_be_made() -> None:
    async with running(WHOLE) as (peer, dispatcher):
        refused = call(peer, url="http://127.0.0.1:1")
        failure = (await dispatcher.open(refused)).failure()
        assert failure.outcome is DispatchOutcome.NOT_SENT
        assert failure.verdict is Verdict.NOT_RUN


async def test_a_silent_old_connection_is_replaced_before_the_endpoint_is_blamed() -> (
    None
):
    answers = [WHOLE, sending(then="hang"), WHOLE]

    async def answer(
        peer: Peer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await answers.pop(0)(peer, reader, writer)

    limit = Milliseconds(1_500)
    async with running(answer, progress_timeout=limit) as (peer, dispatcher):
        await read(dispatcher, call(peer))
        failure = (await dispatcher.open(call(peer))).failure()
        assert failure.outcome is DispatchOutcome.CONNECTION_LOST
        assert failure.verdict is Verdict.MAY_HAVE_RUN
        assert (await read(dispatcher, call(peer))).endswith(b"[DONE]\n\n")


@pytest.mark.parametrize(
    ("is_status_silent", "in_flight", "outcome"),
    [
        (False, 0, DispatchOutcome.CONNECTION_LOST),
        (True, 1, DispatchOutcome.SILENT),
    ],
    ids=["idle endpoint", "dead endpoint"],
)
async def test_pings_find_a_request_that_will_not_be_answered(
    is_status_silent: bool, in_flight: int, outcome: DispatchOutcome
) -> None:
    async with running(sending(then="hang")) as (peer, dispatcher):
        peer.status_in_flight = in_flight
        sent = call(peer, is_streamed=False)
        opening = asyncio.create_task(dispatcher.open(sent))
        await peer.posted.wait()
        peer.is_status_silent = is_status_silent
        failure = (await opening).failure()
        assert failure.outcome is outcome


async def test_a_whole_answer_may_take_longer_than_a_streamed_one_may_be_silent() -> (
    None
):
    async def answer(
        peer: Peer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(2 * IMPATIENT / 1_000)
        await WHOLE(peer, reader, writer)

    async with running(answer, progress_timeout=IMPATIENT) as (peer, dispatcher):
        outcome = await dispatcher.open(call(peer, is_streamed=False))
        assert isinstance(outcome, Success)
        assert [item async for item in outcome.unwrap().chunks]
        streamed = await dispatcher.open(call(peer))
        assert isinstance(streamed, Failure)


async def test_a_cancelled_caller_cancels_the_stream() -> None:
    async with running(sending(head(), EVENT, then="hang")) as (peer, dispatcher):
        ends: list[DispatchOutcome] = []
        answer = (await dispatcher.open(call(peer, on_end=ends.append))).unwrap()
        await anext(answer.chunks)
        await answer.chunks.aclose()  # type: ignore[attr-defined]
        assert ends == [DispatchOutcome.CANCELLED]
        await asyncio.wait_for(peer.closed.wait(), timeout=5)


async def test_a_cancelled_wait_closes_the_connection() -> None:
    async with running(sending(then="hang")) as (peer, dispatcher):
        opening = asyncio.create_task(dispatcher.open(call(peer)))
        await peer.posted.wait()
        opening.cancel()
        await asyncio.gather(opening, return_exceptions=True)
        assert opening.cancelled()
        await asyncio.wait_for(peer.closed.wait(), timeout=5)
