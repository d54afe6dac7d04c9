"""Callers with varying behaviour, whose requests are recorded."""

import asyncio
import itertools
from random import Random
from typing import NewType

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.platform.tests.node_harness import Caller
from fuchsiaroute.platform.tests.recording_endpoint import body_of, session_fields
from fuchsiaroute.platform.tests.soak_platform import (
    KEY,
    REVOKED_KEY,
    RouteKind,
    added_route,
    path,
)
from soak._fleet import Fleet, Node
from soak._record import CallerRequest

Session = NewType("Session", int)

#: Deadline that requests carry.
_REQUEST_DEADLINE = Milliseconds(4_000)
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
_SESSION_COUNT = 30


class Traffic:
    """Sends requests until stopped and adds each to the record."""

    def __init__(self, fleet: Fleet, *, seed: int) -> None:
        self._fleet = fleet
        self._clock = fleet.clock
        self._seed = seed
        self._numbers = itertools.count()
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_over = False

    def start(self, count: int) -> None:
        """Start ``count`` callers."""
        for _ in range(count):
            self._spawn(None)

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
        """Wait until every caller has finished its current request."""
        self._is_over = True
        await asyncio.gather(*self._tasks)

    def _spawn(self, end: Milliseconds | None) -> None:
        number = next(self._numbers)
        random = Random(f"caller:{self._seed}:{number}")
        task = asyncio.get_running_loop().create_task(
            self._run_caller(number, random, end)
        )
        self._tasks.add(task)

    async def _run_caller(
        self, number: int, random: Random, end: Milliseconds | None
    ) -> None:
        keeps_connection = random.random() < _KEEPS_CONNECTION_SHARE
        connection = _Connection(self._fleet, random, keeps_connection=keeps_connection)
        for turn in itertools.count():
            is_over = end is not None and self._clock.now() >= end
            if self._is_over or is_over:
                break
            node = await connection.choose_node()
            if node is not None:
                request = self._draw_request(f"q{number}x{turn}", node, random)
                self._fleet.record.requests.append(request)
                abandons_after = None
                if random.random() < _ABANDONED_SHARE:
                    abandons_after = Milliseconds(random.randint(10, 600))
                await connection.exchange(request, abandons_after)
            await self._clock.sleep(Milliseconds(random.randint(0, _MAX_PAUSE)))
        connection.close()

    def _draw_request(
        self, request_id: str, node: Node, random: Random
    ) -> CallerRequest:
        kind = random.choice(list(RouteKind))
        events = random.randint(1, _MAX_EVENTS) if kind.is_stream else 0
        target = path(kind, request_id, events)
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
            session=random.randrange(_SESSION_COUNT) if kind.is_stream else None,
            instance=node.instance.name,
            process_index=node.instance.process_index,
            sent_at=self._clock.now(),
        )


class _Connection:
    """A caller's connection, and the instances listed by the directory."""

    def __init__(self, fleet: Fleet, random: Random, *, keeps_connection: bool) -> None:
        self._fleet = fleet
        self._random = random
        self._keeps_connection = keeps_connection
        self._listed_nodes: list[Node] = []
        self._listed_at = Milliseconds(-1 << 40)
        self._node: Node | None = None
        self._caller: Caller | None = None

    async def choose_node(self) -> Node | None:
        """Return the node for the next request, or None if none is listed."""
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
            self._caller = Caller(self._node.callers.port)
        fields = session_fields(request.session, request.request_id)
        try:
            await self._caller.send(
                request.path,
                key=request.key,
                request_id=request.request_id,
                deadline=_REQUEST_DEADLINE,
                body=body_of(request.request_id),
                extra=fields,
            )
            limit = None if abandons_after is None else abandons_after / 1_000
            async with asyncio.timeout(limit):
                await self._receive(self._caller, request)
        except TimeoutError:
            # The caller disconnects, or there was no answer for 20 s.
            request.is_abandoned = abandons_after is not None
            self.close()
        except (OSError, EOFError):
            # The connection was closed before a response began.
            self.close()
        request.ended_at = self._fleet.clock.now()
        if request.status is not None and not request.is_whole:
            self.close()

    def close(self) -> None:
        """Close the connection, if one is open."""
        if self._caller is not None:
            self._caller.close()
        self._caller = None

    async def _receive(self, caller: Caller, request: CallerRequest) -> None:
        reply = await caller.receive()
        request.status = reply.status
        request.body, request.is_whole = reply.body, reply.is_whole
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
