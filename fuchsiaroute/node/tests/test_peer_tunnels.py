"""Peers through which an instance connects to endpoints."""

from collections import Counter
from random import Random
from typing import cast

import pytest

from fuchsiaroute.clock import ManualClock, Milliseconds
from fuchsiaroute.deployment import Endpoint
from fuchsiaroute.forwarding import Counters
from fuchsiaroute.gossip import Heartbeat, Liveness, MemberInfo
from fuchsiaroute.http1 import ClientConnection, ConnectError, NobodyListensError
from fuchsiaroute.ids import (
    EndpointId,
    FailureDomainId,
    InstanceId,
    RegionId,
    ServiceId,
    VersionId,
)
from fuchsiaroute.linelog import LineLog
from fuchsiaroute.node._peer_tunnels import LEFT_OUT_TIME, PeerTunnels, tunnel_port
from fuchsiaroute.platform import NodeSettings, parse_node_settings
from fuchsiaroute.tunnel import PathMissingError, PeerUnavailableError

WITHIN = Milliseconds(400)
REFUSED, MISSING, UNAVAILABLE = (
    NobodyListensError("refused"),
    PathMissingError("no path"),
    PeerUnavailableError("draining"),
)
ENDPOINT = Endpoint(
    id=EndpointId("e"),
    service=ServiceId("s"),
    host="10.0.0.1",
    port=80,
    failure_domain=FailureDomainId("d"),
    version=VersionId("v"),
    slots=1,
    is_draining=False,
    cold_remaining=Milliseconds(0),
    started_at=Milliseconds(1),
)


def settings(ports: str = "7000,7001") -> NodeSettings:
    return parse_node_settings(
        "NodeName=me\nZone=z0\nRegion=r\nIp=10.0.0.9\nListen.Frontend=10.0.0.9:80\n"
        f"PortRange={ports}\nPlatform.Address=10.0.0.9:1\n"
    )


