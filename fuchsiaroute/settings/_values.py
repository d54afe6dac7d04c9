"""Parsers of settings values, one per type; each raises ``ValueError``."""

import ipaddress
import re
from collections.abc import Callable
from pathlib import Path
from urllib.parse import urlsplit

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.ids import FailureDomainId, InstanceId
from fuchsiaroute.settings._types import (
    ByteCount,
    IpAddress,
    LogTarget,
    OptionalPath,
    Port,
    StandardError,
    Url,
)

MAX_PORT = 65_535
URL_SCHEMES = frozenset({"http", "https"})
MILLISECONDS_PER_UNIT = {"ms": 1, "s": 1_000, "min": 60_000, "h": 3_600_000}
BYTES_PER_UNIT = {"B": 1, "KiB": 1_024, "MiB": 1_048_576, "GiB": 1_073_741_824}

_QUANTITY = re.compile(r"(\d+)\s*([A-Za-z]+)", re.ASCII)
_NUMBER = re.compile(r"\d+", re.ASCII)
_IDENTIFIER = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}", re.ASCII)


def _parse_quantity(text: str, units: dict[str, int], example: str) -> int:
    match = _QUANTITY.fullmatch(text)
    if match is None or match[2] not in units:
        names = ", ".join(units)
        raise ValueError(
            f"{text!r} is not a whole number with a unit of {names}, "
            f"for example {example}"
        )
    value = int(match[1]) * units[match[2]]
    if value == 0:
        raise ValueError("must be above zero")
    return value


def parse_duration(text: str) -> Milliseconds:
    """Return the milliseconds in a duration such as ``250ms``."""
    return Milliseconds(_parse_quantity(text, MILLISECONDS_PER_UNIT, "250ms"))


def parse_size(text: str) -> ByteCount:
    """Return the bytes in a size such as ``1MiB``."""
    return ByteCount(_parse_quantity(text, BYTES_PER_UNIT, "1MiB"))


def parse_count(text: str) -> int:
    """Return a whole number above zero."""
    if _NUMBER.fullmatch(text) is None or int(text) == 0:
        raise ValueError(f"{text!r} is not a whole number above zero")
    return int(text)


def parse_port(text: str) -> Port:
    """Return a TCP port."""
    if _NUMBER.fullmatch(text) is None or int(text) > MAX_PORT:
        raise ValueError(f"{text!r} is not a port from 0 to {MAX_PORT}")
    return Port(int(text))


def parse_address(text: str) -> IpAddress:
    """Return an IP address in canonical form; host names are rejected."""
    try:
        return IpAddress(str(ipaddress.ip_address(text)))
    except ValueError:
        raise ValueError(f"{text!r} is not an IP address") from None


def parse_url(text: str) -> Url:
    """Return a base URL with an IP address as host, without a trailing slash."""
    parts = urlsplit(text)
    if parts.scheme not in URL_SCHEMES or not parts.hostname:
        raise ValueError(f"{text!r} is not an http or https URL")
    parse_address(parts.hostname)
    # ``port`` is a property that raises ValueError if the port is out of range.
    _ = parts.port
    if parts.query or parts.fragment or parts.username is not None:
        raise ValueError("a base URL has no query, fragment or user name")
    return Url(text.rstrip("/"))


def parse_identifier(text: str) -> str:
    """Return an identifier of letters, digits, dots, dashes and underscores."""
    if _IDENTIFIER.fullmatch(text) is None:
        raise ValueError(
            f"{text!r} is not a name of 1 to 128 letters, digits, '.', '_', '-'"
        )
    return text


def parse_file(text: str) -> Path:
    """Return the path of a file after checking that it can be read."""
    path = Path(text)
    try:
        with path.open("rb") as file:
            file.read(1)
    except OSError as error:
        raise ValueError(f"cannot read {text!r}: {error.strerror}") from None
    return path


def parse_files(text: str) -> tuple[Path, ...]:
    """Return the paths of readable files, given one per line."""
    names = [line.strip() for line in text.splitlines() if line.strip()]
    return tuple(parse_file(name) for name in names)


def parse_log_target(text: str) -> LogTarget:
    """Return ``stderr`` or the path of a file in an existing directory."""
    if text == StandardError.TOKEN.value:
        return StandardError.TOKEN
    path = Path(text)
    if not path.parent.is_dir():
        raise ValueError(f"the directory of {text!r} does not exist")
    if path.is_dir():
        raise ValueError(f"{text!r} is a directory")
    return path


#: Parser by the type of a section's field.
PARSERS: dict[object, Callable[[str], object]] = {
    ByteCount: parse_size,
    FailureDomainId: parse_identifier,
    InstanceId: parse_identifier,
    IpAddress: parse_address,
    LogTarget: parse_log_target,
    Milliseconds: parse_duration,
    OptionalPath: parse_file,
    Port: parse_port,
    Url: parse_url,
    int: parse_count,
    tuple[Path, ...]: parse_files,
}

#: Types for which an empty value means "not set".
OPTIONAL_TYPES: frozenset[object] = frozenset({OptionalPath, tuple[Path, ...]})
