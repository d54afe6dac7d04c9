"""Endpoints that repeat refusals, fail after a broken stream, or stop in a head."""

import asyncio
import re
from collections import Counter
from collections.abc import Awaitable, Callable
from copy import deepcopy
from typing import Any

import pytest

from fuchsiaroute.platform.tests.cut_paths import CutKind, cut_paths
from fuchsiaroute.platform.tests.node_harness import (
    CONFIGURATION,
    NodeHarness,
    Reply,
    cluster,
)
from fuchsiaroute.platform.tests.standin import Endpoint

EVENTS = 6
ANY_MODEL = "X-Model: *\r\n"
TYPED = b"Content-Type: text/event-stream\r\n"
Answer = Callable[["RawEndpoint", bytes], bytes]
Play = Callable[["RawEndpoint", bytes, asyncio.StreamWriter, int], Awaitable[bool]]


def configuration(**changes: object) -> dict[str, Any]:
    found = deepcopy(CONFIGURATION)
    for route in found["Routes"]:
        route.update({"MaxAttempts": 3, **changes})
    return found


def field(head: bytes, name: bytes) -> bytes:
    found = re.search(rb"(?im)^" + name + rb": *([^\r]*)", head)
    return found.group(1) if found else b""


def events(first: int, last: int) -> bytes:
    return b"".join(b"id: %d\ndata: x\n\n" % n for n in range(first, last + 1))


class RawEndpoint(Endpoint):
    """
    Writes bytes of its own choice.

    ``play`` answers a request and returns whether to keep the connection. It receives
    the header section and the number of the request on its connection.
    """

    def __init__(self, play: Play, **announced: object) -> None:
        super().__init__(**announced)
        self.play = play
        #: Runs by request id.
        self.runs: Counter[bytes] = Counter()
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self, port: int = 0) -> None:
        self._raw_server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self._raw_server.sockets[0].getsockname()[1]

    def close(self) -> None:
        self._raw_server.close()
        for writer in self._writers:
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        number = 0
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(int(field(head, b"content-length") or 0))
                number += 1
                if not await self.play(self, head, writer, number):
                    return
        except (OSError, asyncio.IncompleteReadError):
            # The instance has closed the connection.
            return
        finally:
            writer.close()

    def head(
        self, request: bytes, status: bytes = b"200 OK", extra: bytes = b""
    ) -> bytes:
        return b"HTTP/1.1 %s\r\nX-Request-Id: %s\r\nX-Response-Signature: s\r\n%s" % (
            status,
            field(request, b"x-request-id"),
            extra,
        )

    async def run(self, request: bytes, writer: asyncio.StreamWriter) -> bool:
        """Run a request and answer it in full."""
        self.runs[field(request, b"x-request-id")] += 1
        await asyncio.sleep(0.02)
        path = request.split(b" ")[1]
        body = b"done " + field(request, b"x-request-id")
        extra = b""
        if path.startswith((b"/stream", b"/once", b"/sized")):
            first = int(field(request, b"last-event-id") or 0) + 1
            body, extra = events(first, EVENTS), TYPED
        extra += b"Content-Length: %d\r\n\r\n" % len(body)
        writer.write(self.head(request, extra=extra) + body)
        return True


def extra_fields(path: str) -> str:
    return ANY_MODEL if path == "/sized/" else ""


async def ask_all(harness: NodeHarness, path: str, count: int) -> dict[bytes, Reply]:
    """Send requests one after another; return the answers by request id."""
    found = {}
    for number in range(count):
        name = f"{number:04x}"
        found[name.encode()] = await harness.caller().ask(
            f"{path}{name}", request_id=name, extra=extra_fields(path)
        )
    return found


def refusal(status: bytes = b"503 Busy", extra: bytes = b"") -> bytes:
    return b"HTTP/1.1 %s\r\nX-Not-Executed: 1\r\n%sContent-Length: 0\r\n\r\n" % (
        status,
        extra,
    )


