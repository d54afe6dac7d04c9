"""The settings file that the platform writes for each process."""

import math
import os
from dataclasses import dataclass, field
from pathlib import Path

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.decoding import parse_digits
from fuchsiaroute.ids import FailureDomainId, InstanceId, RegionId
from fuchsiaroute.platform._address import Address, parse_address

#: Environment variable with the path of the settings file, and the default path.
SETTINGS_VARIABLE = "FUCHSIAROUTE_NODE_FILE"
DEFAULT_PATH = "/etc/fuchsiaroute/node.conf"
#: Link of a machine whose settings state none.
DEFAULT_LINK_MBPS = 100.0
MILLISECONDS_PER_SECOND = 1_000
_MAX_PORT = 65_535
#: Limit of a setting that is a number.
_MAX_NUMBER = 1e12


class NodeSettingsError(Exception):
    """The settings file cannot be used; the message lists every fault."""


@dataclass(frozen=True, kw_only=True)
class Bounds:
    """Service-level bounds that the deployment's operators set."""

    #: Time without disruption after which the other bounds apply to an instance.
    contact: Milliseconds = Milliseconds(3_000)
    #: Maximum time from an endpoint's announcement that it drains to its last new
    #: request.
    drain: Milliseconds = Milliseconds(2_000)
    #: Time from SIGTERM to SIGKILL.
    grace: Milliseconds = Milliseconds(8_000)
    #: Maximum time from the acceptance of a configuration to its taking effect.
    apply: Milliseconds = Milliseconds(2_000)
    #: Maximum time from the evacuation order to a failure domain's last new request.
    evacuate: Milliseconds = Milliseconds(5_000)
    #: Retry budget: retries allowed per request of a window, and in addition to that.
    retry_ratio: float = 0.9
    retry_window: Milliseconds = Milliseconds(10_000)
    retry_slack: float = 30.0
    #: Maximum share of a service's requests that a bad version may receive, and the
    #: number of requests allowed in addition.
    canary_share: float = 0.15
    canary_slack: float = 30.0
    #: Maximum time from a bad version's fiftieth bad answer to its last request.
    rollback: Milliseconds = Milliseconds(5_000)
    #: Maximum request rate of a cold endpoint as a factor on its declared rate, and
    #: the requests per second allowed in addition.
    cold_factor: float = 1.5
    cold_slack: float = 5.0
    #: Maximum pause between two requests of a session.
    session_pause: Milliseconds = Milliseconds(5_000)
    #: Maximum time for which callers may cache a directory response.
    directory_lifetime: Milliseconds = Milliseconds(5_000)
    #: Time after which the address of a removed endpoint may be reassigned to another
    #: service.
    address_reuse: Milliseconds = Milliseconds(2_000)


@dataclass(frozen=True, kw_only=True)
class NodeSettings:
    """Settings of one process: its identity, addresses and limits."""

    instance: InstanceId
    failure_domain: FailureDomainId
    region: RegionId
    ip: str
    #: Address on which callers send requests.
    frontend: Address
    #: Address of the platform's readiness probe.
    readiness: Address | None
    #: Address of the directory, which lists the instances that callers may use.
    directory: Address | None
    #: First and last port (inclusive) reserved for traffic between instances.
    peer_ports: tuple[int, int]
    store: Address
    memory_mb: int
    max_descriptors: int
    #: What the machine's link carries, in Mbit/s; positive.
    link_mbps: float
    #: Interval at which endpoints renew their announcements.
    heartbeat: Milliseconds
    bounds: Bounds = field(default_factory=Bounds)


def node_settings_path(path: str | None = None) -> Path:
    """Return the path of the settings file, ``path`` if it is given."""
    return Path(path or os.environ.get(SETTINGS_VARIABLE) or DEFAULT_PATH)


def load_node_settings(path: str | None = None) -> NodeSettings:
    """Read the settings file; raises ``NodeSettingsError``."""
    try:
        text = node_settings_path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise NodeSettingsError(f"cannot read the settings file: {error}") from error
    return parse_node_settings(text)


