"""Client connections that share a budget of memory for their responses."""

import asyncio

import pytest

from fuchsiaroute.clock import SystemClock
from fuchsiaroute.http1 import BrokenResponseError, MemoryBudget
from fuchsiaroute.http1._response_memory import ResponseMemory
from fuchsiaroute.http1.tests.test_client import (
    OK,
    EndlessEndpoint,
    Endpoint,
    matches,
)

SOUND_BYTES = 200_000
BUDGET_BYTES = 1_000_000


@pytest.mark.parametrize("first", [b"Content-Length: 100000000000\r\n\r\n", b"\r\n"])
async def test_response_without_end_does_not_take_the_room_of_others(
    first: bytes,
) -> None:
    """Guards against a process that runs out of memory for one faulty endpoint."""
    budget = MemoryBudget(limit=BUDGET_BYTES, clock=SystemClock())
    sound = OK + b"Content-Length: %d\r\n\r\n" % SOUND_BYTES + b"a" * SOUND_BYTES
    async with (
        EndlessEndpoint(OK + first, b"a" * 65_536) as faulty,
        Endpoint(sound) as other,
    ):
        endless, usual = await faulty.connect(budget), await other.connect(budget)
        endless.send(b"GET / HTTP/1.1\r\n\r\n", matches)
        with pytest.raises(BrokenResponseError, match="no memory"):
            await endless.read_whole(limit=100 * BUDGET_BYTES)
        endless = await faulty.connect(budget)
        endless.send(b"GET / HTTP/1.1\r\n\r\n", matches)
        reading = asyncio.create_task(endless.read_whole(limit=100 * BUDGET_BYTES))
        await asyncio.sleep(0)
        usual.send(b"GET / HTTP/1.1\r\n\r\n", matches)
        found = await usual.read_whole(limit=BUDGET_BYTES)
        assert len(found.data) == SOUND_BYTES
        with pytest.raises(BrokenResponseError):
            await reading
        assert budget.used == 0


async def test_nothing_is_counted_for_responses_that_have_ended() -> None:
    budget = MemoryBudget(limit=BUDGET_BYTES, clock=SystemClock())
    sound = OK + b"Content-Length: %d\r\n\r\n" % SOUND_BYTES + b"a" * SOUND_BYTES
    async with Endpoint(sound, sound, sound) as endpoint:
        connection = await endpoint.connect(budget)
        for _ in range(2):
            connection.send(b"GET / HTTP/1.1\r\n\r\n", matches)
            await connection.read_whole(limit=BUDGET_BYTES)
            assert budget.used == 0
        connection.send(b"GET / HTTP/1.1\r\n\r\n", matches)
        await connection.read()
        connection.keep(100_000)
        assert budget.used >= 100_000
        connection.abort()
        assert budget.used == 0


async def test_unread_response_counts_with_what_is_buffered() -> None:
    """Guards against many answers that wait for slow callers or a better answer."""
    budget = MemoryBudget(limit=BUDGET_BYTES, clock=SystemClock())
    async with EndlessEndpoint(OK + b"\r\n", b"a" * 65_536) as faulty:
        connections = [await faulty.connect(budget) for _ in range(8)]
        for connection in connections:
            connection.send(b"GET / HTTP/1.1\r\n\r\n", matches)
        async with asyncio.timeout(20):
            await asyncio.gather(*(item.wait_whole() for item in connections[:4]))
        assert budget.used <= BUDGET_BYTES
        for connection in connections:
            connection.abort()
        assert budget.used == 0


def test_bytes_that_arrive_after_the_response_was_given_up_do_not_count() -> None:
    """Guards against a budget that fills up with connections that have ended."""
    budget = MemoryBudget(limit=BUDGET_BYTES, clock=SystemClock())
    memory = ResponseMemory(budget, clock=SystemClock(), on_evicted=lambda reason: None)
    memory.begin()
    memory.hold(SOUND_BYTES, fields=2)
    assert budget.used > SOUND_BYTES
    memory.release()
    memory.hold(SOUND_BYTES, fields=2)
    memory.keep(SOUND_BYTES)
    assert budget.used == 0


def test_complete_response_is_not_broken_off() -> None:
    """Guards against a ready answer that is lost for another one."""
    reasons: list[str] = []
    budget = MemoryBudget(limit=BUDGET_BYTES, clock=SystemClock())
    ready, arriving = (
        ResponseMemory(budget, clock=SystemClock(), on_evicted=reasons.append)
        for _ in range(2)
    )
    for memory in (ready, arriving):
        memory.begin()
    ready.hold(BUDGET_BYTES - 1, fields=0)
    ready.complete()
    arriving.hold(SOUND_BYTES, fields=0)
    assert len(reasons) == 1 and str(SOUND_BYTES) in reasons[0]
