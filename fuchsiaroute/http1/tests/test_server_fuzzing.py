"""Sequences of requests that are cut and split at any byte."""

import asyncio
from dataclasses import replace
from typing import Any

from hypothesis import given, settings, strategies as st

from fuchsiaroute.clock import ManualClock, Milliseconds, SystemClock
from fuchsiaroute.http1 import (
    InboundRequest,
    MemoryBudget,
    Responder,
    ServerConnection,
    ServerLimits,
)

LIMITS = ServerLimits(
    header_bytes=400,
    body_bytes=64,
    header_timeout=Milliseconds(60_000),
    idle_timeout=Milliseconds(60_000),
)


class Transport(asyncio.Transport):
    """Takes all output until it is closed; ``unsent`` is what the caller leaves."""

    def __init__(self) -> None:
        super().__init__()
        self.output = b""
        self.is_closed = False

    def write(self, data: Any) -> None:
        if not self.is_closed:
            self.output += bytes(data)

    def get_write_buffer_size(self) -> int:
        return 0

    def is_closing(self) -> bool:
        return self.is_closed

    def close(self) -> None:
        self.is_closed = True

    abort = close

    def pause_reading(self) -> None:
        pass

    def resume_reading(self) -> None:
        pass


def by_length(number: int, body: bytes) -> bytes:
    head = b"POST /%d HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n"
    return head % (number, len(body)) + body


def in_chunks(number: int, body: bytes) -> bytes:
    head = b"POST /%d HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    chunks = b"".join(b"%x\r\n%c\r\n" % (1, byte) for byte in body)
    return head % number + chunks + b"0\r\nX-Trailer: 1\r\n\r\n"


def after_empty_lines(number: int, body: bytes) -> bytes:
    return b"\r\n\r\n" + by_length(number, body)


async def test_time_before_a_large_request_does_not_count_for_it() -> None:
    """Guards against a sound upload on a kept connection that goes before others."""
    clock = ManualClock()
    connection = ServerConnection(
        clock=clock,
        handler=lambda request, responder: asyncio.sleep(0),
        limits=lambda: replace(LIMITS, body_bytes=1_000_000),
        budget=MemoryBudget(limit=1_000_000, clock=clock),
        open_connections=set(),
    )
    connection.connection_made(Transport())
    clock.tick(Milliseconds(5_000))
    started_at = clock.now()
    connection.data_received(by_length(1, b"a" * 100_000)[:50_000])
    clock.tick(Milliseconds(100))
    connection.data_received(b"a" * 10)
    assert connection.held_since == started_at
    connection.connection_lost(None)


REQUESTS = st.lists(
    st.tuples(
        st.sampled_from([by_length, in_chunks, after_empty_lines]),
        st.binary(max_size=LIMITS.body_bytes),
    ),
    max_size=12,
)


async def play(data: list[bytes], *, is_lost: bool) -> tuple[bytes, list[bytes], int]:
    """Return the output, the bodies of the requests, and the memory still counted."""
    served: list[bytes] = []

    async def handle(request: InboundRequest, responder: Responder) -> None:
        await asyncio.sleep(0)
        served.append(request.body)
        responder.send(200, [(b"X-Path", request.target)], request.body)

    budget = MemoryBudget(limit=100_000, clock=SystemClock())
    connection = ServerConnection(
        clock=SystemClock(),
        handler=handle,
        limits=lambda: LIMITS,
        budget=budget,
        open_connections=set(),
    )
    transport = Transport()
    connection.connection_made(transport)
    for part in data:
        connection.data_received(part)
        await asyncio.sleep(0)
    if not is_lost:
        for _ in range(100):
            await asyncio.sleep(0)
    connection.connection_lost(None)
    await asyncio.sleep(0)
    return transport.output, served, budget.used


@settings(max_examples=150, deadline=None, derandomize=True)
@given(REQUESTS, st.lists(st.integers(0, 2_000)), st.booleans())
def test_each_answer_is_that_of_its_request(
    requests: list[Any], cuts: list[int], is_lost: bool
) -> None:
    """Guards against bodies taken for whole, answers mixed up, and memory not freed."""
    data = b"".join(
        encode(number, body) for number, (encode, body) in enumerate(requests)
    )
    ends = sorted({min(cut, len(data)) for cut in cuts} | {len(data)})
    parts = [data[a:b] for a, b in zip([0, *ends], ends, strict=False) if b > a]
    output, served, used = asyncio.run(play(parts, is_lost=is_lost))
    bodies = [body for _, body in requests]
    assert used == 0
    assert served == bodies[: len(served)]
    expected = b"".join(
        b"HTTP/1.1 200 OK\r\nX-Path: /%d\r\nContent-Length: %d\r\n\r\n%s"
        % (number, len(body), body)
        for number, body in enumerate(served)
    )
    assert expected.startswith(output)
    if not is_lost:
        assert served == bodies


@settings(max_examples=150, deadline=None, derandomize=True)
@given(REQUESTS, st.binary(max_size=40), st.integers(0, 600), st.integers(0, 600))
def test_damaged_input_begins_no_request_that_was_not_sent(
    requests: list[Any], damage: bytes, first: int, last: int
) -> None:
    data = b"".join(
        encode(number, body) for number, (encode, body) in enumerate(requests)
    )
    first, last = sorted((min(first, len(data)), min(last, len(data))))
    damaged = data[:first] + damage + data[last:]
    _, served, used = asyncio.run(play([damaged], is_lost=False))
    assert used == 0
    assert all(len(body) <= LIMITS.body_bytes for body in served)
