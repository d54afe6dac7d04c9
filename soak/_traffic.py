"""Callers of many habits, and a note of what each of them saw."""

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
from soak._fleet import Fleet, Place
from soak._record import Attempt

Session = NewType("Session", int)

#: Time that a caller waits, as its requests say.
_PATIENCE = Milliseconds(4_000)
#: Time for which a caller keeps an answer of the directory.
_KEEPS_LIST = Milliseconds(2_000)
#: Pause of a caller between two requests, at most.
_PAUSE = Milliseconds(250)
#: Share of callers that keep an open connection whatever the directory says.
_STUBBORN = 0.3
#: Share of requests whose caller leaves before the answer.
_LEAVING = 0.06
#: Share of requests with the key that may be revoked, and on added routes.
_SECOND_KEY, _ADDED_ROUTE = 0.1, 0.15
_MOST_EVENTS = 20
_SESSIONS = 30


class Traffic:
    """Sends requests until it is stopped; each ends in the record."""

    def __init__(self, fleet: Fleet, *, seed: int) -> None:
        self._fleet = fleet
        self._clock = fleet.clock
        self._seed = seed
        self._numbers = itertools.count()
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_over = False

    def start(self, count: int) -> None:
        """Let ``count`` callers begin."""
        for _ in range(count):
            self._spawn(None)

    async def burst(self, count: int, lasts: Milliseconds) -> None:
        """Let ``count`` more callers come for a while."""
        end = Milliseconds(self._clock.now() + lasts)
        for _ in range(count):
            self._spawn(end)
        await self._clock.sleep(lasts)

    async def is_served(self, place: Place) -> bool:
        """Send one request to an instance; return whether it is answered."""
        random = Random(f"probe:{self._seed}")
        connection = _Connection(self._fleet, random, is_stubborn=True)
        request_id = f"probe{next(self._numbers)}"
        attempt = Attempt(
            request_id=request_id,
            kind=RouteKind.READ,
            path=path(RouteKind.READ, request_id, 0),
            key=KEY,
            events=0,
            instance=place.instance.name,
            life=place.instance.life,
            sent_at=self._clock.now(),
        )
        self._fleet.record.attempts.append(attempt)
        await connection.exchange_at(place, attempt)
        connection.close()
        return attempt.status == 200 and attempt.is_whole

    async def stop(self) -> None:
        """Let every caller end its request, and wait for them."""
        self._is_over = True
        await asyncio.gather(*self._tasks)

    def _spawn(self, end: Milliseconds | None) -> None:
        number = next(self._numbers)
        random = Random(f"caller:{self._seed}:{number}")
        task = asyncio.get_running_loop().create_task(self._call(number, random, end))
        self._tasks.add(task)

    async def _call(
        self, number: int, random: Random, end: Milliseconds | None
    ) -> None:
        is_stubborn = random.random() < _STUBBORN
        connection = _Connection(self._fleet, random, is_stubborn=is_stubborn)
        for turn in itertools.count():
            is_over = end is not None and self._clock.now() >= end
            if self._is_over or is_over:
                break
            place = await connection.place()
            if place is not None:
                attempt = self._new_attempt(f"q{number}x{turn}", place, random)
                self._fleet.record.attempts.append(attempt)
                leaves_after = None
                if random.random() < _LEAVING:
                    leaves_after = Milliseconds(random.randint(10, 600))
                await connection.exchange(attempt, leaves_after)
            await self._clock.sleep(Milliseconds(random.randint(0, _PAUSE)))
        connection.close()

    def _new_attempt(self, request_id: str, place: Place, random: Random) -> Attempt:
        kind = random.choice(list(RouteKind))
        events = random.randint(1, _MOST_EVENTS) if kind.is_stream else 0
        target = path(kind, request_id, events)
        added = self._fleet.added_routes
        if kind is RouteKind.READ and added and random.random() < _ADDED_ROUTE:
            target = f"/{added_route(random.randrange(added))}/{request_id}/0"
        is_second = random.random() < _SECOND_KEY
        return Attempt(
            request_id=request_id,
            kind=kind,
            path=target,
            key=REVOKED_KEY if is_second else KEY,
            events=events,
            session=random.randrange(_SESSIONS) if kind.is_stream else None,
            instance=place.instance.name,
            life=place.instance.life,
            sent_at=self._clock.now(),
        )


class _Connection:
    """The connection that a caller keeps, and the list it chose from."""

    def __init__(self, fleet: Fleet, random: Random, *, is_stubborn: bool) -> None:
        self._fleet = fleet
        self._random = random
        self._is_stubborn = is_stubborn
        self._named: list[Place] = []
        self._asked_at = Milliseconds(-1 << 40)
        self._place: Place | None = None
        self._caller: Caller | None = None

    async def place(self) -> Place | None:
        """Return the instance for the next request, or None if none is known."""
        now = self._fleet.clock.now()
        if now - self._asked_at >= _KEEPS_LIST:
            await self._ask()
        is_open = self._caller is not None and self._caller.is_connected
        if is_open and (self._is_stubborn or self._place in self._named):
            return self._place
        self.close()
        self._place = self._random.choice(self._named) if self._named else None
        return self._place

    async def exchange_at(self, place: Place, attempt: Attempt) -> None:
        """Send a request to an instance, whatever the directory says."""
        self._place = place
        await self.exchange(attempt, None)

    async def exchange(
        self, attempt: Attempt, leaves_after: Milliseconds | None
    ) -> None:
        """Send a request and note what comes of it."""
        assert self._place is not None
        if self._caller is None:
            self._caller = Caller(self._place.callers.port)
        fields = session_fields(attempt.session, attempt.request_id)
        try:
            await self._caller.send(
                attempt.path,
                key=attempt.key,
                request_id=attempt.request_id,
                deadline=_PATIENCE,
                body=body_of(attempt.request_id),
                extra=fields,
            )
            limit = None if leaves_after is None else leaves_after / 1_000
            async with asyncio.timeout(limit):
                await self._receive(self._caller, attempt)
        except TimeoutError:
            # The caller's own time to leave, or 20 s without an answer.
            attempt.has_left = leaves_after is not None
            self.close()
        except (OSError, EOFError):
            # The connection ended before a response had begun.
            self.close()
        attempt.ended_at = self._fleet.clock.now()
        if attempt.status is not None and not attempt.is_whole:
            self.close()

    def close(self) -> None:
        """Close the connection, if one is open."""
        if self._caller is not None:
            self._caller.close()
        self._caller = None

    async def _receive(self, caller: Caller, attempt: Attempt) -> None:
        reply = await caller.receive()
        attempt.status = reply.status
        attempt.body, attempt.is_whole = reply.body, reply.is_whole
        attempt.is_signed = reply.is_signed
        if reply.closes:
            self.close()

    async def _ask(self) -> None:
        for place in self._random.sample(self._fleet.places, len(self._fleet.places)):
            named = await self._fleet.ask_directory(place)
            if named:
                self._named = named
                self._asked_at = self._fleet.clock.now()
                return
