"""
Endpoints whose answers do not end, beside an ordinary caller.

The tests guard against a process that keeps what such an endpoint sends until it runs
out of memory, so that the requests of all other callers end with it. They check nothing
that depends on the speed of the machine.
"""

import asyncio
from collections.abc import Callable, Iterator
from contextlib import suppress
from itertools import repeat
from pathlib import Path

import pytest

from fuchsiaroute.platform.tests.node_harness import CONFIGURATION, ROUTES, Caller
from fuchsiaroute.platform.tests.node_process import PATIENCE_SECONDS, NodeProcess
from fuchsiaroute.platform.tests.raw_endpoint import TYPED, RawEndpoint

REQUESTS = 24
#: What an endpoint sends of one answer if nobody closes the connection.
BYTES_OF_ANSWER = 7_000_000
MEMORY_MB = 64
MAX_DESCRIPTORS = 200
_WRITE_BYTES = 65_536
_SERVICES = [{"Name": name, "MaxConnections": 1_000} for name in ("app", "faulty")]
CONFIGURATION_WITH_FAULTY = {
    **CONFIGURATION,
    "Services": _SERVICES,
    "Routes": [
        *ROUTES,
        *(
            {
                **route,
                "Name": f"faulty-{route['Name']}",
                "Prefix": f"/faulty{route['Prefix']}",
                "Service": "faulty",
                "TimeoutMs": 20_000,
            }
            for route in ROUTES
        ),
    ],
}
_FILL = b"a" * _WRITE_BYTES


def length(head: bytes) -> Iterator[bytes]:
    yield head + b"Content-Length: 100000000000\r\n\r\n"
    yield from repeat(_FILL)


def chunked(head: bytes) -> Iterator[bytes]:
    yield head + b"Transfer-Encoding: chunked\r\n\r\n"
    yield from repeat(b"%x\r\n%s\r\n" % (_WRITE_BYTES, _FILL))


def tiny_chunks(head: bytes) -> Iterator[bytes]:
    yield head + b"Transfer-Encoding: chunked\r\n\r\n"
    yield from repeat(b"1\r\na\r\n" * (_WRITE_BYTES // 6))


def until_close(head: bytes) -> Iterator[bytes]:
    yield head + b"\r\n"
    yield from repeat(_FILL)


def one_event(head: bytes) -> Iterator[bytes]:
    yield head + TYPED + b"Transfer-Encoding: chunked\r\n\r\n"
    data = b"id: 1\ndata: " + _FILL
    yield b"%x\r\n%s\r\n" % (len(data), data)
    yield from repeat(b"%x\r\n%s\r\n" % (_WRITE_BYTES, _FILL))


def fields(head: bytes) -> Iterator[bytes]:
    yield head
    yield from repeat(b"X-More: b\r\n" * (_WRITE_BYTES // 11))


def one_field(head: bytes) -> Iterator[bytes]:
    yield head + b"X-More: "
    yield from repeat(_FILL)


def interim(head: bytes) -> Iterator[bytes]:
    return repeat(b"HTTP/1.1 102 Processing\r\n\r\n" * (_WRITE_BYTES // 27))


def no_answer(head: bytes) -> Iterator[bytes]:
    return repeat(_FILL)


def status_line(head: bytes) -> Iterator[bytes]:
    yield b"HTTP/1.1 200 "
    yield from repeat(_FILL)


class EndlessEndpoint(RawEndpoint):
    """Sends parts of an answer until the connection is closed."""

    def __init__(self, answer: Callable[[bytes], Iterator[bytes]]) -> None:
        super().__init__(self._send)
        self._answer = answer

    def announcement(self, **changes: object) -> dict[str, object]:
        return super().announcement(Service="faulty", Slots=100, **changes)

    async def _send(
        self, endpoint: RawEndpoint, head: bytes, writer: asyncio.StreamWriter, n: int
    ) -> bool:
        sent = 0
        for part in self._answer(self.head(head)):
            if sent > BYTES_OF_ANSWER:
                # The answer does not end, but nothing more comes.
                await asyncio.sleep(PATIENCE_SECONDS)
            writer.write(part)
            sent += len(part)
            await writer.drain()
        return False


ANSWERS = [
    length,
    chunked,
    tiny_chunks,
    until_close,
    one_event,
    fields,
    one_field,
    interim,
    no_answer,
    status_line,
]
PATHS = ["/faulty/read/", "/faulty/write/", "/faulty/stream/", "/faulty/once/"]


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("answer", ANSWERS)
async def test_process_and_ordinary_caller_beside_endless_answers(
    answer: Callable[[bytes], Iterator[bytes]], path: str, tmp_path: Path
) -> None:
    async with NodeProcess(
        tmp_path,
        memory_mb=MEMORY_MB,
        max_descriptors=MAX_DESCRIPTORS,
        others=[EndlessEndpoint(answer)],
        configuration=CONFIGURATION_WITH_FAULTY,
    ) as node:
        callers = [Caller(node.frontend) for _ in range(REQUESTS)]

        async def ask(number: int, caller: Caller) -> None:
            with suppress(OSError, asyncio.IncompleteReadError, ValueError):
                await caller.send(path, request_id=f"q{number}", deadline=8_000)
                async with asyncio.timeout(4):
                    await caller.receive()

        async with asyncio.timeout(PATIENCE_SECONDS):
            await asyncio.gather(
                *(ask(number, caller) for number, caller in enumerate(callers)),
                return_exceptions=True,
            )
            reply = await node.ask("beside")
        assert node.is_alive
        assert node.peak_memory_mb < MEMORY_MB
        assert (reply.status, reply.is_whole) == (200, True)
        for caller in callers:
            caller.close()
        assert (await node.ask("after")).status == 200
        assert node.peak_memory_mb < MEMORY_MB
