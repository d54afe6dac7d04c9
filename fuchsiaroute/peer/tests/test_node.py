import asyncio
import socket

import pytest
import trustme

from examples.timberline import declare
from fuchsiaroute.clock import SystemClock
from fuchsiaroute.configuration import (
    NO_REVISION,
    ConfigurationInForce,
    ConfigurationPoller,
    ConfigurationReader,
    NoChange,
    Readiness,
    accept_first_configuration,
)
from fuchsiaroute.ids import FailureDomainId, Incarnation, InstanceId
from fuchsiaroute.membership import Announcement, Membership, MemberState
from fuchsiaroute.peer import (
    NoTls,
    NullRecordHolder,
    PeerConnection,
    PeerErrorKind,
    PeerIdentity,
    PeerKeys,
    PeerNode,
    PeerServer,
    TlsFiles,
    Topic,
)
from fuchsiaroute.store import MemoryTableStore, StoreFault

HOST = "127.0.0.1"
KEY, OLD_KEY = "a-key-of-sixteen-or-more", "an-older-key-of-sixteen"
CLOCK = SystemClock()


def free_port():
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return sock.getsockname()[1]


class Holder(NullRecordHolder):
    def __init__(self):
        self.held = {}

    def hold(self, owner, incarnation, batch, records):
        self.held[owner, incarnation, batch] = records
        return True

    def release(self, owner, incarnation, last_batch):
        self.held = {
            key: value for key, value in self.held.items() if key[2] > last_batch
        }

    def take(self, owner, incarnation):
        return tuple(self.held.values())


class Entry:
    def __init__(self, number, store, *, keys=(KEY,), tls=NoTls.TOKEN):
        self.port = free_port()
        self.keys = PeerKeys(keys)
        self.own = Announcement(
            instance=InstanceId(f"entry-{number}"),
            incarnation=Incarnation(number + 1),
            sequence=0,
            is_leaving=False,
            address=f"{HOST}:{self.port}",
            failure_domain=FailureDomainId("domain"),
        )
        self.received = {}
        self.in_force = ConfigurationInForce(CLOCK)
        self.poller = ConfigurationPoller(
            ConfigurationReader(store, CLOCK), self.in_force, CLOCK
        )
        self.membership = Membership(self.own, CLOCK)
        identity = PeerIdentity(instance=self.own.instance, keys=self.keys, tls=tls)
        topic = Topic(
            name="topic", source=lambda: b"payload", sink=self.received.__setitem__
        )
        self.node = PeerNode(
            membership=self.membership,
            in_force=self.in_force,
            poller=self.poller,
            identity=identity,
            clock=CLOCK,
            topics=(topic,),
        )
        self.holder = Holder()
        self.server = PeerServer(self.node, keys=self.keys, tls=tls, holder=self.holder)
        self.connection = PeerConnection(self.own.address, identity, CLOCK)

    async def start(self, *others):
        self.membership.apply_listed(tuple(other.own for other in others))
        await self.server.start(HOST, self.port)
        self.task = asyncio.create_task(self.node.run())

    async def stop(self):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        self.connection.close()
        await self.server.stop()


async def until(condition):
    while not condition():  # noqa: ASYNC110
        await asyncio.sleep(0.01)


@pytest.fixture
async def running():
    entries = []

    async def start(*made):
        for entry in made:
            entries.append(entry)
            await entry.start(*(other for other in made if other is not entry))
        return made

    yield start
    for entry in entries:
        await entry.stop()


@pytest.fixture
def tls(tmp_path):
    authority = trustme.CA()
    issued = authority.issue_cert(HOST)
    files = TlsFiles(
        certificate=tmp_path / "cert.pem",
        private_key=tmp_path / "key.pem",
        authority=tmp_path / "authority.pem",
    )
    authority.cert_pem.write_to_path(str(files.authority))
    issued.cert_chain_pems[0].write_to_path(str(files.certificate))
    issued.private_key_pem.write_to_path(str(files.private_key))
    return files


@pytest.mark.parametrize("is_tls", [False, True])
async def test_new_entry_fetches_the_configuration_from_a_peer_if_the_store_is_down(
    running, tls, is_tls
):
    store = MemoryTableStore()
    (await accept_first_configuration(store, CLOCK, declare(), author="test")).unwrap()
    choice = tls if is_tls else NoTls.TOKEN
    configured, new = Entry(0, store, tls=choice), Entry(1, store, tls=choice)
    await configured.poller.poll()
    store.fault = StoreFault.DOWN
    await running(configured, new)
    await until(lambda: new.in_force.readiness is Readiness.READY)
    assert new.in_force.current().unwrap().configuration == declare()
    await until(lambda: configured.own.instance in new.received)
    assert new.received[configured.own.instance] == b"payload"


async def test_leaving_is_announced_to_the_peer(running):
    store = MemoryTableStore()
    first, second = await running(Entry(0, store), Entry(1, store))
    first.node.leave()
    await until(
        lambda: (
            [item.state for item in second.membership.members()]
            == [MemberState.LEAVING]
        )
    )


