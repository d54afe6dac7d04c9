"""Entries that discover peers by the instance list and connect on loopback."""

import asyncio
import contextlib
import socket

import pytest

from examples.timberline import declare
from fuchsiaroute.advice import CandidateEntry, EntryState
from fuchsiaroute.billing import BatchNumber, Origin
from fuchsiaroute.clock import SystemClock
from fuchsiaroute.configuration import Readiness, accept_first_configuration
from fuchsiaroute.ids import FailureDomainId, Incarnation, InstanceId
from fuchsiaroute.membership import Announcement, Membership, MemberState
from fuchsiaroute.serving import EntryOptions, PeerOptions, compose_entry
from fuchsiaroute.serving._copies import orphaned_origins
from fuchsiaroute.store import (
    InstanceRecord,
    MemoryInstanceList,
    MemoryTableStore,
    StoreFault,
)

CLOCK = SystemClock()
KEYS = ("a-key-of-sixteen-or-more",)
COUNT = 3


def free_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def host(number):
    return f"127.0.0.{number + 1}"


def compose(number, store, port):
    listed = MemoryInstanceList(
        tuple(
            InstanceRecord(
                id=InstanceId(f"entry-{other}"),
                address=f"{host(other)}:1",
                failure_domain=FailureDomainId(f"lakes-{'abc'[other]}"),
            )
            for other in range(COUNT)
        )
    )
    options = EntryOptions(
        instance=InstanceId(f"entry-{number}"),
        failure_domain=FailureDomainId(f"lakes-{'abc'[number]}"),
        peers=PeerOptions(
            host=host(number),
            port=port,
            advertised_address=f"{host(number)}:{port}",
            keys=KEYS,
        ),
    )
    return compose_entry(options=options, store=store, instances=listed, clock=CLOCK)


@contextlib.asynccontextmanager
async def running(entries):
    for entry in entries:
        own = CandidateEntry(
            instance=entry.options.instance,
            url="http://127.0.0.1:1",
            failure_domain=entry.options.failure_domain,
            is_self=True,
        )
        entry.advice.update([own])
        await entry.peers.start()
        entry.background.start()
    try:
        yield entries
    finally:
        for entry in entries:
            await entry.background.stop()
            await entry.peers.server.stop()
            await entry.aclose()


async def wait_until(condition):
    while not condition():  # noqa: ASYNC110
        await asyncio.sleep(0.02)


def advised_state(entry, number):
    found = [
        candidate.state
        for candidate in entry.advice.entries
        if candidate.instance == f"entry-{number}"
    ]
    return found[0] if found else None


async def test_entries_load_the_configuration_from_a_peer_when_the_store_is_down():
    store, port = MemoryTableStore(), free_port()
    (await accept_first_configuration(store, CLOCK, declare(), author="test")).unwrap()
    entries = [compose(number, store, port) for number in range(COUNT)]
    await entries[0].poll.poll()
    store.fault = StoreFault.DOWN
    async with running(entries):
        await wait_until(lambda: all(entry.current.is_ready for entry in entries))
        assert {entry.current.revision for entry in entries} == {1}


async def test_leaving_entry_is_advised_as_leaving_and_its_copies_are_released():
    store, port = MemoryTableStore(), free_port()
    (await accept_first_configuration(store, CLOCK, declare(), author="test")).unwrap()
    entries = [compose(number, store, port) for number in range(COUNT)]
    async with running(entries):
        leaving, *others = entries
        await wait_until(
            lambda: (
                all(
                    member.state is MemberState.ALIVE and member.incarnation
                    for entry in entries
                    for member in entry.peers.membership.members()
                )
                and all(len(entry.peers.membership.members()) == 2 for entry in entries)
            )
        )
        assert await leaving.peers.copy_sender.hold(BatchNumber(1), b"records")
        held = [entry for entry in others if entry.durable.copy_holder.origins]
        assert len(held) == 1
        assert leaving.configuration.in_force.readiness is Readiness.READY
        leaving.peers.leave()
        await wait_until(
            lambda: all(
                advised_state(entry, 0) is EntryState.LEAVING for entry in others
            )
        )
        await leaving.peers.copy_sender.release(BatchNumber(1))
        origin = held[0].durable.copy_holder.origins[0]
        assert held[0].durable.copy_holder.take(origin) == ()


class FakeCopyHolder:
    origins = (
        Origin(instance=InstanceId("entry-1"), incarnation=Incarnation(1)),
        Origin(instance=InstanceId("entry-2"), incarnation=Incarnation(2)),
    )


def announcement(name, incarnation):
    return Announcement(
        instance=InstanceId(name),
        incarnation=Incarnation(incarnation),
        sequence=1,
        is_leaving=False,
        address="127.0.0.1:1",
        failure_domain=FailureDomainId("lakes-a"),
    )


@pytest.mark.parametrize(
    ("known", "orphaned"),
    [
        ({"entry-1": 1, "entry-2": 2}, set()),
        ({"entry-1": 1}, {"entry-2"}),
        ({"entry-1": 2, "entry-2": 2}, {"entry-1"}),
    ],
)
def test_records_of_a_removed_or_restarted_entry_are_orphaned(known, orphaned):
    membership = Membership(announcement("entry-0", 1), CLOCK)
    announcements = tuple(announcement(*item) for item in known.items())
    membership.receive(InstanceId("entry-1"), announcements)
    found = orphaned_origins(FakeCopyHolder(), membership.members())
    assert {origin.instance for origin in found} == orphaned
