"""Callers with varying behaviour, whose requests are recorded."""

import asyncio
import itertools
import socket
from collections.abc import Sequence
from random import Random
from typing import NewType

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.platform.tests.node_harness import Caller
from fuchsiaroute.platform.tests.recording_endpoint import (
    LONG_EVENTS_PER_SECOND,
    body_of,
    session_fields,
    without_filler,
)
from fuchsiaroute.platform.tests.soak_platform import (
    KEY,
    LONG_STREAMS,
    REVOKED_KEY,
    SHORT_KINDS,
    RouteKind,
    added_route,
    path,
)
from soak._fleet import Fleet, Node
from soak._record import CallerRequest

Session = NewType("Session", int)

#: Time by which the deadline that requests carry is longer than the route's timeout.
_DEADLINE_MARGIN = Milliseconds(1_000)
#: Time for which a caller uses a directory response.
_DIRECTORY_LIFETIME = Milliseconds(2_000)
#: Maximum pause of a caller between two requests.
_MAX_PAUSE = Milliseconds(250)
#: Share of callers that keep an open connection to an instance no longer listed.
_KEEPS_CONNECTION_SHARE = 0.3
#: Share of requests whose caller disconnects after 10 to 600 ms.
_ABANDONED_SHARE = 0.06
#: Share of requests with the revocable key, and of reads that use an added route.
_SECOND_KEY_SHARE, _ADDED_ROUTE_SHARE = 0.1, 0.15
_MAX_EVENTS = 20
#: Longest stream of several seconds, longer than a grace period.
_MAX_LONG_SECONDS = 10
_MAX_FILLER_BYTES = 4_000_000
#: Read by a slow caller in a second, and the size of its receive buffer.
_SLOW_BYTES_PER_SECOND, _SLOW_BUFFER_BYTES = 2_000_000, 16_384
_SESSION_COUNT = 30
#: Callers of each instance that use no other one, and what they ask for.
_STAYING_PER_INSTANCE = 2
_STAYING_KINDS = (SHORT_KINDS, LONG_STREAMS, (RouteKind.READ, RouteKind.LARGE))


class Traffic:
    """Sends requests until stopped and adds each to the record."""

    def __init__(self, fleet: Fleet, *, seed: int) -> None:
        self._fleet = fleet
        self._clock = fleet.clock
        self._seed = seed
        self._numbers = itertools.count()
        self._tasks: set[asyncio.Task[None]] = set()
        self._staying: list[_Connection] = []
        self._is_over = False

    def start(self, count: int) -> None:
        """Start ``count`` callers."""
        for _ in range(count):
            self._spawn(None)

    def start_staying(self) -> None:
        """Start callers that use one instance whatever the directory says."""
        random = Random(f"staying:{self._seed}")
        for node in self._fleet.nodes:
            for _ in range(_STAYING_PER_INSTANCE):
                self._spawn(None, node=node, kinds=random.choice(_STAYING_KINDS))

    async def burst(self, count: int, lasts: Milliseconds) -> None:
        """Run ``count`` additional callers for ``lasts`` milliseconds."""
        end = Milliseconds(self._clock.now() + lasts)
        for _ in range(count):
            self._spawn(end)
        await self._clock.sleep(lasts)

    async def is_served(self, node: Node) -> bool:
        """Send one request to an instance; return whether it succeeds."""
        random = Random(f"probe:{self._seed}")
        connection = _Connection(self._fleet, random, keeps_connection=True)
        request_id = f"probe{next(self._numbers)}"
        request = CallerRequest(
            request_id=request_id,
            kind=RouteKind.READ,
            path=path(RouteKind.READ, request_id, 0),
            key=KEY,
            events=0,
            instance=node.instance.name,
            process_index=node.instance.process_index,
            sent_at=self._clock.now(),
        )
        self._fleet.record.requests.append(request)
        await connection.exchange_at(node, request)
        connection.close()
        return request.status == 200 and request.is_whole

    async def stop(self) -> None:
        """Wait until every caller has finished or abandoned its current request."""
        self._is_over = True
        for connection in self._staying:
            connection.abandon()
        await asyncio.gather(*self._tasks)

    def _spawn(
        self,
        end: Milliseconds | None,
        *,
        node: Node | None = None,
        kinds: Sequence[RouteKind] = SHORT_KINDS,
    ) -> None:
        number = next(self._numbers)
        random = Random(f"caller:{self._seed}:{number}")
        task = asyncio.get_running_loop().create_task(
            self._run_caller(number, random, end, node=node, kinds=kinds)
        )
        self._tasks.add(task)

    async def _run_caller(
        self,
        number: int,
        random: Random,
        end: Milliseconds | None,
        *,
        node: Node | None,
        kinds: Sequence[RouteKind],
    ) -> None:
        keeps_connection = random.random() < _KEEPS_CONNECTION_SHARE
        connection = _Connection(
            self._fleet,
            random,
            keeps_connection=keeps_connection,
            only_node=node,
            is_slow=RouteKind.LARGE in kinds,
        )
        if node is not None:
            self._staying.append(connection)
        for turn in itertools.count():
            is_over = end is not None and self._clock.now() >= end
            if self._is_over or is_over:
                break
            chosen = await connection.choose_node()
            if chosen is not None:
                request = self._draw_request(
                    f"q{number}x{turn}", chosen, random.choice(kinds), random
                )
                self._fleet.record.requests.append(request)
                abandons_after = None
                if random.random() < _ABANDONED_SHARE:
                    abandons_after = Milliseconds(random.randint(10, 600))
                await connection.exchange(request, abandons_after)
            await self._clock.sleep(Milliseconds(random.randint(0, _MAX_PAUSE)))
        connection.close()

    def _draw_request(
        self, request_id: str, node: Node, kind: RouteKind, random: Random
    ) -> CallerRequest:
        events = random.randint(1, _max_events(kind)) if kind.is_stream else 0
        is_large = kind is RouteKind.LARGE
        filler = random.randrange(_MAX_FILLER_BYTES) if is_large else 0
        target = path(kind, request_id, events + filler)
        added = self._fleet.added_route_count
        if kind is RouteKind.READ and added and random.random() < _ADDED_ROUTE_SHARE:
            target = f"/{added_route(random.randrange(added))}/{request_id}/0"
        is_second = random.random() < _SECOND_KEY_SHARE
        return CallerRequest(
            request_id=request_id,
            kind=kind,
            path=target,
            key=REVOKED_KEY if is_second else KEY,
            events=events,
            filler=filler,
            session=random.randrange(_SESSION_COUNT) if kind.is_stream else None,
            instance=node.instance.name,
            process_index=node.instance.process_index,
            sent_at=self._clock.now(),
        )