class Peers:
    """Peers whose tunnels end as told."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.counters = Counters()
        self.errors: dict[str, ConnectError] = {}
        #: Time that a try takes.
        self.duration = Milliseconds(0)
        self.asked: list[str] = []
        self.liveness = Liveness(
            instance=InstanceId("me"),
            clock=self.clock,
            dead_after=Milliseconds(60_000),
        )
        self.tunnels = PeerTunnels(
            settings=settings(),
            liveness=self.liveness,
            clock=self.clock,
            random=Random(1),
            counters=self.counters,
            log=LineLog(clock=self.clock, instance="me", write=len),
            opener=self._open,
        )

    def add(
        self,
        name: str,
        domain: str = "z0",
        *,
        is_ready: bool = True,
        is_cut: bool = False,
        region: str = "r",
        port: int = 7001,
    ) -> None:
        instance = InstanceId(name)
        self.liveness.update_member(
            MemberInfo(
                instance=instance,
                host=name,
                port=7000,
                frontend="",
                failure_domain=FailureDomainId(domain),
            )
        )
        self.liveness.update_paths(
            instance, region=RegionId(region), tunnel_port=port, is_cut=is_cut
        )
        self.liveness.merge(Heartbeat(name, 1, is_ready))

    async def opened_by(self) -> str:
        found = await self.tunnels.open(ENDPOINT, within=WITHIN)
        return found.peer

    async def _open(
        self,
        peer_host: str,
        peer_port: int,
        *,
        host: str,
        port: int,
        clock: object,
        within: Milliseconds,
    ) -> ClientConnection:
        assert (peer_port, host, port) == (7001, ENDPOINT.host, ENDPOINT.port)
        self.asked.append(peer_host)
        self.clock.tick(self.duration)
        if peer_host in self.errors:
            raise self.errors[peer_host]
        return cast(ClientConnection, object())


@pytest.mark.parametrize(
    ("ports", "expected"), [("7000,7001", 7001), ("7000,7000", 0), ("7000,7015", 7001)]
)
def test_tunnels_use_the_second_port_of_the_range(ports: str, expected: int) -> None:
    assert tunnel_port(settings(ports)) == expected


async def test_peers_that_cannot_carry_tunnels_are_not_asked() -> None:
    case = Peers()
    case.add("unready", is_ready=False)
    case.add("elsewhere", region="other")
    case.add("former", port=0)
    assert not case.tunnels.has_peers()
    with pytest.raises(PeerUnavailableError):
        await case.opened_by()
    assert case.asked == []
    case.add("usable")
    assert case.tunnels.has_peers()
    assert await case.opened_by() == "usable"


async def test_load_is_spread_over_the_peers_of_the_own_failure_domain() -> None:
    case = Peers()
    for number in range(4):
        case.add(f"local{number}")
        case.add(f"other{number}", "z1")
    counts = Counter([await case.opened_by() for _ in range(400)])
    assert set(counts) == {"local0", "local1", "local2", "local3"}
    assert max(counts.values()) < 150


async def test_few_peers_of_a_cut_failure_domain_do_not_carry_all() -> None:
    case = Peers()
    case.add("local0")
    for number in range(1, 4):
        case.add(f"local{number}", is_cut=True)
    for number in range(3):
        case.add(f"other{number}", "z1")
    counts = Counter([await case.opened_by() for _ in range(400)])
    assert set(counts) == {"local0", "other0", "other1", "other2"}
    assert max(counts.values()) < 150


async def test_next_peer_is_in_another_failure_domain() -> None:
    case = Peers()
    for number in range(5):
        case.add(f"local{number}")
        case.errors[f"local{number}"] = MISSING
    case.add("other", "z1")
    assert await case.opened_by() == "other"
    assert len(case.asked) == 2


async def test_peer_that_failed_is_left_out_for_a_while() -> None:
    case = Peers()
    case.add("bad")
    case.add("good", "z1")
    case.errors["bad"] = UNAVAILABLE
    assert [await case.opened_by() for _ in range(3)] == ["good"] * 3
    assert case.asked.count("bad") == 1
    case.clock.tick(LEFT_OUT_TIME)
    await case.opened_by()
    assert case.asked.count("bad") == 2


@pytest.mark.parametrize("cut", [0, 1, 4])
async def test_peer_that_failed_is_asked_again_if_there_is_no_other(cut: int) -> None:
    """Guards against refused requests beside a peer that was late once."""
    case = Peers()
    case.add("late", "z1")
    for number in range(cut):
        case.add(f"cut{number}", is_cut=True)
        case.errors[f"cut{number}"] = MISSING
    case.errors["late"] = UNAVAILABLE
    with pytest.raises(ConnectError):
        await case.opened_by()
    assert case.tunnels.has_peers()
    del case.errors["late"]
    assert await case.opened_by() == "late"


async def test_peer_that_does_not_reach_what_another_reaches_is_left_out() -> None:
    case = Peers()
    case.add("cut")
    case.add("whole", "z1")
    case.errors["cut"] = MISSING
    assert [await case.opened_by() for _ in range(3)] == ["whole"] * 3
    assert case.asked.count("cut") == 1


async def test_peer_that_says_it_is_cut_is_asked_only_if_there_is_no_other() -> None:
    case = Peers()
    case.add("cut", is_cut=True)
    assert await case.opened_by() == "cut"
    case.add("whole", "z1")
    assert {await case.opened_by() for _ in range(20)} == {"whole"}


@pytest.mark.parametrize(
    ("errors", "expected", "tries"),
    [
        ([REFUSED], NobodyListensError, 1),
        ([REFUSED, REFUSED, REFUSED], NobodyListensError, 2),
        ([MISSING, MISSING, MISSING, MISSING], PathMissingError, 3),
        # One of the two is cut as this instance is, or the endpoint has ended.
        ([REFUSED, MISSING], PathMissingError, 2),
        ([REFUSED, UNAVAILABLE], NobodyListensError, 2),
        ([MISSING, UNAVAILABLE], PathMissingError, 2),
        ([UNAVAILABLE, UNAVAILABLE], PeerUnavailableError, 2),
    ],
)
async def test_error_tells_what_the_peers_found(
    errors: list[ConnectError], expected: type[ConnectError], tries: int
) -> None:
    case = Peers()
    for number, error in enumerate(errors):
        case.add(f"p{number}")
        case.errors[f"p{number}"] = error
    with pytest.raises(ConnectError) as raised:
        await case.opened_by()
    assert type(raised.value) is expected
    assert len(case.asked) == tries


async def test_tries_end_with_their_common_timeout() -> None:
    case = Peers()
    case.duration = Milliseconds(195)
    for number in range(5):
        case.add(f"p{number}")
        case.errors[f"p{number}"] = MISSING
    with pytest.raises(PathMissingError):
        await case.opened_by()
    assert len(case.asked) == 2
    assert case.counters.counts[("tunnels", ("path-missing",))] == 2