@pytest.mark.parametrize("path", ["/write/", "/once/", "/read/", "/stream/"])
@pytest.mark.parametrize("status", [b"503 Busy", b"429 Later", b"421 Not here"])
@pytest.mark.parametrize("other", [b"", b"X-Request-Id: other\r\n"])
async def test_refusal_of_another_request_does_not_let_one_run_twice(
    path: str, status: bytes, other: bytes
) -> None:
    """Guards against a second run, and a false promise to the caller (REFUSED)."""

    async def play(
        endpoint: RawEndpoint, head: bytes, writer: asyncio.StreamWriter, number: int
    ) -> bool:
        if number % 2 == 0:
            writer.write(refusal(status, other))
        return await endpoint.run(head, writer)

    endpoints = [RawEndpoint(play), RawEndpoint(play)]
    async with NodeHarness(*endpoints, configuration=configuration()) as harness:
        replies = await ask_all(harness, path, 30)
        await asyncio.sleep(0.1)
    for name, reply in replies.items():
        runs = sum(endpoint.runs[name] for endpoint in endpoints)
        assert reply.status == 200
        if path in ("/write/", "/once/"):
            assert runs == 1


@pytest.mark.parametrize(
    ("path", "status"), [("/write/", 502), ("/once/", 502), ("/read/", 502)]
)
async def test_refusal_that_names_no_request_is_no_promise_to_the_caller(
    path: str, status: int
) -> None:
    """Guards against a 503 for a request that may be running."""

    async def play(
        endpoint: RawEndpoint, head: bytes, writer: asyncio.StreamWriter, number: int
    ) -> bool:
        endpoint.runs[field(head, b"x-request-id")] += 1
        writer.write(refusal())
        return True

    endpoint = RawEndpoint(play)
    settings = configuration(TargetLatencyMs=50)
    async with NodeHarness(endpoint, configuration=settings) as harness:
        async with asyncio.timeout(2.5):
            reply = await harness.caller().ask(path, request_id="q")
        assert reply.status == status
        if path != "/read/":
            assert endpoint.runs[b"q"] == 1


async def test_answer_that_names_no_request_is_not_passed_on() -> None:
    """Guards against the answer of another request (MIXED)."""

    async def play(
        endpoint: RawEndpoint, head: bytes, writer: asyncio.StreamWriter, number: int
    ) -> bool:
        if number % 2 == 0:
            writer.write(
                b"HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n"
                b"Content-Length: 5\r\n\r\nstray"
            )
        return await endpoint.run(head, writer)

    endpoint = RawEndpoint(play)
    async with NodeHarness(endpoint, configuration=configuration()) as harness:
        replies = await ask_all(harness, "/write/", 12)
    for name, reply in replies.items():
        assert (reply.status, reply.body) == (200, b"done " + name)
        assert endpoint.runs[name] == 1


async def test_request_without_an_id_gets_a_connection_of_its_own() -> None:
    """Guards against answers that cannot be told from late ones."""
    numbers = []

    async def play(
        endpoint: RawEndpoint, head: bytes, writer: asyncio.StreamWriter, number: int
    ) -> bool:
        numbers.append(number)
        return await endpoint.run(head, writer)

    async with NodeHarness(RawEndpoint(play), configuration=configuration()) as harness:
        caller = harness.caller()
        for _ in range(3):
            await caller.connect()
            caller.write(
                b"POST /write/x HTTP/1.1\r\nHost: front.example\r\nX-Key: key\r\n"
                b"Content-Length: 0\r\n\r\n"
            )
            assert (await caller.receive()).status == 200
    assert numbers == [1, 1, 1]


def after_break(answer: Answer, *, broken: bytes) -> Play:
    """Break off each first run after ``broken``, and give ``answer`` to the next."""

    async def play(
        endpoint: RawEndpoint, head: bytes, writer: asyncio.StreamWriter, number: int
    ) -> bool:
        if field(head, b"last-event-id"):
            writer.write(answer(endpoint, head))
            return True
        endpoint.runs[field(head, b"x-request-id")] += 1
        extra = TYPED + b"Transfer-Encoding: chunked\r\n\r\n"
        writer.write(endpoint.head(head, extra=extra))
        writer.write(b"%x\r\n%s\r\n" % (len(broken), broken))
        await writer.drain()
        await asyncio.sleep(0.02)
        return False

    return play


TEXT = b"the engine is out of memory\n\n"
INSIDE_EVENT = events(1, 3) + b"id: 4\nda"


