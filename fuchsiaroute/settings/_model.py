"""Settings of an entry as typed values, one class per section of the file."""

from dataclasses import dataclass, field
from pathlib import Path

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.ids import FailureDomainId, InstanceId
from fuchsiaroute.settings._types import (
    ByteCount,
    IpAddress,
    LogTarget,
    NoFile,
    OptionalPath,
    Port,
    StandardError,
    Url,
)

LOOPBACK = IpAddress("127.0.0.1")


@dataclass(frozen=True, kw_only=True)
class InstanceSettings:
    """Section ``[instance]``: identity of this entry."""

    #: Unique among the entries of a deployment.
    id: InstanceId
    #: Failure domain that this entry runs in.
    failure_domain: FailureDomainId


@dataclass(frozen=True, kw_only=True)
class CallerSettings:
    """Section ``[callers]``: address for callers and limits on their requests."""

    #: Address to listen on.
    host: IpAddress = LOOPBACK
    port: Port = Port(8080)
    #: Address advertised to callers; ``host`` if not set.
    advertised_host: IpAddress = IpAddress("")
    #: Largest request body.
    max_body: ByteCount = ByteCount(1_048_576)
    #: Largest request head: the request line and all headers together.
    max_head: ByteCount = ByteCount(16_384)
    #: Timeout for receiving a whole request body.
    body_timeout: Milliseconds = Milliseconds(10_000)
    #: Time after which an idle connection is closed.
    idle_timeout: Milliseconds = Milliseconds(30_000)
    #: Deadline of a request that sets none, counted from its arrival.
    default_deadline: Milliseconds = Milliseconds(30_000)
    #: Latest deadline that a request may set, counted from its arrival.
    max_deadline: Milliseconds = Milliseconds(600_000)
    #: Largest number of simultaneous connections.
    max_connections: int = 2_048

    @property
    def advertised_address(self) -> str:
        """Return the ``host:port`` advertised to callers."""
        host = self.advertised_host or self.host
        return f"[{host}]:{self.port}" if ":" in host else f"{host}:{self.port}"


@dataclass(frozen=True, kw_only=True)
class OperatorSettings:
    """Section ``[operators]``: address for operators; not open to callers."""

    host: IpAddress = LOOPBACK
    port: Port = Port(8081)
    #: Files with one operator key each. All are accepted, so that keys can be
    #: rotated. Without a key, every call that needs one is refused.
    key_files: tuple[Path, ...] = ()


@dataclass(frozen=True, kw_only=True)
class PeerSettings:
    """Section ``[peers]``: address for other entries and security of that traffic."""

    host: IpAddress = LOOPBACK
    port: Port = Port(8082)
    #: Address advertised to peers; ``host`` if not set.
    advertised_host: IpAddress = IpAddress("")
    #: Files with one shared key each. The first signs, all are accepted.
    key_files: tuple[Path, ...] = ()
    #: Certificate of this entry in PEM; TLS is off if not set.
    tls_certificate_file: OptionalPath = NoFile.TOKEN
    #: Private key of this entry in PEM.
    tls_key_file: OptionalPath = NoFile.TOKEN
    #: Certificates of the authority that issues every entry's certificate, in PEM.
    tls_authority_file: OptionalPath = NoFile.TOKEN

    @property
    def is_tls(self) -> bool:
        """Return whether connections between entries use TLS."""
        return self.tls_certificate_file is not NoFile.TOKEN

    @property
    def advertised_address(self) -> str:
        """Return the ``host:port`` advertised to peers."""
        host = self.advertised_host or self.host
        return f"[{host}]:{self.port}" if ":" in host else f"{host}:{self.port}"


@dataclass(frozen=True, kw_only=True)
class PlatformSettings:
    """Section ``[platform]``: URLs and timeouts of the platform's services."""

    #: Transactional table service.
    table_url: Url
    #: Object store; empty if not used.
    object_url: Url = Url("")
    #: Eventually consistent list of instances; empty if it is at ``table_url``.
    instance_list_url: Url = Url("")
    #: Service that rates answers; empty if not used.
    rating_url: Url = Url("")
    #: Timeout of a read.
    read_timeout: Milliseconds = Milliseconds(1_000)
    #: Timeout of a write.
    write_timeout: Milliseconds = Milliseconds(2_000)


@dataclass(frozen=True, kw_only=True)
class SessionSettings:
    """Section ``[session]``: keys that sign session pins."""

    #: Files with one key each. The first signs, all verify.
    pin_key_files: tuple[Path, ...] = ()


@dataclass(frozen=True, kw_only=True)
class LogSettings:
    """Section ``[log]``: destination of log lines."""

    #: ``stderr`` or a file.
    path: LogTarget = StandardError.TOKEN


@dataclass(frozen=True, kw_only=True)
class Settings:
    """All settings of an entry."""

    instance: InstanceSettings
    platform: PlatformSettings
    callers: CallerSettings = field(default_factory=CallerSettings)
    operators: OperatorSettings = field(default_factory=OperatorSettings)
    peers: PeerSettings = field(default_factory=PeerSettings)
    session: SessionSettings = field(default_factory=SessionSettings)
    log: LogSettings = field(default_factory=LogSettings)
