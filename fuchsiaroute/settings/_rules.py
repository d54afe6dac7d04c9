"""Checks that need more than one setting."""

import ipaddress
from collections import Counter
from collections.abc import Iterator

from fuchsiaroute.settings._faults import SettingsFault
from fuchsiaroute.settings._model import Settings
from fuchsiaroute.settings._types import IpAddress, NoFile

TLS_KEYS = ("tls_certificate_file", "tls_key_file", "tls_authority_file")


def check_rules(settings: Settings) -> tuple[SettingsFault, ...]:
    """Return the faults that parsing each value on its own cannot find."""
    return (
        *_check_advertised(settings),
        *_check_ports(settings),
        *_check_tls(settings),
        *_check_deadlines(settings),
    )


def _check_advertised(settings: Settings) -> Iterator[SettingsFault]:
    addresses = (
        ("callers", settings.callers.host, settings.callers.advertised_host),
        ("peers", settings.peers.host, settings.peers.advertised_host),
    )
    for section, host, advertised in addresses:
        if _is_unspecified(advertised or host):
            yield SettingsFault(
                section=section,
                key="advertised_host",
                message="must be set to an address that others can connect to",
            )


def _is_unspecified(address: IpAddress) -> bool:
    return ipaddress.ip_address(address).is_unspecified


def _check_ports(settings: Settings) -> Iterator[SettingsFault]:
    ports = {
        "callers": settings.callers.port,
        "operators": settings.operators.port,
        "peers": settings.peers.port,
    }
    counts = Counter(port for port in ports.values() if port)
    for section, port in ports.items():
        if counts[port] > 1:
            yield SettingsFault(
                section=section,
                key="port",
                message=f"{port} is also the port of another section",
            )


def _check_tls(settings: Settings) -> Iterator[SettingsFault]:
    files = {key: getattr(settings.peers, key) for key in TLS_KEYS}
    missing = [key for key, path in files.items() if path is NoFile.TOKEN]
    if len(missing) < len(files):
        for key in missing:
            yield SettingsFault(
                section="peers", key=key, message="missing; TLS needs all three files"
            )


def _check_deadlines(settings: Settings) -> Iterator[SettingsFault]:
    if settings.callers.default_deadline > settings.callers.max_deadline:
        yield SettingsFault(
            section="callers",
            key="default_deadline",
            message="is above max_deadline",
        )
