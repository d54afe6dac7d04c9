"""Chooses the peers through which an instance connects to endpoints."""

from collections.abc import Awaitable
from enum import Enum
from random import Random
from typing import Protocol

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.deployment import Endpoint
from fuchsiaroute.forwarding import Counters, PeerConnection
from fuchsiaroute.gossip import Liveness, MemberInfo
from fuchsiaroute.http1 import ClientConnection, ConnectError, NobodyListensError
from fuchsiaroute.ids import InstanceId
from fuchsiaroute.linelog import LineLog
from fuchsiaroute.platform import NodeSettings
from fuchsiaroute.tunnel import PathMissingError, PeerUnavailableError, open_tunnel

#: Peers that are tried for one connection.
MAX_TRIES = 3
#: Timeout of one try; peers and endpoints are about a millisecond away.
TRY_TIMEOUT = Milliseconds(150)
#: Time left below which no further peer is tried.
MIN_TRY_TIME = Milliseconds(20)
#: Peers that have to find that nobody listens at an address, since one of them may be
#: cut from it as this instance is.
REFUSALS_NEEDED = 2
#: Time for which a peer that could not be used is asked only if there is no other.
LEFT_OUT_TIME = Milliseconds(1_000)


class TunnelOutcome(Enum):
    """How a try to connect through a peer ended."""

    OPENED = "opened"
    REFUSED = "refused"
    PATH_MISSING = "path-missing"
    UNAVAILABLE = "peer-unavailable"


class TunnelOpener(Protocol):
    """Opens a tunnel as ``fuchsiaroute.tunnel.open_tunnel`` does."""

    def __call__(
        self,
        peer_host: str,
        peer_port: int,
        *,
        host: str,
        port: int,
        clock: Clock,
        within: Milliseconds,
    ) -> Awaitable[ClientConnection]:
        """Return a connection to the endpoint at ``host`` and ``port``."""


def tunnel_port(settings: NodeSettings) -> int:
    """Return the port for tunnels; 0 if the range for peers has none for them."""
    first, last = settings.peer_ports
    return first + 1 if 0 < first < last else 0


