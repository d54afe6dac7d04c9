"""The moment at which a request's first byte leaves."""

import httpx
from returns.result import Success

from fuchsiaroute.dispatch._call import (
    UNKNOWN_INCARNATION,
    DispatchOutcome,
    EndpointCall,
)
from fuchsiaroute.dispatch._status import EndpointStatus, read_status


class NotSentError(Exception):
    """The request was held back; no byte of it has left."""

    def __init__(self, outcome: DispatchOutcome, message: str) -> None:
        super().__init__(message)
        #: ``RESTARTED``, ``REVOKED`` or ``NOT_SENT``.
        self.outcome = outcome


class Sending:
    """
    Follows one request until its first byte leaves; implements ``SendingHook``.

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

    async def before_send(self, *, is_new_connection: bool) -> None:
        """Let the request leave, or raise ``NotSentError`` to hold it back."""
        self.is_new_connection = is_new_connection
        if is_new_connection:
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
