"""How instances find each other."""

import asyncio
from random import Random

import pytest
from returns.result import Result, Success

from fuchsiaroute.clock import ManualClock, Milliseconds
from fuchsiaroute.gossip import Heartbeat, Liveness, MemberInfo
from fuchsiaroute.ids import FailureDomainId, InstanceId
from fuchsiaroute.linelog import LineLog
from fuchsiaroute.node._instance_registry import InstanceRegistry
from fuchsiaroute.platform import Row, Rows, Table, parse_node_settings
from fuchsiaroute.store import StoreError, Transaction

#: Time after which every instance that started at once should know all others: the
#: directory's answers are kept this long at most.
KNOWN_WITHIN = Milliseconds(5_000)


class Store:
    """The table of instances."""

    def __init__(self) -> None:
        self.rows: list[Row] = []
        self.reads = 0

    async def read_table(self, table: Table) -> Result[Rows, StoreError]:
        self.reads += 1
        found = tuple(self.rows)
        # Others write while this answer is on its way.
        await asyncio.sleep(0)
        return Success(Rows(rows=found, revision=len(found)))

    async def commit(self, transaction: Transaction) -> Result[None, StoreError]:
        for put in transaction.puts:
            name = put.key.rpartition("/")[2]
            self.rows.append(Row(key=name, value=put.value, revision=1))
        return Success(None)


class Member:
    def __init__(self, name: str, store: Store, clock: ManualClock) -> None:
        self.name = name
        self.liveness = Liveness(
            instance=InstanceId(name), clock=clock, dead_after=Milliseconds(2_000)
        )
        self.greetings = 0
        settings = parse_node_settings(
            f"NodeName={name}\nZone=z\nIp=10.0.0.1\nListen.Frontend=10.0.0.1:80\n"
            "PortRange=7000,7000\nPlatform.Address=10.0.0.9:1\n"
        )
        self.register = InstanceRegistry(
            settings=settings,
            store=store,  # type: ignore[arg-type]
            liveness=self.liveness,
            clock=clock,
            random=Random(name),
            log=LineLog(clock=clock, instance=name, write=len),
            on_found=self.greet,
        )

    def greet(self) -> None:
        self.greetings += 1

    @property
    def known(self) -> set[str]:
        return {str(item.instance) for item in self.liveness.members}


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock()


async def test_instances_that_start_at_once_find_all_others(clock: ManualClock) -> None:
    """Pattern: the whole system starts for the first time."""
    store = Store()
    members = [Member(f"n{number}", store, clock) for number in range(5)]
    tasks = [asyncio.create_task(item.register.run()) for item in members]
    await clock.advance(Milliseconds(200))
    # One of them has met another, so that it is not alone.
    members[0].liveness.update_member(_info("n1"))
    await clock.advance(KNOWN_WITHIN)
    for member in members:
        assert member.known == {item.name for item in members} - {member.name}
        assert member.greetings >= 1
    assert store.reads <= 3 * len(members)
    for task in tasks:
        task.cancel()


async def test_instance_reads_again_when_others_tell_of_an_unknown_one(
    clock: ManualClock,
) -> None:
    store = Store()
    member = Member("n0", store, clock)
    task = asyncio.create_task(member.register.run())
    await clock.advance(Milliseconds(500))
    late = Member("late", store, clock)
    peer = Member("peer", store, clock)
    await peer.register._register(())
    count = 0
    for round_ in range(40):
        count += 1
        if round_ == 4:
            member.liveness.update_member(_info("peer"))
            await late.register._register(())
        member.liveness.merge(Heartbeat("peer", count, True))
        if round_ > 4:
            member.liveness.merge(Heartbeat("late", count, True))
        await clock.advance(Milliseconds(250))
    assert "late" in member.known
    reads = store.reads
    for _ in range(40):
        count += 1
        member.liveness.merge(Heartbeat("peer", count, True))
        member.liveness.merge(Heartbeat("late", count, True))
        await clock.advance(Milliseconds(250))
    assert store.reads == reads
    task.cancel()


def _info(name: str) -> MemberInfo:
    return MemberInfo(
        instance=InstanceId(name),
        host="10.0.0.2",
        port=1,
        frontend="10.0.0.2:80",
        failure_domain=FailureDomainId("z"),
    )
