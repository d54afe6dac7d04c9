"""
Chooses the path to each endpoint: the instance's own connection, or a peer.

The path is cut while a peer reaches an endpoint that this instance does not.
"""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, replace
from random import Random

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.deployment import Endpoint
from fuchsiaroute.forwarding._connect_attempts import abandon, is_connected, is_refused
from fuchsiaroute.forwarding._connect_records import ConnectRecords
from fuchsiaroute.forwarding._peer_connector import (
    PathCutError,
    PeerConnection,
    PeerConnector,
)
from fuchsiaroute.http1 import (
    ClientConnection,
    ConnectError,
    ConnectTimeoutError,
    NobodyListensError,
)
from fuchsiaroute.ids import EndpointId, InstanceId
from fuchsiaroute.linelog import LineLog
from fuchsiaroute.tunnel import PathMissingError, PeerUnavailableError

#: Timeout for opening a connection; endpoints are about a millisecond away.
CONNECT_TIMEOUT = Milliseconds(400)
#: Timeout for finding out whether an endpoint still listens.
PROBE_TIMEOUT = Milliseconds(100)
#: Timeout of the question to peers whether an endpoint still listens.
ASK_TIMEOUT = Milliseconds(250)
#: Time without a connection after which a peer is tried beside the direct path: a
#: multiple of the usual connect time, within these bounds.
MIN_HEDGE_DELAY = Milliseconds(40)
MAX_HEDGE_DELAY = Milliseconds(150)
HEDGE_FACTOR = 8.0
#: Further time for a connection that was established while the event loop was late.
SETTLE_DELAY = Milliseconds(5)
#: Weight of the newest connect time in their moving average.
EWMA_WEIGHT = 0.1
#: Interval at which the direct path to one of the cut endpoints is tried.
RETRY_INTERVAL = Milliseconds(250)
#: Timeout of such a trial.
RETRY_TIMEOUT = Milliseconds(200)
#: Trials at the same time once the path to one endpoint has returned.
MAX_PARALLEL_RETRIES = 16
#: Minimum time between two rounds of trials of all cut endpoints.
MIN_ROUND_INTERVAL = Milliseconds(1_000)
#: Time after the end of a cut for which exchanges that it broke are known.
CUT_MEMORY = Milliseconds(30_000)
MILLISECONDS_PER_SECOND = 1_000
#: Reason in the log for a path by which a peer was faster.
_SLOW = "a peer connected first"


@dataclass(frozen=True, kw_only=True)
class _Cut:
    """An endpoint in the state ``CUT``."""

    endpoint: Endpoint
    since: Milliseconds
    #: Whether connections are not answered, so that open ones may hang as well.
    may_hang: bool


