"""Addresses as the platform writes them: ``HOST:PORT``."""

import re
from dataclasses import dataclass

from fuchsiaroute.decoding import parse_digits

_MAX_PORT = 65_535
#: An IP address or a host name.
_HOST = re.compile(r"[A-Za-z0-9._:%\[\]-]{1,253}", re.ASCII)


@dataclass(frozen=True, kw_only=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def parse_address(text: str) -> Address | None:
    """Return the address in ``text``; None if nothing can listen there."""
    host, _, digits = text.rpartition(":")
    port = parse_digits(digits)
    if port is None or not 0 <= port <= _MAX_PORT or _HOST.fullmatch(host) is None:
        return None
    return Address(host=host, port=port)