def parse_node_settings(text: str) -> NodeSettings:
    """
    Decode ``name=value`` lines; unknown names are ignored.

    Raises ``NodeSettingsError`` with all faults.
    """
    reader = _Reader(text)
    first_port, last_port = reader.ports("PortRange")
    settings = NodeSettings(
        instance=InstanceId(reader.text("NodeName")),
        failure_domain=FailureDomainId(reader.text("Zone")),
        region=RegionId(reader.text("Region", default="")),
        ip=reader.text("Ip"),
        frontend=reader.address("Listen.Frontend") or _NO_ADDRESS,
        readiness=reader.address("Listen.Readiness", is_required=False),
        directory=reader.address("Listen.Directory", is_required=False),
        peer_ports=(first_port, last_port),
        store=reader.address("Platform.Address") or _NO_ADDRESS,
        memory_mb=int(reader.number("Limits.MemoryMb", 256)),
        max_descriptors=int(reader.number("Limits.MaxFds", 1_024)),
        link_mbps=reader.positive("Limits.LinkMbps", DEFAULT_LINK_MBPS),
        heartbeat=reader.milliseconds("HeartbeatMs", Milliseconds(1_200)),
        bounds=_bounds(reader),
    )
    if reader.faults:
        raise NodeSettingsError("; ".join(reader.faults))
    return settings


def _bounds(reader: "_Reader") -> Bounds:
    defaults = Bounds()
    return Bounds(
        contact=reader.milliseconds("Bounds.ContactMs", defaults.contact),
        drain=reader.milliseconds("Bounds.DrainMs", defaults.drain),
        grace=reader.seconds("Bounds.GraceS", defaults.grace),
        apply=reader.milliseconds("Bounds.ConfigApplyMs", defaults.apply),
        evacuate=reader.milliseconds("Bounds.EvacuateMs", defaults.evacuate),
        retry_ratio=reader.number("Bounds.BudgetRatio", defaults.retry_ratio),
        retry_window=reader.seconds("Bounds.BudgetWindowS", defaults.retry_window),
        retry_slack=reader.number("Bounds.BudgetSlack", defaults.retry_slack),
        canary_share=reader.number("Bounds.CanaryShare", defaults.canary_share),
        canary_slack=reader.number("Bounds.CanarySlack", defaults.canary_slack),
        rollback=reader.milliseconds("Bounds.RollbackMs", defaults.rollback),
        cold_factor=reader.number("Bounds.ColdOver", defaults.cold_factor),
        cold_slack=reader.number("Bounds.ColdSlack", defaults.cold_slack),
        session_pause=reader.seconds("Bounds.SessionS", defaults.session_pause),
        directory_lifetime=reader.seconds(
            "Bounds.ttl_max_s", defaults.directory_lifetime
        ),
        address_reuse=reader.seconds("Bounds.ReuseAfterS", defaults.address_reuse),
    )


_NO_ADDRESS = Address(host="", port=0)


class _Reader:
    """Typed access to the file's values; collects all faults."""

    def __init__(self, text: str) -> None:
        self._values: dict[str, str] = {}
        self.faults: list[str] = []
        for line in text.splitlines():
            name, separator, value = line.partition("=")
            if separator:
                self._values[name.strip()] = value.strip()

    def text(self, name: str, *, default: str | None = None) -> str:
        value = self._values.get(name) or default
        if value is None:
            self.faults.append(f"{name} is missing")
            return ""
        return value

    def number(self, name: str, default: float) -> float:
        value = self._values.get(name)
        if not value:
            return default
        try:
            number = float(value)
        except ValueError:
            number = math.nan
        # Neither NaN nor an infinite number can be rounded.
        if not abs(number) <= _MAX_NUMBER:
            self.faults.append(f"{name} is not a number: {value!r}")
            return default
        return number

    def positive(self, name: str, default: float) -> float:
        number = self.number(name, default)
        if number <= 0:
            self.faults.append(f"{name} must be positive, got {number}")
            return default
        return number

    def milliseconds(self, name: str, default: Milliseconds) -> Milliseconds:
        return Milliseconds(round(self.number(name, default)))

    def seconds(self, name: str, default: Milliseconds) -> Milliseconds:
        return Milliseconds(
            round(
                self.number(name, default / MILLISECONDS_PER_SECOND)
                * MILLISECONDS_PER_SECOND
            )
        )

    def ports(self, name: str) -> tuple[int, int]:
        first, _, last = self.text(name, default="0,0").partition(",")
        match parse_digits(first), parse_digits(last):
            case (int(low), int(high)) if max(low, high) <= _MAX_PORT:
                return low, high
        self.faults.append(f"{name} is not a pair of ports")
        return 0, 0

    def address(self, name: str, *, is_required: bool = True) -> Address | None:
        value = self._values.get(name)
        if not value:
            if is_required:
                self.faults.append(f"{name} is missing")
            return None
        address = parse_address(value)
        if address is None:
            self.faults.append(f"{name} is not an address: {value!r}")
        return address
