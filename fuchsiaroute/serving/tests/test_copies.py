"""Where copies of ledger records go, and when they are released."""

from collections import Counter
from dataclasses import dataclass

import pytest
from returns.result import Failure, Success

from fuchsiaroute.billing import NO_HOLDER, CopyHolder
from fuchsiaroute.membership import Announcement, MemberState
from fuchsiaroute.serving._copies import HeldForPeers, RemoteCopies


@dataclass(frozen=True)
class Member:
    instance: str
    failure_domain: str
    state: MemberState = MemberState.ALIVE
    incarnation: int = 1


class World:
    """A membership and the copy holders behind its connections."""

    def __init__(self, *members, own="entry-0", max_bytes=1_000):
        self.own = Announcement(
            instance=own,
            incarnation=1,
            sequence=1,
            is_leaving=False,
            address="127.0.0.1:1",
            failure_domain="a",
        )
        self.living = list(members)
        self.holders = {
            member.instance: CopyHolder(max_bytes=max_bytes) for member in members
        }
        self.silent = set()
        self.copies = RemoteCopies(self, self.connect)

    def members(self):
        return tuple(self.living)

    def connect(self, member):
        return Connection(self, member.instance)

    def sizes(self):
        return {name: holder.size for name, holder in self.holders.items()}


class Connection:
    def __init__(self, world, name):
        self._world = world
        self._name = name
        self._held = HeldForPeers(world.holders[name])

    async def hold_records(self, owner, incarnation, batch, records):
        if self._name in self._world.silent:
            return Failure("silent")
        return Success(self._held.hold(owner, incarnation, batch, records))

    async def release_records(self, owner, incarnation, last_batch):
        if self._name in self._world.silent:
            return Failure("silent")
        return Success(self._held.release(owner, incarnation, last_batch))


NEAR = Member("entry-1", "a")
FAR = Member("entry-2", "b")
OTHER_FAR = Member("entry-3", "c")


@pytest.mark.parametrize(
    ("members", "expected"),
    [
        ((), NO_HOLDER),
        ((NEAR,), "entry-1/1"),
        ((Member("model-pool-0", "b", incarnation=0),), NO_HOLDER),
        ((NEAR, FAR), "entry-2/1"),
        ((NEAR, Member("entry-2", "b", MemberState.DEAD)), "entry-1/1"),
        ((Member("entry-2", "b", MemberState.LEAVING),), NO_HOLDER),
    ],
)
async def test_the_holder_lives_in_another_failure_domain_if_it_can(members, expected):
    assert World(*members).copies.holder() == expected


async def test_the_holder_stays_while_it_lives():
    world = World(FAR)
    world.copies.holder()
    world.living = [Member(f"entry-{number}", "b") for number in range(2, 40)]
    assert world.copies.holder() == "entry-2/1"


async def test_entries_spread_over_holders():
    members = [Member(f"entry-{number}", "b") for number in range(10)]
    chosen = Counter(
        World(*members, own=f"other-{number}").copies.holder() for number in range(200)
    )
    assert len(chosen) == 10
    assert max(chosen.values()) <= 40


async def test_a_full_holder_gives_way_to_another():
    world = World(FAR, OTHER_FAR, max_bytes=10)
    first = world.copies.holder()
    assert await world.copies.hold(1, b"x" * 8)
    assert not await world.copies.hold(2, b"x" * 8)
    assert world.copies.holder() != first
    assert await world.copies.hold(3, b"x" * 8)


async def test_a_former_holder_is_released_once_its_last_batch_is_written():
    world = World(FAR, OTHER_FAR)
    first = world.copies.holder().partition("/")[0]
    await world.copies.hold(1, b"one")
    await world.copies.hold(2, b"two")
    world.living = [item for item in world.living if item.instance != first]
    await world.copies.hold(3, b"three")
    await world.copies.release(1)
    assert world.sizes()[first] == len(b"two")
    await world.copies.release(3)
    assert set(world.sizes().values()) == {0}


async def test_a_silent_holder_confirms_nothing():
    world = World(FAR)
    world.silent.add("entry-2")
    assert not await world.copies.hold(1, b"one")


async def test_a_holder_that_does_not_confirm_is_passed_over():
    world = World(FAR, OTHER_FAR)
    first = world.copies.holder()
    world.silent.add(first.partition("/")[0])
    assert not await world.copies.hold(1, b"records")
    second = world.copies.holder()
    assert second not in (first, NO_HOLDER)
    assert await world.copies.hold(2, b"records")
    # The former holder is taken back only when the present one fails.
    await world.copies.release(2)
    assert world.copies.holder() == second