@pytest.mark.parametrize(
    ("accepted", "presented", "is_accepted"),
    [
        ((KEY,), (KEY,), True),
        ((OLD_KEY, KEY), (KEY,), True),
        ((OLD_KEY, KEY), (OLD_KEY,), True),
        ((KEY,), (OLD_KEY,), False),
        ((KEY,), (OLD_KEY, KEY), False),
    ],
)
async def test_keys_are_checked_and_rotated(running, accepted, presented, is_accepted):
    (entry,) = await running(Entry(0, MemoryTableStore(), keys=accepted))
    identity = PeerIdentity(
        instance=InstanceId("other"), keys=PeerKeys(presented), tls=NoTls.TOKEN
    )
    connection = PeerConnection(entry.own.address, identity, CLOCK)
    outcome = await connection.hold_records(
        InstanceId("other"), Incarnation(1), 1, b"records"
    )
    connection.close()
    kind = "held" if outcome.value_or(False) else outcome.failure().kind
    assert kind == ("held" if is_accepted else PeerErrorKind.REFUSED)


async def test_peer_without_a_certificate_is_rejected(running, tls):
    (entry,) = await running(Entry(0, MemoryTableStore(), tls=tls))
    identity = PeerIdentity(
        instance=InstanceId("other"), keys=PeerKeys([KEY]), tls=NoTls.TOKEN
    )
    connection = PeerConnection(entry.own.address, identity, CLOCK)
    outcome = await connection.take_records(InstanceId("x"), Incarnation(1))
    connection.close()
    assert outcome.failure().kind is PeerErrorKind.SILENT


async def test_peer_with_a_certificate_of_another_authority_is_rejected(
    running, tls, tmp_path
):
    (entry,) = await running(Entry(0, MemoryTableStore(), tls=tls))
    untrusted = trustme.CA().issue_cert(HOST)
    certificate, key = tmp_path / "other-cert.pem", tmp_path / "other-key.pem"
    untrusted.cert_chain_pems[0].write_to_path(str(certificate))
    untrusted.private_key_pem.write_to_path(str(key))
    files = TlsFiles(certificate=certificate, private_key=key, authority=tls.authority)
    identity = PeerIdentity(
        instance=InstanceId("other"), keys=PeerKeys([KEY]), tls=files
    )
    connection = PeerConnection(entry.own.address, identity, CLOCK)
    outcome = await connection.take_records(InstanceId("x"), Incarnation(1))
    connection.close()
    assert outcome.failure().kind is PeerErrorKind.SILENT


async def test_call_on_an_unresponsive_connection_is_repeated_on_a_new_one(running):
    """The first connection stops delivering bytes while the peer is up."""
    (entry,) = await running(Entry(0, MemoryTableStore()))
    is_dropping = asyncio.Event()
    proxy = await DroppingProxy.start(entry.port, is_dropping)
    identity = PeerIdentity(
        instance=InstanceId("other"), keys=PeerKeys([KEY]), tls=NoTls.TOKEN
    )
    connection = PeerConnection(f"{HOST}:{proxy.port}", identity, CLOCK)
    other = Entry(1, MemoryTableStore())
    first = await connection.exchange(other.node._heartbeat(()))
    is_dropping.set()
    second = await connection.exchange(other.node._heartbeat(()))
    connection.close()
    await proxy.stop()
    assert first.unwrap().instance == second.unwrap().instance == entry.own.instance
    assert connection.opened == 2


class DroppingProxy:
    """Forwards bytes; drops those of the first connection once ``is_dropping``."""

    @classmethod
    async def start(cls, port, is_dropping):
        proxy = cls()
        proxy.tasks, proxy.first = [], None
        proxy.is_dropping, proxy.target = is_dropping, port
        proxy.server = await asyncio.start_server(proxy.accept, HOST, 0)
        proxy.port = proxy.server.sockets[0].getsockname()[1]
        return proxy

    async def accept(self, reader, writer):
        is_first = not self.tasks
        far_reader, far_writer = await asyncio.open_connection(HOST, self.target)
        pairs = ((reader, far_writer), (far_reader, writer))
        for source, sink in pairs:
            pump = self.pump(source, sink, is_first)
            self.tasks.append(asyncio.create_task(pump))

    async def pump(self, source, sink, is_first):
        while data := await source.read(65_536):
            if not (is_first and self.is_dropping.is_set()):
                sink.write(data)
        sink.close()

    async def stop(self):
        self.server.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


async def test_records_are_held_released_and_taken(running):
    (entry,) = await running(Entry(0, MemoryTableStore()))
    owner, incarnation = InstanceId("owner"), Incarnation(1)
    for batch in (1, 2):
        held = await entry.connection.hold_records(owner, incarnation, batch, b"r")
        assert held.unwrap()
    await entry.connection.release_records(owner, incarnation, 1)
    assert (await entry.connection.take_records(owner, incarnation)).unwrap() == (b"r",)


async def test_peer_without_a_newer_configuration_sends_none(running):
    (entry,) = await running(Entry(0, MemoryTableStore()))
    answer = await entry.connection.fetch_configuration(NO_REVISION)
    assert answer is NoChange.TOKEN
