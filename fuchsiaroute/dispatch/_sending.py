"""The moment at which a request's first byte leaves."""

from typing import Any

import httpx
from returns.result import Success

from fuchsiaroute.dispatch._call import (
    UNKNOWN_INCARNATION,
    DispatchOutcome,
    EndpointCall,
)
from fuchsiaroute.dispatch._status import EndpointStatus, read_status

_CONNECTED = "connection.connect_tcp.complete"
_ABOUT_TO_SEND = "http11.send_request_headers.started"


class NotSentError(Exception):
    """The request was held back; no byte of it has left."""

    def __init__(self, outcome: DispatchOutcome, message: str) -> None:
        super().__init__(message)
        #: ``RESTARTED``, ``REVOKED`` or ``NOT_SENT``.
        self.outcome = outcome


class Sending:
    """
    Follows one request through the HTTP library's trace hook.

    An endpoint that restarts loses its connections, so a request on an old
    connection reaches the incarnation that the connection was checked for, or
    nobody. On a new connection the incarnation is read after connecting and before
    the first byte leaves.
    """

    def __init__(self, *, call: EndpointCall, client: httpx.AsyncClient) -> None:
        self._call = call
        self._client = client
        #: Whether the request has a connection that no request used before.
        self.is_new_connection = False
        #: Whether bytes of the request may have left.
        self.is_sent = False
        #: What the endpoint said when the connection was checked.
        self.status = EndpointStatus()

    async def trace(self, event: str, info: dict[str, Any]) -> None:
        """Take notice of an event; raises ``NotSentError`` to hold it back."""
        if event == _CONNECTED:
            self.is_new_connection = True
        elif event == _ABOUT_TO_SEND:
            if self.is_new_connection:
                await self._check_incarnation()
            if not self._call.may_send():
                raise NotSentError(DispatchOutcome.REVOKED, "the choice is out of date")
            self.is_sent = True

    async def _check_incarnation(self) -> None:
        expected = self._call.incarnation
        read = await read_status(self._client, self._call.url)
        if not isinstance(read, Success):
            raise NotSentError(DispatchOutcome.NOT_SENT, read.failure())
        self.status = read.unwrap()
        named = self.status.incarnation
        if UNKNOWN_INCARNATION not in (expected, named) and named != expected:
            raise NotSentError(DispatchOutcome.RESTARTED, "the endpoint has restarted")
