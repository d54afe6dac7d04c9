"""The path to an endpoint: direct, or through a peer while the direct one is cut."""

import asyncio
import json
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from random import Random
from typing import cast

import pytest

from fuchsiaroute.clock import Milliseconds, SystemClock
from fuchsiaroute.deployment import Endpoint
from fuchsiaroute.forwarding import ConnectRecords, Counters, PeerConnection
from fuchsiaroute.forwarding._endpoint_paths import EndpointPaths
from fuchsiaroute.forwarding._peer_connector import PathCutError
from fuchsiaroute.http1 import (
    ClientConnection,
    ConnectError,
    ConnectTimeoutError,
    NobodyListensError,
)
from fuchsiaroute.ids import (
    EndpointId,
    FailureDomainId,
    InstanceId,
    ServiceId,
    VersionId,
)
from fuchsiaroute.linelog import LineLog
from fuchsiaroute.tunnel import PathMissingError, PeerUnavailableError

REFUSED = NobodyListensError("refused")
UNANSWERED = ConnectTimeoutError("no connection")
MISSING = PathMissingError("no path")
UNAVAILABLE = PeerUnavailableError("no peer")
#: Time after which an attempt ends that is not answered.
HANG_S = 0.15
NAMES = ("e", "other", "a", "b", *(f"e{number}" for number in range(40)))


class Connection:
    def __init__(self) -> None:
        self.is_aborted = False

    def abort(self) -> None:
        self.is_aborted = True


