"""The platform as the soak test uses it: names, bounds, settings and calls."""

import asyncio
import json
from collections.abc import Mapping
from enum import Enum

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.platform.tests.node_harness import HOST, Caller, Reply

BOUNDS = {
    "ContactMs": 3_000,
    "DrainMs": 2_000,
    "GraceS": 8,
    "LossSlackMs": 200,
    "ConfigApplyMs": 2_000,
    "EvacuateMs": 5_000,
    "RollbackMs": 5_000,
    "RecoveryS": 12,
    "BudgetRatio": 0.9,
    "BudgetWindowS": 10,
    "BudgetSlack": 56,
    "CanaryShare": 0.15,
    "CanarySlack": 30,
    "ColdOver": 1.5,
    "ColdSlack": 5,
    "SessionS": 5,
    "ttl_max_s": 5,
    "ReuseAfterS": 2,
}
CONTACT = Milliseconds(round(BOUNDS["ContactMs"]))
DRAIN = Milliseconds(round(BOUNDS["DrainMs"]))
GRACE = Milliseconds(round(BOUNDS["GraceS"] * 1_000))
LOSS_SLACK = Milliseconds(round(BOUNDS["LossSlackMs"]))
APPLY = Milliseconds(round(BOUNDS["ConfigApplyMs"]))
EVACUATE = Milliseconds(round(BOUNDS["EvacuateMs"]))
RECOVERY = Milliseconds(round(BOUNDS["RecoveryS"] * 1_000))
RETRY_RATIO = BOUNDS["BudgetRatio"]
RETRY_WINDOW = Milliseconds(round(BOUNDS["BudgetWindowS"] * 1_000))
RETRY_SLACK = BOUNDS["BudgetSlack"]
CANARY_SHARE, CANARY_SLACK = BOUNDS["CanaryShare"], BOUNDS["CanarySlack"]
#: Requests per second that a cold endpoint can serve, and the maximum that all
#: instances together may send to it.
COLD_RATE = 10.0
COLD_BOUND = COLD_RATE * BOUNDS["ColdOver"] + BOUNDS["ColdSlack"]

KEY, REVOKED_KEY, ORGANISATION = "key", "leaked", "org"
APP, POOL = "app", "pool"
#: Timeouts of routes.
TIMEOUT, LONG_TIMEOUT = Milliseconds(3_000), Milliseconds(15_000)


class RouteKind(Enum):
    """Routes of the generated traffic."""

    READ = "read"
    WRITE = "write"
    #: A stream that may be resumed at another endpoint.
    STREAM = "stream"
    #: A stream that must not be resumed.
    ONCE = "once"
    #: Streams of several seconds, with and without resumption.
    LONG = "long"
    LONG_ONCE = "long-once"
    #: A repeatable request whose answer has some megabytes.
    LARGE = "large"

    @property
    def may_repeat(self) -> bool:
        return self in (
            RouteKind.READ,
            RouteKind.STREAM,
            RouteKind.LONG,
            RouteKind.LARGE,
        )

    @property
    def is_stream(self) -> bool:
        return self in SHORT_STREAMS or self in LONG_STREAMS

    @property
    def timeout(self) -> Milliseconds:
        is_short = self in SHORT_KINDS
        return TIMEOUT if is_short else LONG_TIMEOUT

    @classmethod
    def of_path(cls, target: str) -> "RouteKind":
        """Return the kind of the route that a path matches."""
        name = target.split("/")[1]
        return cls.READ if name.startswith(_ADDED_PREFIX) else cls(name)


_ADDED_PREFIX = "added-"
SHORT_STREAMS = (RouteKind.STREAM, RouteKind.ONCE)
SHORT_KINDS = (RouteKind.READ, RouteKind.WRITE, *SHORT_STREAMS)
LONG_STREAMS = (RouteKind.LONG, RouteKind.LONG_ONCE)
MAX_ATTEMPTS = {
    RouteKind.READ: 3,
    RouteKind.WRITE: 2,
    RouteKind.STREAM: 3,
    RouteKind.ONCE: 2,
    RouteKind.LONG: 3,
    RouteKind.LONG_ONCE: 2,
    RouteKind.LARGE: 3,
}
_PLATFORM_KIND = {
    RouteKind.READ: "idempotent",
    RouteKind.WRITE: "non_idempotent",
    RouteKind.STREAM: "streaming",
    RouteKind.ONCE: "streaming",
    RouteKind.LONG: "streaming",
    RouteKind.LONG_ONCE: "streaming",
    RouteKind.LARGE: "idempotent",
}


def path(kind: RouteKind, request_id: str, length: int) -> str:
    """Return a path; ``length`` is the number of events, or of bytes of filler."""
    return f"/{kind.value}/{request_id}/{length}"


def added_route(number: int) -> str:
    """Return the name of a route that a later declaration adds."""
    return f"{_ADDED_PREFIX}{number}"


def _route(name: str, kind: RouteKind) -> dict[str, object]:
    return {
        "Host": HOST,
        "Name": name,
        "Prefix": f"/{name}/",
        "Kind": _PLATFORM_KIND[kind],
        "Service": POOL if kind.is_stream else APP,
        "MaxAttempts": MAX_ATTEMPTS[kind],
        "Resumable": kind.is_stream and kind.may_repeat,
        "TimeoutMs": kind.timeout,
        "TargetLatencyMs": 400,
        "GapTargetMs": 1_000,
    }


def configuration(
    version: int, *, added: int, has_second_key: bool
) -> dict[str, object]:
    """Return a declaration with ``added`` routes beyond those of ``RouteKind``."""
    routes = [_route(kind.value, kind) for kind in RouteKind]
    routes += [_route(added_route(number), RouteKind.READ) for number in range(added)]
    services = [
        {"Name": name, "MaxConnections": 200, "ColdStartS": 3, "ColdPerS": COLD_RATE}
        for name in (APP, POOL)
    ]
    keys = [KEY, REVOKED_KEY] if has_second_key else [KEY]
    return {
        "Version": version,
        "Routes": routes,
        "Services": services,
        "Tenants": [{"Name": ORGANISATION, "ApiKeys": keys}],
    }


def settings_text(
    *,
    name: str,
    domain: str,
    ip: str,
    ports: Mapping[str, int],
    store: str,
    memory: int,
) -> str:
    fields = {
        "NodeName": name,
        "Zone": domain,
        "Region": "r",
        "Ip": ip,
        "Listen.Frontend": f"{ip}:{ports['callers']}",
        "Listen.Readiness": f"{ip}:{ports['control']}",
        "Listen.Directory": f"{ip}:{ports['control']}",
        "PortRange": f"{ports['peers']},{ports['peers'] + 1}",
        "Platform.Address": store,
        "Limits.MemoryMb": memory,
        "Limits.MaxFds": 900,
        "HeartbeatMs": 1_200,
        **{f"Bounds.{key}": value for key, value in BOUNDS.items()},
    }
    return "".join(f"{key}={value}\n" for key, value in fields.items())


async def list_addresses(port: int) -> list[str] | None:
    """Return the addresses in an instance's directory; None unless it answers 200."""
    reply = await _ask(port, "/api/resolve?Name=front.example&Region=r&Zone=z0")
    return json.loads(reply.body)["Addresses"] if reply.status == 200 else None


async def is_ready(port: int) -> bool:
    return (await _ask(port, "/api/ready")).status == 200


async def _ask(port: int, target: str) -> Reply:
    caller = Caller(port)
    try:
        async with asyncio.timeout(1.0):
            return await caller.ask(target, method="GET", body=b"", key=None)
    finally:
        caller.close()
