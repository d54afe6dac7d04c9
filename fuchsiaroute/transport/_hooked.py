"""Connector with a hook that runs before the first byte of a request is sent."""

import socket
from contextvars import ContextVar
from typing import Any, Protocol
from weakref import WeakSet

import aiohttp
from aiohttp.client_proto import ResponseHandler

from fuchsiaroute.clock import Milliseconds

#: TCP_USER_TIMEOUT: maximum time for which sent bytes may stay unacknowledged.
USER_TIMEOUT = Milliseconds(10_000)
#: TCP keepalive: idle time before the first probe, interval, number of probes.
KEEPALIVE_IDLE_SECONDS = 5
KEEPALIVE_INTERVAL_SECONDS = 2
KEEPALIVE_PROBES = 3

_SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(USER_TIMEOUT)),
)


class SendingHook(Protocol):
    """Hook of one request; implemented by the code that sends it."""

    async def before_send(self, *, is_new_connection: bool) -> None:
        """Return to send the request; raise to cancel it before it is sent."""


class NoHook:
    """Sends every request without delay; implements ``SendingHook``."""

    async def before_send(self, *, is_new_connection: bool) -> None:
        """Return immediately."""


#: Hook of the request that the current task sends.
sending_hook: ContextVar[SendingHook] = ContextVar("sending_hook")
_NO_HOOK = NoHook()


class HookedConnector(aiohttp.TCPConnector):
    """Connector that awaits ``sending_hook`` once a request has its connection."""

    def __init__(self, **options: Any) -> None:
        super().__init__(socket_factory=_open_socket, **options)
        self._unused: WeakSet[ResponseHandler] = WeakSet()

    async def connect(
        self,
        req: Any,
        traces: Any,
        timeout: Any,  # noqa: ASYNC109
    ) -> aiohttp.connector.Connection:
        """Return a connection; raises what the hook raises and closes it then."""
        connection = await super().connect(req, traces, timeout)
        protocol = connection.protocol
        is_new = protocol in self._unused
        if protocol is not None:
            self._unused.discard(protocol)
        try:
            hook = sending_hook.get(_NO_HOOK)
            await hook.before_send(is_new_connection=is_new)
        except BaseException:
            connection.close()
            raise
        return connection

    async def _create_connection(
        self,
        req: Any,
        traces: Any,
        timeout: Any,  # noqa: ASYNC109
    ) -> ResponseHandler:
        protocol = await super()._create_connection(req, traces, timeout)
        self._unused.add(protocol)
        return protocol


def _open_socket(address: Any) -> socket.socket:
    family, kind, protocol, _, _ = address
    opened = socket.socket(family=family, type=kind, proto=protocol)
    for level, option, value in _SOCKET_OPTIONS:
        opened.setsockopt(level, option, value)
    return opened