@pytest.mark.parametrize("broken", [INSIDE_EVENT, events(1, 3)])
@pytest.mark.parametrize(
    "answer",
    [
        lambda e, head: e.head(head, extra=b"Content-Length: 0\r\n\r\n"),
        lambda e, head: e.head(head, extra=b"\r\n"),
        lambda e, head: (
            e.head(
                head,
                extra=b"Content-Type: text/plain\r\nContent-Length: %d\r\n\r\n"
                % len(TEXT),
            )
            + TEXT
        ),
        lambda e, head: (
            e.head(head, b"500 Error", extra=b"Content-Length: %d\r\n\r\n" % len(TEXT))
            + TEXT
        ),
        lambda e, head: refusal(
            extra=b"X-Request-Id: %s\r\n" % field(head, b"x-request-id")
        ),
    ],
    ids=["empty", "empty-unframed", "text", "error", "refusal"],
)
@pytest.mark.parametrize("path", ["/stream/", "/once/", "/sized/"])
async def test_stream_is_not_ended_as_whole_by_an_answer_without_events(
    path: str, answer: Answer, broken: bytes
) -> None:
    """Guards against streams that lack their last events (ORDER, MIXED)."""
    play = after_break(answer, broken=broken)
    settings = configuration(TimeoutMs=1_500)
    async with NodeHarness(
        RawEndpoint(play), RawEndpoint(play), configuration=settings
    ) as harness:
        reply = await harness.caller().ask(
            path, request_id="q", extra=extra_fields(path)
        )
    assert reply.status == 200
    assert not reply.is_whole
    assert reply.body == events(1, 3)


@pytest.mark.parametrize(
    ("broken", "last", "is_whole"),
    [
        # All events had been sent, but not the end of the answer.
        (events(1, EVENTS), EVENTS, True),
        # The event that had begun is missing.
        (INSIDE_EVENT, 3, False),
    ],
)
async def test_stream_ends_with_an_event_stream_without_further_events(
    broken: bytes, last: int, is_whole: bool
) -> None:
    play = after_break(
        lambda e, head: e.head(head, extra=TYPED + b"Content-Length: 0\r\n\r\n"),
        broken=broken,
    )
    settings = configuration(TimeoutMs=1_500)
    async with NodeHarness(
        RawEndpoint(play), RawEndpoint(play), configuration=settings
    ) as harness:
        reply = await harness.caller().ask("/stream/", request_id="q")
    assert (reply.body, reply.is_whole) == (events(1, last), is_whole)


@pytest.mark.parametrize("content_type", [b"", TYPED])
async def test_weak_answer_is_passed_on_if_the_better_one_has_no_events(
    content_type: bytes,
) -> None:
    """Guards against an empty stream in place of an answer."""

    async def play(
        endpoint: RawEndpoint, head: bytes, writer: asyncio.StreamWriter, number: int
    ) -> bool:
        if field(head, b"x-model") == b"large":
            empty = content_type + b"Content-Length: 0\r\n\r\n"
            writer.write(endpoint.head(head, extra=empty))
            return True
        body = events(1, EVENTS)
        extra = TYPED + b"X-Confidence: 5\r\nContent-Length: %d\r\n\r\n" % len(body)
        writer.write(endpoint.head(head, extra=extra) + body)
        return True

    async with NodeHarness(
        RawEndpoint(play), RawEndpoint(play), configuration=configuration()
    ) as harness:
        reply = await harness.caller().ask(
            "/sized/", request_id="q", extra="X-Model: *\r\n"
        )
    assert (reply.status, reply.body, reply.is_whole) == (200, events(1, EVENTS), True)


CUTS = {
    "nothing": lambda whole: b"",
    "status": lambda whole: b"HTTP/1.1 200 OK\r\n",
    "inside-name": lambda whole: whole[: whole.index(b"X-Resp") + 5],
    "inside-value": lambda whole: whole[:-9],
    "last-field": lambda whole: whole,
    "inside-length": lambda whole: whole + b"Content-Length: 1",
    "half-blank": lambda whole: whole + b"Content-Length: 12\r\n\r",
    "chunked": lambda whole: whole + b"Transfer-Encoding: chunked\r\n",
}


@pytest.mark.parametrize("cut", CUTS)
@pytest.mark.parametrize("path", ["/write/", "/stream/", "/once/", "/sized/", "/read/"])
async def test_answer_that_ends_inside_its_head_is_no_answer(
    path: str, cut: str
) -> None:
    """Guards against a 200 with an empty body that is framed as whole (MIXED)."""

    async def play(
        endpoint: RawEndpoint, head: bytes, writer: asyncio.StreamWriter, number: int
    ) -> bool:
        if number == 1 and len(endpoint.runs) % 2 == 0:
            return await endpoint.run(head, writer)
        endpoint.runs[field(head, b"x-request-id")] += 1
        writer.write(CUTS[cut](endpoint.head(head, extra=TYPED)))
        await writer.drain()
        return False

    endpoints = [RawEndpoint(play), RawEndpoint(play)]
    async with NodeHarness(*endpoints, configuration=configuration()) as harness:
        replies = await ask_all(harness, path, 8)
    whole = events(1, EVENTS)
    for name, reply in replies.items():
        if reply.status == 200:
            is_stream = path in ("/stream/", "/once/", "/sized/")
            assert reply.is_whole
            assert reply.body == (whole if is_stream else b"done " + name)
        else:
            assert reply.status == 502
        if path in ("/write/", "/once/"):
            assert sum(endpoint.runs[name] for endpoint in endpoints) == 1


