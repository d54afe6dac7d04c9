"""Endpoints that fail after a broken stream, or stop in the head of an answer."""

import asyncio

import pytest

from fuchsiaroute.platform.tests.cut_paths import CutKind, cut_paths
from fuchsiaroute.platform.tests.node_harness import NodeHarness, cluster
from fuchsiaroute.platform.tests.raw_endpoint import (
    EVENTS,
    TYPED,
    Answer,
    Play,
    RawEndpoint,
    ask_all,
    configuration,
    events,
    extra_fields,
    field,
    refusal,
)


def after_break(answer: Answer, *, broken: bytes) -> Play:
    """Break off each first run after ``broken``, and give ``answer`` to the next."""

    async def play(
        endpoint: RawEndpoint, head: bytes, writer: asyncio.StreamWriter, number: int
    ) -> bool:
        if field(head, b"last-event-id"):
            data = answer(endpoint, head)
            writer.write(data)
            # The connection marks the end of an answer without a length.
            return b"Content-Length" in data
        endpoint.runs[field(head, b"x-request-id")] += 1
        extra = TYPED + b"Transfer-Encoding: chunked\r\n\r\n"
        writer.write(endpoint.head(head, extra=extra))
        writer.write(b"%x\r\n%s\r\n" % (len(broken), broken))
        await writer.drain()
        await asyncio.sleep(0.02)
        return False

    return play


def stream(endpoint: RawEndpoint, head: bytes, body: bytes) -> bytes:
    """Return an answer that is a whole event stream."""
    extra = TYPED + b"Content-Length: %d\r\n\r\n" % len(body)
    return endpoint.head(head, extra=extra) + body


TEXT = b"the engine is out of memory\n\n"
INSIDE_EVENT = events(1, 3) + b"id: 4\nda"


@pytest.mark.parametrize(
    "broken", [INSIDE_EVENT, events(1, 3)], ids=["inside-event", "between-events"]
)
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
        lambda e, head: e.head(head, extra=TYPED + b"\r\n"),
        lambda e, head: stream(e, head, events(1, EVENTS)),
        lambda e, head: stream(e, head, b"event: error\ndata: " + TEXT),
    ],
    ids=[
        "empty",
        "empty-unframed",
        "text",
        "error",
        "refusal",
        "events-unframed",
        "from-the-start",
        "error-event",
    ],
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