def _max_events(kind: RouteKind) -> int:
    is_long = kind in LONG_STREAMS
    return round(_MAX_LONG_SECONDS * LONG_EVENTS_PER_SECOND) if is_long else _MAX_EVENTS


class _SlowCaller(Caller):
    """Reads slowly into a small buffer, so that the sender's buffers fill up."""

    async def _open(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        connected = socket.socket()
        connected.setblocking(False)
        connected.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _SLOW_BUFFER_BYTES)
        address = ("127.0.0.1", self._port)
        await asyncio.get_running_loop().sock_connect(connected, address)
        return await asyncio.open_connection(sock=connected, limit=_SLOW_BUFFER_BYTES)

    async def _read(self, size: int) -> bytes:
        pieces = []
        for begin in range(0, size, _SLOW_BUFFER_BYTES):
            length = min(_SLOW_BUFFER_BYTES, size - begin)
            pieces.append(await super()._read(length))
            await asyncio.sleep(length / _SLOW_BYTES_PER_SECOND)
        return b"".join(pieces)


class _Connection:
    """A caller's connection, and the instances listed by the directory."""

    def __init__(
        self,
        fleet: Fleet,
        random: Random,
        *,
        keeps_connection: bool,
        only_node: Node | None = None,
        is_slow: bool = False,
    ) -> None:
        self._fleet = fleet
        self._random = random
        self._keeps_connection = keeps_connection
        self._listed_nodes: list[Node] = []
        self._listed_at = Milliseconds(-1 << 40)
        self._node: Node | None = None
        self._caller: Caller | None = None
        self._only_node = only_node
        self._caller_type = _SlowCaller if is_slow else Caller
        self._limit = asyncio.timeout(None)
        self._is_receiving = False

    async def choose_node(self) -> Node | None:
        """Return the node for the next request, or None if none is listed."""
        if self._only_node is not None:
            if self._caller is not None and not self._caller.is_connected:
                self.close()
            self._node = self._only_node
            return self._node
        now = self._fleet.clock.now()
        if now - self._listed_at >= _DIRECTORY_LIFETIME:
            await self._refresh_list()
        is_open = self._caller is not None and self._caller.is_connected
        if is_open and (self._keeps_connection or self._node in self._listed_nodes):
            return self._node
        self.close()
        self._node = (
            self._random.choice(self._listed_nodes) if self._listed_nodes else None
        )
        return self._node

    async def exchange_at(self, node: Node, request: CallerRequest) -> None:
        """Send a request to ``node``, even if the directory does not list it."""
        self._node = node
        await self.exchange(request, None)

    async def exchange(
        self, request: CallerRequest, abandons_after: Milliseconds | None
    ) -> None:
        """Send a request and record its response."""
        assert self._node is not None
        if self._caller is None:
            self._caller = self._caller_type(self._node.callers.port)
        fields = session_fields(request.session, request.request_id)
        try:
            await self._caller.send(
                request.path,
                key=request.key,
                request_id=request.request_id,
                deadline=request.kind.timeout + _DEADLINE_MARGIN,
                body=body_of(request.request_id),
                extra=fields,
            )
            limit = None if abandons_after is None else abandons_after / 1_000
            self._limit = asyncio.timeout(limit)
            async with self._limit:
                self._is_receiving = True
                await self._receive(self._caller, request)
        except TimeoutError:
            # The caller disconnects, or there was no answer for 20 s.
            request.is_abandoned = self._limit.expired()
            self.close()
        except (OSError, EOFError):
            # The connection was closed before a response began.
            request.is_closed = True
            refused = self._node.callers.refused_ports
            request.is_refused = self._caller.local_port in refused
            self.close()
        finally:
            self._is_receiving = False
        request.ended_at = self._fleet.clock.now()
        if request.status is not None and not request.is_whole:
            request.is_closed = True
            self.close()

    def abandon(self) -> None:
        """Disconnect while the answer to the current request arrives."""
        if self._is_receiving:
            self._limit.reschedule(asyncio.get_running_loop().time())

    def close(self) -> None:
        """Close the connection, if one is open."""
        if self._caller is not None:
            self._caller.close()
        self._caller = None

    async def _receive(self, caller: Caller, request: CallerRequest) -> None:
        reply = await caller.receive()
        request.status = reply.status
        request.body = without_filler(reply.body, request.filler)
        request.is_whole = reply.is_whole
        request.is_signed = reply.is_signed
        if reply.closes:
            self.close()

    async def _refresh_list(self) -> None:
        for node in self._random.sample(self._fleet.nodes, len(self._fleet.nodes)):
            listed = await self._fleet.query_directory(node)
            if listed:
                self._listed_nodes = listed
                self._listed_at = self._fleet.clock.now()
                return
