"""Rules on endpoints: what they serve, their capacities and their URLs."""

import ipaddress
from collections.abc import Iterator
from urllib.parse import urlsplit

from fuchsiaroute.configuration import Configuration, Endpoint
from fuchsiaroute.declaration._faults import Fault
from fuchsiaroute.declaration._range_rules import check_number

URL_SCHEMES = frozenset({"http", "https"})


def check_endpoints(configuration: Configuration) -> Iterator[Fault]:
    """Yield the faults of the endpoints in ``configuration``."""
    for index, endpoint in enumerate(configuration.endpoints):
        yield from _check_endpoint(f"endpoints[{index}]", endpoint)


def _check_endpoint(place: str, endpoint: Endpoint) -> Iterator[Fault]:
    if bool(endpoint.versions) == bool(endpoint.services):
        yield Fault(place=place, message="must serve either versions or services")
    yield from check_number(f"{place}.capacity", endpoint.capacity, low=1)
    yield from check_number(
        f"{place}.cold_capacity",
        endpoint.cold_capacity,
        low=1,
        high=max(endpoint.capacity, 1),
    )
    yield from check_number(f"{place}.warm_up", endpoint.warm_up, low=0)
    if not _is_ip_base_url(endpoint.url):
        yield Fault(
            place=f"{place}.url",
            message=f"{endpoint.url!r} is not a base URL by IP number with a port",
        )


def _is_ip_base_url(url: str) -> bool:
    try:
        parts = urlsplit(url)
        ipaddress.ip_address(parts.hostname or "")
        has_port = bool(parts.port)
    except ValueError:
        return False
    extras = parts.path.strip("/") or parts.query or parts.fragment or parts.username
    return parts.scheme in URL_SCHEMES and has_port and not extras
