"""Which of the answers on a connection is to the request that was sent."""

import asyncio
from collections.abc import Callable

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.forwarding._call import Call
from fuchsiaroute.http1 import ClientConnection, Headers
from fuchsiaroute.ids import EndpointId
from fuchsiaroute.platform import (
    AnswerSubject,
    ResponseFields,
    answer_subject,
    read_response,
)

#: Least time for which an answer that names the request is awaited after one that
#: names none; routes without a latency target have no other.
MIN_PATIENCE = Milliseconds(500)
MILLISECONDS_PER_SECOND = 1_000


class AnswerMatcher:
    """
    Matches answers on a connection with a request.

    Endpoints name the request in their answers. One that names none may be an earlier
    one that is written again: on a connection that has carried other requests it is
    skipped, and a refusal always, as it would allow the request to be sent again. One
    from another endpoint, which the address belongs to now, is proof all the same: that
    endpoint runs no request that expects this one.

    The request may be running then. If it may run more than once, its connection is
    closed and it may be sent elsewhere. Otherwise the endpoint has some time left for
    the answer. ``on_unnamed`` receives the fields of an answer that was skipped.
    """

    def __init__(
        self,
        call: Call,
        endpoint: EndpointId,
        connection: ClientConnection,
        *,
        on_unnamed: Callable[[ResponseFields], None],
    ) -> None:
        self._call = call
        self._endpoint = endpoint
        self._connection = connection
        self._on_unnamed = on_unnamed
        self._is_first = connection.request_count == 0
        self._timer: asyncio.TimerHandle | None = None
        #: Whether an answer that names no request refuses one.
        self.has_unnamed_refusal = False

    def __call__(self, status: int, headers: Headers) -> bool:
        """Return whether an answer with this head is to the request."""
        subject = answer_subject(self._call.request_id, headers)
        if subject is AnswerSubject.THIS:
            self.stop()
        if subject is not AnswerSubject.UNNAMED:
            return subject is AnswerSubject.THIS
        # The next answer could not be told from this one.
        self._connection.refuse_further_requests()
        fields = read_response(status, headers)
        if fields.misdirected_to not in (None, self._endpoint):
            return True
        if self._is_first and not fields.is_not_run:
            return True
        self.has_unnamed_refusal |= fields.is_not_run
        self._on_unnamed(fields)
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(
                self._patience() / MILLISECONDS_PER_SECOND, self._connection.abort
            )
        return False

    def stop(self) -> None:
        """Stop waiting, as the answer has arrived or the exchange has ended."""
        if self._timer is not None:
            self._timer.cancel()

    def _patience(self) -> Milliseconds:
        """Return the time for which the answer is still awaited."""
        route = self._call.route
        if route.is_repeatable:
            return Milliseconds(0)
        return max(route.latency_target, MIN_PATIENCE)
