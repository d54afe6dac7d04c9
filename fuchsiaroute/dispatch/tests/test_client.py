"""Calls over real sockets to endpoints that show one fault each."""

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
#: Far longer than any answer takes here, for tests without a timeout.
LONG_TIMEOUT = Milliseconds(20_000)
#: For tests in which an endpoint never answers.
SHORT_TIMEOUT = Milliseconds(300)
Handler = Callable[
    ["FakeEndpoint", asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]


class FakeEndpoint:
    """An HTTP/1.1 server with a status page and a response given by each test."""

    def __init__(self, answer: Handler) -> None:
        self._answer = answer
        self.url = ""
        self.incarnation = 7
        self.status_in_flight = 1
        self.posts = 0
        self.connections = 0
        self.is_unresponsive = False
        #: Delay of the status page, in seconds.
        self.status_delay = 0.0
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
        if self.is_unresponsive:
            await asyncio.sleep(30)
        await asyncio.sleep(self.status_delay)
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


def responding(*parts: bytes, then: str = "keep") -> Handler:
    async def answer(
        endpoint: FakeEndpoint,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        for part in parts:
            writer.write(part)
        await writer.drain()
        if then == "close":
            writer.close()
        elif then == "hang":
            await reader.read()
            endpoint.closed.set()

    return answer


EVENT = chunk(b"data: x\n\n")
DONE = chunk(b"data: [DONE]\n\n")
LAST = b"0\r\n\r\n"
COMPLETE = responding(head(), EVENT, DONE, LAST)


@contextlib.asynccontextmanager
async def serving(
    answer: Handler, *, progress_timeout: Milliseconds = LONG_TIMEOUT
) -> AsyncIterator[tuple[FakeEndpoint, Dispatcher]]:
    endpoint = FakeEndpoint(answer)
    server = await asyncio.start_server(endpoint.serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    endpoint.url = f"http://{host}:{port}"
    connections = Connections()
    dispatcher = Dispatcher(
        connections=connections,
        clock=CLOCK,
        progress_timeout=progress_timeout,
        status_check_interval=Milliseconds(60),
    )
    try:
        yield endpoint, dispatcher
    finally:
        await connections.aclose()
        server.close()


def call(endpoint: FakeEndpoint, **changes: object) -> EndpointCall:
    values: dict[str, object] = {
        "url": endpoint.url,
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


async def test_complete_answer_keeps_its_connection_open() -> None:
    async with serving(COMPLETE) as (endpoint, dispatcher):
        ends: list[DispatchOutcome] = []
        for _ in range(3):
            body = await read(dispatcher, call(endpoint, on_end=ends.append))
            assert body.endswith(b"[DONE]\n\n")
        assert ends == [DispatchOutcome.ANSWERED] * 3
        # One for the answers, and one for the status request when it was opened.
        assert endpoint.connections == 2


@pytest.mark.parametrize(
    ("answer", "outcome", "verdict"),
    [
        (
            responding(head(nonce="other"), EVENT, DONE, LAST),
            DispatchOutcome.CROSSED,
            Verdict.MAY_HAVE_RUN,
        ),
        # A refusal of another call.
        (
            responding(
                head(status=503, nonce="other", extra="x-not-run: full\r\n"), LAST
            ),
            DispatchOutcome.CROSSED,
            Verdict.MAY_HAVE_RUN,
        ),
        (
            responding(head(status=503, extra="x-not-run: cold\r\n"), LAST),
            DispatchOutcome.REFUSED_COLD,
            Verdict.NOT_RUN,
        ),
        (
            responding(head(status=503, extra="x-not-run: full\r\n"), LAST),
            DispatchOutcome.REFUSED_FULL,
            Verdict.NOT_RUN,
        ),
        (
            responding(head(status=500), LAST),
            DispatchOutcome.FAILED,
            Verdict.MAY_HAVE_RUN,
        ),
        (responding(then="close"), DispatchOutcome.FAILED, Verdict.MAY_HAVE_RUN),
        (responding(then="hang"), DispatchOutcome.SILENT, Verdict.MAY_HAVE_RUN),
    ],
    ids=["crossed", "crossed-refusal", "cold", "full", "error", "closed", "silent"],
)
async def test_outcome_and_verdict_by_response_head(
    answer: Handler, outcome: DispatchOutcome, verdict: Verdict
) -> None:
    is_silent = outcome is DispatchOutcome.SILENT
    limit = SHORT_TIMEOUT if is_silent else LONG_TIMEOUT
    async with serving(answer, progress_timeout=limit) as (endpoint, dispatcher):
        failure = (await dispatcher.open(call(endpoint))).failure()
        assert (failure.outcome, failure.verdict) == (outcome, verdict)
        assert dispatcher.failures[outcome] == 1


WHOLE_HEAD = head()


@pytest.mark.parametrize(
    "part",
    [
        b"HTTP/1.1 200 X\r\n",
        WHOLE_HEAD[: WHOLE_HEAD.index(b"x-incarnation") + 5],
        WHOLE_HEAD[: WHOLE_HEAD.index(b"text/event")],
        WHOLE_HEAD[: WHOLE_HEAD.index(b"transfer-encoding")],
        WHOLE_HEAD[:-2],
        WHOLE_HEAD[:-1],
        head(status=503, extra="x-not-run: full\r\n")[:-2],
    ],
    ids=["status", "name", "value", "field", "no-blank", "half-blank", "refusal"],
)
async def test_answer_that_ends_inside_its_head_is_no_answer(part: bytes) -> None:
    """Guards against an empty answer that counts as whole, and a false refusal."""
    async with serving(responding(part, then="close")) as (endpoint, dispatcher):
        failure = (await dispatcher.open(call(endpoint))).failure()
        assert (failure.outcome, failure.verdict) == (
            DispatchOutcome.FAILED,
            Verdict.MAY_HAVE_RUN,
        )


@pytest.mark.parametrize(
    ("answer", "outcome"),
    [
        (responding(head(), EVENT, LAST), DispatchOutcome.TRUNCATED),
        (responding(head(), EVENT, then="close"), DispatchOutcome.TRUNCATED),
        (responding(head(), EVENT, then="hang"), DispatchOutcome.SILENT),
    ],
    ids=["no last event", "closed", "silent"],
)
async def test_incomplete_stream_raises(
    answer: Handler, outcome: DispatchOutcome
) -> None:
    is_silent = outcome is DispatchOutcome.SILENT
    limit = SHORT_TIMEOUT if is_silent else LONG_TIMEOUT
    async with serving(answer, progress_timeout=limit) as (endpoint, dispatcher):
        ends: list[DispatchOutcome] = []
        with pytest.raises(BrokenAnswerError):
            await read(dispatcher, call(endpoint, on_end=ends.append))
        assert ends == [outcome]


async def test_time_to_connect_does_not_count_as_time_without_progress() -> None:
    """Guards against a slow new connection that is taken for an unresponsive one."""
    silent = responding(then="hang")
    async with serving(silent, progress_timeout=SHORT_TIMEOUT) as (endpoint, sender):
        endpoint.status_delay = 1.5 * SHORT_TIMEOUT / 1_000
        failure = (await sender.open(call(endpoint))).failure()
        assert (failure.outcome, failure.verdict) == (
            DispatchOutcome.SILENT,
            Verdict.MAY_HAVE_RUN,
        )
        assert endpoint.posts == 1


async def test_restart_is_detected_before_the_first_byte_is_sent() -> None:
    async with serving(COMPLETE) as (endpoint, dispatcher):
        endpoint.incarnation = 8
        failure = (await dispatcher.open(call(endpoint))).failure()
        assert failure.outcome is DispatchOutcome.RESTARTED
        assert failure.verdict is Verdict.NOT_RUN
        assert failure.incarnation == 8
        assert endpoint.posts == 0


@pytest.mark.parametrize("is_connected", [False, True])
async def test_revoked_request_is_not_sent(is_connected: bool) -> None:
    async with serving(COMPLETE) as (endpoint, dispatcher):
        if is_connected:
            await read(dispatcher, call(endpoint))
        failure = (
            await dispatcher.open(call(endpoint, may_send=lambda: False))
        ).failure()
        assert failure.outcome is DispatchOutcome.REVOKED
        assert failure.verdict is Verdict.NOT_RUN
        assert endpoint.posts == int(is_connected)


async def test_request_without_a_connection_is_not_run() -> None:
    async with serving(COMPLETE) as (endpoint, dispatcher):
        refused = call(endpoint, url="http://127.0.0.1:1")
        failure = (await dispatcher.open(refused)).failure()
        assert failure.outcome is DispatchOutcome.NOT_SENT
        assert failure.verdict is Verdict.NOT_RUN


async def test_unresponsive_reused_connection_is_no_endpoint_failure() -> None:
    answers = [COMPLETE, responding(then="hang"), COMPLETE]

    async def answer(
        endpoint: FakeEndpoint,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        await answers.pop(0)(endpoint, reader, writer)

    limit = Milliseconds(1_500)
    async with serving(answer, progress_timeout=limit) as (endpoint, dispatcher):
        await read(dispatcher, call(endpoint))
        failure = (await dispatcher.open(call(endpoint))).failure()
        assert failure.outcome is DispatchOutcome.CONNECTION_LOST
        assert failure.verdict is Verdict.MAY_HAVE_RUN
        assert (await read(dispatcher, call(endpoint))).endswith(b"[DONE]\n\n")


@pytest.mark.parametrize(
    ("is_unresponsive", "in_flight", "outcome"),
    [
        (False, 0, DispatchOutcome.CONNECTION_LOST),
        (True, 1, DispatchOutcome.SILENT),
    ],
    ids=["idle endpoint", "dead endpoint"],
)
async def test_status_requests_detect_a_lost_request(
    is_unresponsive: bool, in_flight: int, outcome: DispatchOutcome
) -> None:
    async with serving(responding(then="hang")) as (endpoint, dispatcher):
        endpoint.status_in_flight = in_flight
        sent = call(endpoint, is_streamed=False)
        opening = asyncio.create_task(dispatcher.open(sent))
        await endpoint.posted.wait()
        endpoint.is_unresponsive = is_unresponsive
        failure = (await opening).failure()
        assert failure.outcome is outcome


async def test_head_of_an_unstreamed_answer_has_no_progress_timeout() -> None:
    async def answer(
        endpoint: FakeEndpoint,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        await asyncio.sleep(2 * SHORT_TIMEOUT / 1_000)
        await COMPLETE(endpoint, reader, writer)

    async with serving(answer, progress_timeout=SHORT_TIMEOUT) as (
        endpoint,
        dispatcher,
    ):
        outcome = await dispatcher.open(call(endpoint, is_streamed=False))
        assert isinstance(outcome, Success)
        assert [item async for item in outcome.unwrap().chunks]
        streamed = await dispatcher.open(call(endpoint))
        assert isinstance(streamed, Failure)


async def test_closing_an_answer_closes_its_connection() -> None:
    async with serving(responding(head(), EVENT, then="hang")) as (
        endpoint,
        dispatcher,
    ):
        ends: list[DispatchOutcome] = []
        answer = (await dispatcher.open(call(endpoint, on_end=ends.append))).unwrap()
        await anext(answer.chunks)
        await answer.chunks.aclose()  # type: ignore[attr-defined]
        assert ends == [DispatchOutcome.CANCELLED]
        await asyncio.wait_for(endpoint.closed.wait(), timeout=5)


async def test_cancelling_open_closes_the_connection() -> None:
    async with serving(responding(then="hang")) as (endpoint, dispatcher):
        opening = asyncio.create_task(dispatcher.open(call(endpoint)))
        await endpoint.posted.wait()
        opening.cancel()
        await asyncio.gather(opening, return_exceptions=True)
        assert opening.cancelled()
        await asyncio.wait_for(endpoint.closed.wait(), timeout=5)
