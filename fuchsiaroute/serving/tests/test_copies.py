"""Choice of the peer that holds copies of ledger records, and their release."""

from collections import Counter
from dataclasses import dataclass

import pytest
from returns.result import Failure, Success

from fuchsiaroute.billing import NO_HOLDER, CopyHolder
from fuchsiaroute.membership import Announcement, MemberState
from fuchsiaroute.serving._copies import PeerCopySender, PeerRecordHolder


@dataclass(frozen=True)
class Member:
    instance: str
    failure_domain: str
    state: MemberState = MemberState.ALIVE
    incarnation: int = 1


class CopyHarness:
    """A fake membership whose connections lead to copy holders in memory."""

    def __init__(self, *members, own="entry-0", max_bytes=1_000):
        self.own = Announcement(
            instance=own,
            incarnation=1,
            sequence=1,
            is_leaving=False,
            address="127.0.0.1:1",
            failure_domain="a",
        )
        self.alive = list(members)
        self.holders = {
            member.instance: CopyHolder(max_bytes=max_bytes) for member in members
        }
        self.unresponsive = set()
        self.copy_sender = PeerCopySender(self, self.connect)

    def members(self):
        return tuple(self.alive)

    def connect(self, member):
        return Connection(self, member.instance)

    def sizes(self):
        return {name: holder.size for name, holder in self.holders.items()}


class Connection:
    def __init__(self, harness, name):
        self._harness = harness
        self._name = name
        self._held = PeerRecordHolder(harness.holders[name])

    async def hold_records(self, owner, incarnation, batch, records):
        if self._name in self._harness.unresponsive:
            return Failure("silent")
        return Success(self._held.hold(owner, incarnation, batch, records))

    async def release_records(self, owner, incarnation, last_batch):
        if self._name in self._harness.unresponsive:
            return Failure("silent")
        return Success(self._held.release(owner, incarnation, last_batch))


SAME_DOMAIN = Member("entry-1", "a")
OTHER_DOMAIN = Member("entry-2", "b")
THIRD_DOMAIN = Member("entry-3", "c")


@pytest.mark.parametrize(
    ("members", "expected"),
    [
        ((), NO_HOLDER),
        ((SAME_DOMAIN,), "entry-1/1"),
        ((Member("model-pool-0", "b", incarnation=0),), NO_HOLDER),
        ((SAME_DOMAIN, OTHER_DOMAIN), "entry-2/1"),
        ((SAME_DOMAIN, Member("entry-2", "b", MemberState.DEAD)), "entry-1/1"),
        ((Member("entry-2", "b", MemberState.LEAVING),), NO_HOLDER),
    ],
)
async def test_holder_is_in_another_failure_domain_if_possible(members, expected):
    assert CopyHarness(*members).copy_sender.holder() == expected


async def test_holder_is_kept_while_it_is_alive():
    harness = CopyHarness(OTHER_DOMAIN)
    harness.copy_sender.holder()
    harness.alive = [Member(f"entry-{number}", "b") for number in range(2, 40)]
    assert harness.copy_sender.holder() == "entry-2/1"


async def test_copies_are_spread_over_holders():
    members = [Member(f"entry-{number}", "b") for number in range(10)]
    chosen = Counter(
        CopyHarness(*members, own=f"other-{number}").copy_sender.holder()
        for number in range(200)
    )
    assert len(chosen) == 10
    assert max(chosen.values()) <= 40


async def test_full_holder_is_replaced():
    harness = CopyHarness(OTHER_DOMAIN, THIRD_DOMAIN, max_bytes=10)
    first = harness.copy_sender.holder()
    assert await harness.copy_sender.hold(1, b"x" * 8)
    assert not await harness.copy_sender.hold(2, b"x" * 8)
    assert harness.copy_sender.holder() != first
    assert await harness.copy_sender.hold(3, b"x" * 8)


async def test_former_holder_is_released_when_its_last_batch_is_written():
    harness = CopyHarness(OTHER_DOMAIN, THIRD_DOMAIN)
    first = harness.copy_sender.holder().partition("/")[0]
    await harness.copy_sender.hold(1, b"one")
    await harness.copy_sender.hold(2, b"two")
    harness.alive = [item for item in harness.alive if item.instance != first]
    await harness.copy_sender.hold(3, b"three")
    await harness.copy_sender.release(1)
    assert harness.sizes()[first] == len(b"two")
    await harness.copy_sender.release(3)
    assert set(harness.sizes().values()) == {0}


async def test_unresponsive_holder_confirms_no_batch():
    harness = CopyHarness(OTHER_DOMAIN)
    harness.unresponsive.add("entry-2")
    assert not await harness.copy_sender.hold(1, b"one")


async def test_holder_without_confirmation_is_excluded_until_the_next_release():
    harness = CopyHarness(OTHER_DOMAIN, THIRD_DOMAIN)
    first = harness.copy_sender.holder()
    harness.unresponsive.add(first.partition("/")[0])
    assert not await harness.copy_sender.hold(1, b"records")
    second = harness.copy_sender.holder()
    assert second not in (first, NO_HOLDER)
    assert await harness.copy_sender.hold(2, b"records")
    # The release ends the exclusion, but the current holder is kept while it responds.
    await harness.copy_sender.release(2)
    assert harness.copy_sender.holder() == second