class Paths:
    """Paths whose direct connections and peers answer as told."""

    def __init__(self, *, has_peers: bool = True) -> None:
        #: What an attempt ends with; None for a connection.
        self.direct: ConnectError | None = None
        self.through_peer: ConnectError | None = None
        self.direct_delay_s = 0.0
        self.tried: list[EndpointId] = []
        self.asked = 0
        self.made: list[Connection] = []
        self.changes: list[tuple[str, EndpointId]] = []
        self.kept: list[ClientConnection | None] = []
        self.lines: list[bytes] = []
        self._has_peers = has_peers
        #: All endpoints in use.
        self.endpoints = [endpoint(name) for name in NAMES]
        #: Endpoints for which ``through_peer`` does not hold.
        self.reached_by_peers: set[EndpointId] = set()
        clock = SystemClock()
        log = LineLog(clock=clock, instance="i", write=self._write)
        self.records = ConnectRecords(
            clock=clock, counters=Counters(), log=log, is_known=lambda endpoint: True
        )
        self.paths = EndpointPaths(
            connect=self._connect,
            peers=self,
            records=self.records,
            clock=clock,
            log=log,
            random=Random(1),
            endpoints=lambda: self.endpoints,
            on_cut=lambda item: self.changes.append(("cut", item.id)),
            on_hang=lambda item: self.changes.append(("hang", item.id)),
            on_restored=self._restored,
        )

    def has_peers(self) -> bool:
        return self._has_peers

    async def open(self, endpoint: Endpoint, *, within: Milliseconds) -> PeerConnection:
        self.asked += 1
        is_reached = endpoint.id in self.reached_by_peers
        if self.through_peer is not None and not is_reached:
            raise self.through_peer
        return PeerConnection(connection=self._made(), peer=InstanceId("peer"))

    def events(self) -> list[str]:
        lines = b"".join(self.lines).splitlines()
        return [json.loads(line)["event"] for line in lines]

    async def cut(self, *names: str) -> None:
        """Lose the paths to some endpoints; their connections are refused."""
        self.direct = REFUSED
        for name in names:
            await self.paths.connect(endpoint(name))

    @asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        task = asyncio.create_task(self.paths.run())
        try:
            yield
        finally:
            task.cancel()
            with suppress(asyncio.CancelledError):
                await task

    async def until(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(5):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(0.01)

    async def _connect(self, item: Endpoint, within: Milliseconds) -> ClientConnection:
        self.tried.append(item.id)
        await asyncio.sleep(self.direct_delay_s)
        if self.direct is UNANSWERED:
            await asyncio.sleep(HANG_S)
        if self.direct is not None:
            self.records.record_failure(item.id, self.direct)
            raise self.direct
        return self._made()

    def _made(self) -> ClientConnection:
        connection = Connection()
        self.made.append(connection)
        return cast(ClientConnection, connection)

    def _restored(self, item: Endpoint, connection: ClientConnection | None) -> None:
        self.changes.append(("restored", item.id))
        self.kept.append(connection)

    def _write(self, data: bytes) -> int:
        self.lines.append(data)
        return len(data)


def endpoint(name: str = "e") -> Endpoint:
    return Endpoint(
        id=EndpointId(name),
        service=ServiceId("s"),
        host="127.0.0.1",
        port=1,
        failure_domain=FailureDomainId("d"),
        version=VersionId("v"),
        slots=1,
        is_draining=False,
        cold_remaining=Milliseconds(0),
        started_at=Milliseconds(1),
    )


async def test_no_peer_is_asked_while_direct_connections_are_established() -> None:
    case = Paths()
    for _ in range(3):
        assert not isinstance(await case.paths.connect(endpoint()), PeerConnection)
    assert case.asked == 0 and case.paths.cut_count == 0


@pytest.mark.parametrize("failure", [REFUSED, UNANSWERED, ConnectError("no route")])
async def test_path_is_cut_if_a_peer_reaches_the_endpoint(
    failure: ConnectError,
) -> None:
    case = Paths()
    case.direct = failure
    assert isinstance(await case.paths.connect(endpoint()), PeerConnection)
    assert case.paths.is_cut(EndpointId("e"))
    assert case.paths.is_address_cut("127.0.0.1", 1)
    assert case.records.unreached == 1
    assert case.changes == [("cut", "e")]
    # The next connection does not wait for the direct path.
    assert isinstance(await case.paths.connect(endpoint()), PeerConnection)
    assert case.tried == ["e"]


async def test_direct_connection_that_is_merely_slower_than_usual_is_used() -> None:
    case = Paths()
    case.direct_delay_s = 0.1
    case.through_peer = MISSING
    assert not isinstance(await case.paths.connect(endpoint()), PeerConnection)
    assert case.paths.cut_count == 0


@pytest.mark.parametrize(
    ("direct", "through_peer", "has_cut", "expected"),
    [
        (REFUSED, REFUSED, False, NobodyListensError),
        (UNANSWERED, REFUSED, False, NobodyListensError),
        (UNANSWERED, MISSING, False, ConnectTimeoutError),
        # Peers that do not reach it either confirm no refusal.
        (REFUSED, MISSING, False, ConnectError),
        # As without peers.
        (REFUSED, UNAVAILABLE, False, NobodyListensError),
        (UNANSWERED, UNAVAILABLE, False, ConnectTimeoutError),
        # This instance is known to lack paths.
        (REFUSED, UNAVAILABLE, True, PathCutError),
        (UNANSWERED, UNAVAILABLE, True, PathCutError),
    ],
)
async def test_error_tells_whether_the_endpoint_or_the_path_failed(
    direct: ConnectError,
    through_peer: ConnectError,
    has_cut: bool,
    expected: type[ConnectError],
) -> None:
    case = Paths()
    if has_cut:
        await case.cut("other")
    case.direct, case.through_peer = direct, through_peer
    with pytest.raises(ConnectError) as error:
        await case.paths.connect(endpoint())
    assert type(error.value) is expected
    assert not case.paths.is_cut(EndpointId("e"))


@pytest.mark.parametrize(
    ("through_peer", "expected"),
    [
        (REFUSED, NobodyListensError),
        (MISSING, ConnectError),
        (UNAVAILABLE, PathCutError),
    ],
)
async def test_error_of_a_cut_endpoint(
    through_peer: ConnectError, expected: type[ConnectError]
) -> None:
    case = Paths()
    await case.cut("e")
    case.through_peer = through_peer
    with pytest.raises(ConnectError) as error:
        await case.paths.connect(endpoint())
    assert type(error.value) is expected


async def test_direct_path_is_used_again_if_no_peer_is_left() -> None:
    case = Paths()
    await case.cut("e")
    case.direct, case.through_peer = None, UNAVAILABLE
    assert not isinstance(await case.paths.connect(endpoint()), PeerConnection)
    assert case.changes == [("cut", "e"), ("restored", "e")]
    assert case.kept == [None]


@pytest.mark.parametrize(
    ("direct", "through_peer", "has_peers", "has_cut", "expected"),
    [
        (None, REFUSED, True, False, False),
        (REFUSED, REFUSED, True, False, True),
        (REFUSED, None, True, False, False),
        (REFUSED, MISSING, True, False, False),
        (REFUSED, UNAVAILABLE, False, False, True),
        # No evidence, since this instance may be cut from the endpoint as well.
        (REFUSED, UNAVAILABLE, False, True, False),
        (UNANSWERED, REFUSED, True, False, False),
    ],
)
async def test_refusal_counts_if_peers_are_refused_as_well(
    direct: ConnectError | None,
    through_peer: ConnectError | None,
    has_peers: bool,
    has_cut: bool,
    expected: bool,
) -> None:
    case = Paths(has_peers=has_peers or has_cut)
    if has_cut:
        await case.cut("other")
    case.direct, case.through_peer = direct, through_peer
    assert await case.paths.is_refused(endpoint()) is expected
    assert case.paths.is_cut(EndpointId("e")) is (
        direct is REFUSED and not through_peer
    )


async def test_exchanges_that_end_together_cause_one_check() -> None:
    case = Paths()
    case.endpoints = [endpoint("e")]
    case.direct = case.through_peer = REFUSED
    checks = [case.paths.is_refused(endpoint()) for _ in range(20)]
    assert await asyncio.gather(*checks) == [True] * 20
    assert (len(case.tried), case.asked) == (1, 1)
    assert await case.paths.is_refused(endpoint())
    assert (len(case.tried), case.asked) == (2, 2)


async def test_refusal_by_cut_peers_is_no_evidence() -> None:
    case = Paths()
    case.endpoints = [endpoint("e"), endpoint("other")]
    case.direct = case.through_peer = REFUSED
    # Both endpoints have ended.
    assert await case.paths.is_refused(endpoint())
    # The peers that were asked first are cut as this instance is.
    case.reached_by_peers = {EndpointId("other")}
    assert not await case.paths.is_refused(endpoint())
    assert case.paths.is_cut(EndpointId("other"))


async def test_all_paths_are_tried_once_one_is_back() -> None:
    case = Paths()
    names = NAMES[-40:]
    await case.cut(*names)
    async with case.running():
        await asyncio.sleep(0.6)
        # At most four trials a second while none succeeds.
        assert len(case.tried) - len(names) <= 3
        case.direct = None
        await case.until(lambda: case.paths.cut_count == 0)
    assert all(connection is not None for connection in case.kept)
    assert case.events().count("path:restored") == len(names)


async def test_open_connections_are_dropped_once_the_path_hangs_twice() -> None:
    case = Paths()
    case.direct = UNANSWERED
    await case.paths.connect(endpoint("a"))
    assert ("hang", "a") not in case.changes
    async with case.running():
        await case.until(lambda: ("hang", "a") in case.changes)
    await case.paths.connect(endpoint("b"))
    assert case.changes[-1] == ("hang", "b")


async def test_removed_endpoints_are_not_tried() -> None:
    case = Paths()
    await case.cut("removed")
    async with case.running():
        await case.until(lambda: case.paths.cut_count == 0)
    assert case.tried == ["removed"]


async def test_exchange_is_known_to_be_older_than_the_end_of_a_cut() -> None:
    case = Paths()
    before = SystemClock().now()
    assert not case.paths.was_cut_since(EndpointId("e"), before)
    await case.cut("e")
    assert case.paths.was_cut_since(EndpointId("e"), before)
    case.direct = None
    async with case.running():
        await case.until(lambda: case.paths.cut_count == 0)
    await asyncio.sleep(0.01)
    assert case.paths.was_cut_since(EndpointId("e"), before)
    assert not case.paths.was_cut_since(EndpointId("e"), SystemClock().now())


async def test_unused_connections_are_closed() -> None:
    case = Paths()
    case.direct_delay_s = 0.05
    task = asyncio.create_task(case.paths.connect(endpoint()))
    await asyncio.sleep(0.02)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    case.direct = UNANSWERED
    await case.paths.connect(endpoint())
    await asyncio.sleep(HANG_S * 2)
    assert sum(not item.is_aborted for item in case.made) == 1
