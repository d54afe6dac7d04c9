"""Construction of HTTP clients for endpoints and for the platform."""

import aiohttp
import httpx

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.transport._checked import CheckedTransport

MILLISECONDS_PER_SECOND = 1_000
DEFAULT_CONNECT_TIMEOUT = Milliseconds(1_000)
DEFAULT_MAX_CONNECTIONS = 1_024
#: Idle connections are closed before common NATs and firewalls drop their state.
KEEP_ALIVE = Milliseconds(15_000)


def build_client(
    *,
    base_url: str = "",
    connect_timeout: Milliseconds = DEFAULT_CONNECT_TIMEOUT,
    read_timeout: Milliseconds = Milliseconds(0),
    max_connections: int = DEFAULT_MAX_CONNECTIONS,
    connector_class: type[aiohttp.TCPConnector] = aiohttp.TCPConnector,
) -> httpx.AsyncClient:
    """
    Return a client; call it within a running event loop.

    ``read_timeout`` is the maximum wait for the next bytes. With 0 there is no timeout,
    and the caller has to limit the wait.
    """

    def session() -> aiohttp.ClientSession:
        connector = connector_class(
            limit=max_connections, keepalive_timeout=_seconds(KEEP_ALIVE)
        )
        return aiohttp.ClientSession(
            connector=connector, cookie_jar=aiohttp.DummyCookieJar()
        )

    # verify=False keeps the transport from creating a TLS context, which would load
    # the certificates of all public authorities into memory.
    transport = CheckedTransport(verify=False, client=session, trust_env=False)
    timeout = httpx.Timeout(
        _seconds(read_timeout) if read_timeout else None,
        connect=_seconds(connect_timeout),
    )
    return httpx.AsyncClient(
        base_url=base_url, transport=transport, timeout=timeout, trust_env=False
    )


def _seconds(duration: Milliseconds) -> float:
    return duration / MILLISECONDS_PER_SECOND