@pytest.mark.parametrize("path", ["/write/", "/once/"])
async def test_refusal_of_another_request_over_a_peer_lets_none_run_twice(
    path: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a second run over connections that peers carry."""

    async def play(
        endpoint: RawEndpoint, head: bytes, writer: asyncio.StreamWriter, number: int
    ) -> bool:
        if number % 2 == 0:
            writer.write(refusal())
        return await endpoint.run(head, writer)

    endpoints = [RawEndpoint(play), RawEndpoint(play)]
    async with cluster(2, *endpoints, configuration=configuration()) as harnesses:
        ports = {endpoint.port for endpoint in endpoints}
        with cut_paths(monkeypatch, ports) as paths:
            paths.cut(CutKind.REFUSED, harnesses[0].name)
            replies = await ask_all(harnesses[0], path, 16)
        assert harnesses[0].name not in paths.established
    for name, reply in replies.items():
        assert reply.status == 200
        assert sum(endpoint.runs[name] for endpoint in endpoints) == 1


async def test_stream_over_a_peer_is_not_ended_by_an_answer_without_events(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    play = after_break(
        lambda e, head: e.head(head, extra=b"Content-Length: 0\r\n\r\n"),
        broken=INSIDE_EVENT,
    )
    endpoints = [RawEndpoint(play), RawEndpoint(play)]
    settings = configuration(TimeoutMs=1_500)
    async with cluster(2, *endpoints, configuration=settings) as harnesses:
        with cut_paths(monkeypatch, {item.port for item in endpoints}) as paths:
            paths.cut(CutKind.REFUSED, harnesses[0].name)
            reply = await harnesses[0].caller().ask("/stream/", request_id="q")
    assert (reply.body, reply.is_whole) == (events(1, 3), False)


@pytest.mark.parametrize("path", ["/stream/", "/sized/"])
async def test_silent_stream_is_not_ended_by_a_standby_without_events(
    path: str,
) -> None:
    """Guards against an empty answer that ends the run of a silent endpoint."""

    async def play(
        endpoint: RawEndpoint, head: bytes, writer: asyncio.StreamWriter, number: int
    ) -> bool:
        if field(head, b"last-event-id"):
            empty = b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
            writer.write(endpoint.head(head, extra=empty))
            return True
        extra = TYPED + b"Transfer-Encoding: chunked\r\n\r\n"
        first, rest = events(1, 3), events(4, EVENTS)
        writer.write(endpoint.head(head, extra=extra))
        writer.write(b"%x\r\n%s\r\n" % (len(first), first))
        await asyncio.sleep(1.2)
        writer.write(b"%x\r\n%s\r\n0\r\n\r\n" % (len(rest), rest))
        return True

    endpoints = [RawEndpoint(play), RawEndpoint(play)]
    async with NodeHarness(*endpoints, configuration=configuration()) as harness:
        reply = await harness.caller().ask(
            path, request_id="q", extra=extra_fields(path)
        )
    # The silent endpoint goes on, as no other one can.
    assert (reply.body, reply.is_whole) == (events(1, EVENTS), True)


async def test_endpoint_that_names_no_requests_is_used_on_new_connections() -> None:
    """Guards against failures of all requests after the first of a connection."""
    numbers = []

    async def play(
        endpoint: RawEndpoint, head: bytes, writer: asyncio.StreamWriter, number: int
    ) -> bool:
        numbers.append(number)
        writer.write(
            b"HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n"
            b"Content-Length: 4\r\n\r\ndone"
        )
        return True

    async with NodeHarness(RawEndpoint(play), configuration=configuration()) as harness:
        replies = await ask_all(harness, "/write/", 4)
    assert {reply.status for reply in replies.values()} == {200}
    assert numbers == [1] * 4
