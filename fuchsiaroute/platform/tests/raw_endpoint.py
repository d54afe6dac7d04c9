"""An endpoint that writes bytes of its own choice, and requests to it."""

import asyncio
import re
from collections import Counter
from collections.abc import Awaitable, Callable
from copy import deepcopy
from typing import Any

from fuchsiaroute.platform.tests.node_harness import (
    CONFIGURATION,
    NodeHarness,
    Reply,
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
