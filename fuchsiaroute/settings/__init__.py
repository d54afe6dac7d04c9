"""Settings of one entry, read from an INI file and checked at start."""

from fuchsiaroute.settings._faults import SettingsFault
from fuchsiaroute.settings._load import load, parse
from fuchsiaroute.settings._model import (
    CallerSettings,
    InstanceSettings,
    LogSettings,
    OperatorSettings,
    PeerSettings,
    PlatformSettings,
    SessionSettings,
    Settings,
)
from fuchsiaroute.settings._secrets import SecretError, read_secret, read_secrets
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

__all__ = [
    "ByteCount",
    "CallerSettings",
    "InstanceSettings",
    "IpAddress",
    "LogSettings",
    "LogTarget",
    "NoFile",
    "OperatorSettings",
    "OptionalPath",
    "PeerSettings",
    "PlatformSettings",
    "Port",
    "SecretError",
    "SessionSettings",
    "Settings",
    "SettingsFault",
    "StandardError",
    "Url",
    "load",
    "parse",
    "read_secret",
    "read_secrets",
]