class PeerTunnels:
    """Opens connections to endpoints through peers that have a path to them."""

    def __init__(
        self,
        *,
        settings: NodeSettings,
        liveness: Liveness,
        clock: Clock,
        random: Random,
        counters: Counters,
        log: LineLog,
        opener: TunnelOpener = open_tunnel,
    ) -> None:
        self._region = settings.region
        self._failure_domain = settings.failure_domain
        self._liveness = liveness
        self._clock = clock
        self._random = random
        self._counters = counters
        self._log = log
        self._open_tunnel = opener
        #: Peers that could not be used, and until when others are preferred.
        self._left_out: dict[InstanceId, Milliseconds] = {}

    def has_peers(self) -> bool:
        """Return whether there is a peer to ask."""
        return any(self._is_usable(member) for member in self._liveness.alive())

    async def open(self, endpoint: Endpoint, *, within: Milliseconds) -> PeerConnection:
        """
        Open a connection to ``endpoint`` through one of the peers.

        ``within`` is the timeout for all tries. Raises ``NobodyListensError`` if the
        peers found that nobody listens, ``PathMissingError`` if they do not reach the
        endpoint, and ``PeerUnavailableError`` if none could be asked.
        """
        deadline = self._clock.now() + within
        outcomes: dict[InstanceId, TunnelOutcome] = {}
        asked: list[MemberInfo] = []
        refusals = 0
        while len(asked) < MAX_TRIES and refusals < REFUSALS_NEEDED:
            left = Milliseconds(deadline - self._clock.now())
            peer = self._choose(asked)
            if peer is None or left < MIN_TRY_TIME:
                break
            asked.append(peer)
            limit = min(left, TRY_TIMEOUT)
            outcome, connection = await self._try(peer, endpoint, limit)
            if connection is not None:
                for name in outcomes:
                    # It does not reach what another peer reaches.
                    self._leave_out(name)
                return PeerConnection(connection=connection, peer=peer.instance)
            outcomes[peer.instance] = outcome
            refusals += outcome is TunnelOutcome.REFUSED
        raise _error(outcomes)

    async def _try(
        self, peer: MemberInfo, endpoint: Endpoint, within: Milliseconds
    ) -> tuple[TunnelOutcome, ClientConnection | None]:
        try:
            connection = await self._open_tunnel(
                peer.host,
                peer.tunnel_port,
                host=endpoint.host,
                port=endpoint.port,
                clock=self._clock,
                within=within,
            )
        except ConnectError as error:
            outcome = _failed_outcome(error)
            self._log.write(
                "tunnel:not-opened",
                endpoint=endpoint.id,
                peer=peer.instance,
                outcome=outcome.value,
                reason=str(error),
            )
            if outcome is TunnelOutcome.UNAVAILABLE:
                self._leave_out(peer.instance)
            self._counters.add("tunnels", outcome.value)
            return outcome, None
        self._counters.add("tunnels", TunnelOutcome.OPENED.value)
        return TunnelOutcome.OPENED, connection

    def _choose(self, asked: list[MemberInfo]) -> MemberInfo | None:
        """Return a random peer of the best group that has one."""
        names = {member.instance for member in asked}
        usable = [
            member
            for member in self._liveness.alive()
            if self._is_usable(member) and member.instance not in names
        ]
        preferred = [member for member in usable if not self._is_left_out(member)]
        whole = [member for member in preferred if not member.is_cut]
        domains = {member.failure_domain for member in asked}
        elsewhere = [item for item in whole if item.failure_domain not in domains]
        local = self._local_peers(whole) if not asked else []
        # One that was late once may be the only one that has a path.
        left_out = [member for member in usable if not member.is_cut]
        for group in (local, elsewhere, whole, left_out, preferred, usable):
            if group:
                return self._random.choice(group)
        return None

    def _local_peers(self, peers: list[MemberInfo]) -> list[MemberInfo]:
        """Return peers in the own failure domain, unless too many there are cut."""
        local = [item for item in peers if self._is_local(item)]
        cut = 1 + sum(
            member.is_cut and self._is_local(member)
            for member in self._liveness.alive()
        )
        return local if len(local) >= cut else []

    def _is_local(self, member: MemberInfo) -> bool:
        return member.failure_domain == self._failure_domain

    def _is_usable(self, member: MemberInfo) -> bool:
        if not member.is_ready or not member.tunnel_port:
            return False
        # A body may have to stay in the region that it was sent to.
        return member.region == self._region

    def _is_left_out(self, member: MemberInfo) -> bool:
        return self._left_out.get(member.instance, 0) > self._clock.now()

    def _leave_out(self, peer: InstanceId) -> None:
        now = self._clock.now()
        self._left_out = {
            name: until for name, until in self._left_out.items() if until > now
        }
        self._left_out[peer] = Milliseconds(now + LEFT_OUT_TIME)


def _failed_outcome(error: ConnectError) -> TunnelOutcome:
    if isinstance(error, NobodyListensError):
        return TunnelOutcome.REFUSED
    if isinstance(error, PathMissingError):
        return TunnelOutcome.PATH_MISSING
    return TunnelOutcome.UNAVAILABLE


def _error(outcomes: dict[InstanceId, TunnelOutcome]) -> ConnectError:
    """Return what the peers that opened no tunnel have found."""
    found = list(outcomes.values())
    peers = ", ".join(outcomes)
    refusals = found.count(TunnelOutcome.REFUSED)
    is_doubtful = refusals < REFUSALS_NEEDED and TunnelOutcome.PATH_MISSING in found
    if refusals and not is_doubtful:
        return NobodyListensError(f"nobody listens, according to {peers}")
    if is_doubtful:
        return PathMissingError(f"not reached by {peers}")
    return PeerUnavailableError(f"no peer available of {peers or 'none'}")
