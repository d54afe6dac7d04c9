"""Checks right before the first byte of a request is sent."""

from collections.abc import Callable

import httpx
from returns.result import Success

from fuchsiaroute.dispatch._call import (
    UNKNOWN_INCARNATION,
    DispatchOutcome,
    EndpointCall,
)
from fuchsiaroute.dispatch._status import EndpointStatus, read_status


class NotSentError(Exception):
    """The request was not sent; no byte of it has left."""

    def __init__(self, outcome: DispatchOutcome, message: str) -> None:
        super().__init__(message)
        #: ``RESTARTED``, ``REVOKED`` or ``NOT_SENT``.
        self.outcome = outcome


class SendCheck:
    """
    Checks one request right before it is sent; implements ``SendingHook``.

    An endpoint that restarts loses its connections, so a request on a reused
    connection reaches the incarnation that the connection was checked for, or none.
    On a new connection the incarnation is read after connecting and before the first
    byte is sent.
    """

    def __init__(self, *, call: EndpointCall, client: httpx.AsyncClient) -> None:
        self._call = call
        self._client = client
        #: Whether the request is the first one on its connection.
        self.is_new_connection = False
        #: Whether bytes of the request may have been sent.
        self.is_sent = False
        #: Called right before the first byte of the request is sent.
        self.on_sent: Callable[[], None] = lambda: None
        #: Status that the endpoint reported when a new connection was checked.
        self.status = EndpointStatus()

    async def before_send(self, *, is_new_connection: bool) -> None:
        """Return to let the request be sent; raise ``NotSentError`` to prevent it."""
        self.is_new_connection = is_new_connection
        if is_new_connection:
            await self._check_incarnation()
        if not self._call.may_send():
            raise NotSentError(
                DispatchOutcome.REVOKED, "the choice of the endpoint is no longer valid"
            )
        self.is_sent = True
        self.on_sent()

    async def _check_incarnation(self) -> None:
        expected = self._call.incarnation
        result = await read_status(self._client, self._call.url)
        if not isinstance(result, Success):
            raise NotSentError(DispatchOutcome.NOT_SENT, result.failure())
        self.status = result.unwrap()
        reported = self.status.incarnation
        if UNKNOWN_INCARNATION not in (expected, reported) and reported != expected:
            raise NotSentError(DispatchOutcome.RESTARTED, "the endpoint has restarted")