class EndpointPaths:
    """
    Opens connections to endpoints, directly or through peers.

    ``endpoints`` returns all endpoints in use.
    ``connect`` opens a direct connection within a timeout. ``on_cut`` is called when a
    path is lost, ``on_hang`` when open connections are likely to carry nothing more,
    and ``on_restored`` when the path is back, with a direct connection to keep or close
    if there is one that is not used.
    """

    def __init__(
        self,
        *,
        connect: Callable[[Endpoint, Milliseconds], Awaitable[ClientConnection]],
        peers: PeerConnector,
        records: ConnectRecords,
        clock: Clock,
        log: LineLog,
        random: Random,
        endpoints: Callable[[], Sequence[Endpoint]],
        on_cut: Callable[[Endpoint], None],
        on_hang: Callable[[Endpoint], None],
        on_restored: Callable[[Endpoint, ClientConnection | None], None],
    ) -> None:
        self._connect = connect
        self._peers = peers
        self._records = records
        self._clock = clock
        self._log = log
        self._random = random
        self._endpoints = endpoints
        self._on_cut = on_cut
        self._on_hang = on_hang
        self._on_restored = on_restored
        #: The endpoint that was tried least recently first.
        self._cuts: dict[EndpointId, _Cut] = {}
        self._has_cut = asyncio.Event()
        #: Whether a cut endpoint did not answer a second time. A first connection may
        #: fail by the loss of one packet.
        self._is_hang_confirmed = False
        #: When the latest cut of an endpoint's path ended.
        self._ended_at: dict[EndpointId, Milliseconds] = {}
        #: Checks in progress whether an endpoint listens.
        self._checks: dict[EndpointId, asyncio.Future[bool]] = {}
        self._round_at = Milliseconds(-MIN_ROUND_INTERVAL)
        #: Moving average of the time to connect.
        self._connect_time = 0.0

    @property
    def cut_count(self) -> int:
        """Return the number of endpoints that are reached through peers only."""
        return len(self._cuts)

    def is_cut(self, endpoint: EndpointId) -> bool:
        """Return whether an endpoint is reached through peers only."""
        return endpoint in self._cuts

    def is_address_cut(self, host: str, port: int) -> bool:
        """Return whether the endpoint at an address is reached through peers only."""
        return any(
            (cut.endpoint.host, cut.endpoint.port) == (host, port)
            for cut in self._cuts.values()
        )

    def was_cut_since(self, endpoint: EndpointId, instant: Milliseconds) -> bool:
        """Return whether the direct path was cut at ``instant`` or later."""
        ended_at = self._ended_at.get(endpoint)
        return self.is_cut(endpoint) or (ended_at is not None and ended_at >= instant)

    async def connect(self, endpoint: Endpoint) -> ClientConnection | PeerConnection:
        """
        Open a connection.

        Raises ``PathCutError`` if the path is cut and no peer could be asked,
        ``NobodyListensError`` if nobody listens at the endpoint's address, and
        ``ConnectError`` if neither this instance nor its peers reach the endpoint.
        """
        cut = self._cuts.get(endpoint.id)
        if cut is not None:
            if cut.endpoint != endpoint:
                self._cuts[endpoint.id] = replace(cut, endpoint=endpoint)
            return await self._connect_cut(endpoint)
        if not self._peers.has_peers():
            return await self._connect(endpoint, CONNECT_TIMEOUT)
        started_at = self._clock.now()
        direct = asyncio.ensure_future(self._connect(endpoint, CONNECT_TIMEOUT))
        try:
            for delay in (self._hedge_delay(), SETTLE_DELAY):
                if not direct.done():
                    seconds = delay / MILLISECONDS_PER_SECOND
                    await asyncio.wait({direct}, timeout=seconds)
            if is_connected(direct):
                self._record_time(Milliseconds(self._clock.now() - started_at))
                return direct.result()
            found = await self._connect_beside(endpoint, direct, started_at)
        except BaseException:
            abandon(direct)
            raise
        if isinstance(found, PeerConnection):
            abandon(direct)
        return found

    async def is_refused(self, endpoint: Endpoint) -> bool:
        """
        Return whether no process listens at an endpoint's address any more.

        Concurrent calls share one check, as many exchanges end with a process.
        """
        check = self._checks.get(endpoint.id)
        if check is None:
            check = asyncio.ensure_future(self._check_refused(endpoint))
            self._checks[endpoint.id] = check
            check.add_done_callback(lambda _: self._checks.pop(endpoint.id, None))
        return await asyncio.shield(check)

    async def run(self) -> None:
        """Try the direct paths to cut endpoints until cancelled."""
        while True:
            await self._has_cut.wait()
            await self._clock.sleep(RETRY_INTERVAL)
            self.remove_unknown()
            cut = next(iter(self._cuts.values()), None)
            if cut is None:
                self._has_cut.clear()
            elif await self._retry(cut.endpoint):
                await self._retry_all()

    def remove_unknown(self) -> None:
        """Remove endpoints that are no longer in use, and old ends of cuts."""
        known = {endpoint.id for endpoint in self._endpoints()}
        self._cuts = {name: cut for name, cut in self._cuts.items() if name in known}
        oldest = self._clock.now() - CUT_MEMORY
        for name in [name for name, at in self._ended_at.items() if at < oldest]:
            del self._ended_at[name]

    # Private

    async def _check_refused(self, endpoint: Endpoint) -> bool:
        if not await self._is_gone(endpoint):
            return False
        others = [item for item in self._endpoints() if item.id != endpoint.id]
        if self._cuts or not others or not self._peers.has_peers():
            return True
        # Several instances may have been cut at once, and the peers be among them.
        other = self._random.choice(others)
        await self._is_gone(other)
        return not self.is_cut(other.id)

    async def _is_gone(self, endpoint: Endpoint) -> bool:
        """Return whether peers confirm that nobody listens, or there are none."""
        if not self.is_cut(endpoint.id):
            try:
                connection = await self._connect(endpoint, PROBE_TIMEOUT)
            except NobodyListensError:
                pass
            except ConnectError:
                # A path that is cut tells nothing of the process.
                return False
            else:
                connection.abort()
                return False
        try:
            found = await self._peers.open(endpoint, within=ASK_TIMEOUT)
        except NobodyListensError:
            return True
        except PeerUnavailableError:
            return not self._cuts
        except ConnectError:
            return False
        found.connection.abort()
        self._record_cut(endpoint, found.peer, "connection refused", may_hang=False)
        return False

    def _hedge_delay(self) -> float:
        usual = HEDGE_FACTOR * self._connect_time
        return min(max(usual, MIN_HEDGE_DELAY), MAX_HEDGE_DELAY)

    def _record_time(self, duration: Milliseconds) -> None:
        self._connect_time += EWMA_WEIGHT * (duration - self._connect_time)

    async def _connect_beside(
        self,
        endpoint: Endpoint,
        direct: asyncio.Future[ClientConnection],
        started_at: Milliseconds,
    ) -> ClientConnection | PeerConnection:
        """Connect through a peer, unless the direct connection comes first."""
        left = Milliseconds(CONNECT_TIMEOUT - (self._clock.now() - started_at))
        through_peer = asyncio.ensure_future(
            self._peers.open(endpoint, within=Milliseconds(max(left, MIN_HEDGE_DELAY)))
        )
        try:
            while not is_connected(direct) and not through_peer.done():
                pending = {item for item in (direct, through_peer) if not item.done()}
                await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        except BaseException:
            abandon(through_peer)
            raise
        if is_connected(direct):
            abandon(through_peer)
            return direct.result()
        try:
            found = through_peer.result()
        except NobodyListensError:
            raise
        except ConnectError as error:
            return await self._direct_result(direct, error)
        reason = str(direct.exception()) if direct.done() else _SLOW
        if not direct.done():
            # It is given up before it can fail.
            self._records.record_failure(endpoint.id, ConnectTimeoutError(reason))
        self._record_cut(endpoint, found.peer, reason, may_hang=not is_refused(direct))
        return found

    async def _direct_result(
        self, direct: asyncio.Future[ClientConnection], peer_error: ConnectError
    ) -> ClientConnection:
        """Return the direct connection, after peers have not opened one."""
        try:
            return await direct
        except ConnectError as error:
            is_unknown = isinstance(peer_error, PeerUnavailableError)
            if is_unknown and self._cuts:
                raise PathCutError(f"{error}; {peer_error}") from None
            if isinstance(peer_error, PathMissingError) and is_refused(direct):
                # Not confirmed: this instance may be cut as its peers are.
                raise ConnectError(f"{error}; {peer_error}") from None
            raise

    async def _connect_cut(
        self, endpoint: Endpoint
    ) -> ClientConnection | PeerConnection:
        try:
            return await self._peers.open(endpoint, within=CONNECT_TIMEOUT)
        except NobodyListensError:
            raise
        except ConnectError as peer_error:
            try:
                connection = await self._connect(endpoint, PROBE_TIMEOUT)
            except ConnectError as error:
                reason = f"{error}; {peer_error}"
                if isinstance(peer_error, PeerUnavailableError):
                    raise PathCutError(reason) from None
                raise ConnectError(reason) from None
        if self._end_cut(endpoint):
            self._on_restored(endpoint, None)
        return connection

    def _record_cut(
        self, endpoint: Endpoint, peer: InstanceId, reason: str, *, may_hang: bool
    ) -> None:
        if self.is_cut(endpoint.id):
            return
        self._cuts[endpoint.id] = _Cut(
            endpoint=endpoint, since=self._clock.now(), may_hang=may_hang
        )
        self._has_cut.set()
        self._log.write(
            "path:cut",
            endpoint=endpoint.id,
            peer=peer,
            reason=reason,
            cut=len(self._cuts),
        )
        self._on_cut(endpoint)
        if may_hang and self._is_hang_confirmed:
            self._on_hang(endpoint)

    async def _retry(self, endpoint: Endpoint) -> bool:
        """Try the direct path to a cut endpoint; return whether it is back."""
        cut = self._cuts.pop(endpoint.id, None)
        if cut is None:
            return False
        self._cuts[endpoint.id] = cut
        try:
            connection = await self._connect(endpoint, RETRY_TIMEOUT)
        except NobodyListensError:
            return False
        except ConnectError:
            self._confirm_hang()
            return False
        if not self._end_cut(endpoint):
            connection.abort()
            return False
        self._on_restored(endpoint, connection)
        return True

    def _confirm_hang(self) -> None:
        if not self._is_hang_confirmed:
            self._is_hang_confirmed = True
            for cut in list(self._cuts.values()):
                if cut.may_hang:
                    self._on_hang(cut.endpoint)

    async def _retry_all(self) -> None:
        """Try all paths at once, since paths to endpoints often return together."""
        now = self._clock.now()
        if now - self._round_at < MIN_ROUND_INTERVAL:
            return
        self._round_at = now
        endpoints = [cut.endpoint for cut in self._cuts.values()]
        for start in range(0, len(endpoints), MAX_PARALLEL_RETRIES):
            part = endpoints[start : start + MAX_PARALLEL_RETRIES]
            await asyncio.gather(*(self._retry(endpoint) for endpoint in part))

    def _end_cut(self, endpoint: Endpoint) -> bool:
        """Return to the direct path; return whether it was cut."""
        cut = self._cuts.pop(endpoint.id, None)
        if cut is None:
            return False
        now = self._clock.now()
        self._ended_at[endpoint.id] = now
        self._is_hang_confirmed = False
        self._log.write(
            "path:restored",
            endpoint=endpoint.id,
            cut_ms=now - cut.since,
            cut=len(self._cuts),
        )
        return True
