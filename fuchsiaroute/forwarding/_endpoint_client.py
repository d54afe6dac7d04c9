"""Sending a request to one endpoint and receiving the response head."""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any, Protocol

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.forwarding._answer_matcher import AnswerMatcher
from fuchsiaroute.forwarding._call import Call
from fuchsiaroute.forwarding._connection_pool import ConnectionPool
from fuchsiaroute.forwarding._endpoint_notices import EndpointNotices
from fuchsiaroute.forwarding._peer_connector import PathCutError
from fuchsiaroute.forwarding._result import Silence
from fuchsiaroute.http1 import (
    ClientConnection,
    ConnectError,
    ExchangeError,
    NobodyListensError,
    NoConnectionLeftError,
    ResponseHead,
    encode_request,
)
from fuchsiaroute.ids import EndpointId, ModelId
from fuchsiaroute.lifecycle import OUTCOME_VERDICTS, Outcome
from fuchsiaroute.platform import (
    EventId,
    ResponseFields,
    endpoint_headers,
    read_response,
    states_not_run,
)
from fuchsiaroute.pool import Reservation
from fuchsiaroute.verdict import Verdict

#: Remaining time below which a request is not sent: no endpoint answers sooner.
MIN_REMAINING_TO_SEND = Milliseconds(15)
MILLISECONDS_PER_SECOND = 1_000
_MISDIRECTED = 421


@dataclass(frozen=True, kw_only=True)
class AttemptFailure:
    """An attempt without a usable response; its reservation has been finished."""

    outcome: Outcome
    reason: str
    #: Time from the start of the attempt to its failure.
    duration: Milliseconds = Milliseconds(0)

    @property
    def verdict(self) -> Verdict:
        """Return whether the endpoint may have run the request."""
        return OUTCOME_VERDICTS[self.outcome]


class OpenResponse:
    """
    A response whose head has arrived, with the connection to read its body from.

    ``close`` must be called in every case.
    """

    def __init__(
        self,
        *,
        connection: ClientConnection,
        head: ResponseHead,
        fields: ResponseFields,
        reservation: Reservation,
        connections: ConnectionPool,
        model: ModelId | None,
        time_to_first_byte: Milliseconds,
    ) -> None:
        self._connection = connection
        self._reservation = reservation
        self._connections = connections
        self._is_closed = False
        #: Status line and header section.
        self.head = head
        #: Values decoded from the header section.
        self.fields = fields
        #: Model requested from the endpoint, if the route chooses one.
        self.model = model
        #: Time from the start of the attempt to the arrival of the head.
        self.time_to_first_byte = time_to_first_byte

    @property
    def reservation(self) -> Reservation:
        """Return the reservation that ``close`` finishes."""
        return self._reservation

    @property
    def is_success(self) -> bool:
        """Return whether the status code is in the 2xx range."""
        return 200 <= self.head.status < 300

    @property
    def is_false_refusal(self) -> bool:
        """Return whether its status denies a run that the endpoint does not deny."""
        return states_not_run(self.head.status) and not self.fields.is_not_run

    async def read(self) -> bytes:
        """Return the next part of the body; empty bytes at its end."""
        data = await self._connection.read()
        self._reservation.record_bytes()
        return data

    def keep(self, size: int) -> None:
        """Count ``size`` bytes that were read and are needed until the answer ends."""
        self._connection.keep(size)

    async def wait_readable(self) -> bool:
        """Wait until ``read`` does not wait; return whether it will not raise."""
        return await self._connection.wait_readable()

    async def wait_whole(self) -> bool:
        """Wait until the response has ended, unread; return whether it is whole."""
        return await self._connection.wait_whole()

    @property
    def ends_with_connection(self) -> bool:
        """Return whether neither a length nor a last chunk marks the body's end."""
        return self._connection.ends_with_connection

    @property
    def has_body_bytes(self) -> bool:
        """Return whether a part of the body has arrived."""
        return self._connection.has_body_bytes

    async def read_whole(self, *, limit: int) -> bytes:
        """Return the whole body; raise ``ExchangeError`` above ``limit`` bytes."""
        return (await self._connection.read_whole(limit=limit)).data

    def is_path_lost(self, outcome: Outcome) -> bool:
        """Return whether a failure may be one of the path to the endpoint."""
        endpoint = self._reservation.endpoint.id
        return self._connections.is_path_lost(endpoint, self._connection, outcome)

    def close(self, outcome: Outcome) -> None:
        """Finish the reservation and release the connection; idempotent."""
        if self._is_closed:
            return
        self._is_closed = True
        endpoint = self._reservation.endpoint.id
        if self.is_path_lost(outcome):
            outcome = Outcome.PATH_LOST
        if outcome is Outcome.ANSWERED:
            self._connections.release(endpoint, self._connection)
        else:
            self._connections.discard(endpoint, self._connection)
        self._reservation.finish(outcome)


class Replace(Protocol):
    """Looks for an endpoint that takes over; see ``StandbyRunner.replace``."""

    async def __call__(
        self,
        *,
        goes_on: Coroutine[Any, Any, bool],
        give_up: Callable[[], None],
    ) -> OpenResponse | Silence:
        """Return the response of another endpoint, or what becomes of the run."""
        ...


class EndpointClient:
    """Sends requests to endpoints and checks the heads of their responses."""

    def __init__(
        self,
        *,
        clock: Clock,
        connections: ConnectionPool,
        notices: EndpointNotices,
    ) -> None:
        self._clock = clock
        self._connections = connections
        self._notices = notices

    async def send(
        self,
        call: Call,
        reservation: Reservation,
        *,
        model: ModelId | None,
        resume_after: EventId | None,
        head_timeout: Milliseconds,
        replace: Replace | None,
    ) -> OpenResponse | AttemptFailure:
        """
        Send the request and wait for ``head_timeout`` for the response head.

        ``replace`` looks for another endpoint then, whose response is returned; without
        one, the wait begins again. The reservation is finished unless a response to it
        is returned.
        """
        endpoint = reservation.endpoint
        started_at = self._clock.now()
        try:
            connection = await self._connections.acquire(
                endpoint,
                is_repeatable=call.route.is_repeatable,
                may_reuse=_may_reuse_connection(call, endpoint.id),
            )
        except ConnectError as error:
            return _connect_failure(reservation, error)
        except BaseException:
            reservation.revoke()
            raise
        remaining = call.remaining(self._clock)
        if not reservation.is_usable or remaining < MIN_REMAINING_TO_SEND:
            self._connections.release(endpoint.id, connection)
            reason = (
                "the endpoint is leaving" if remaining > 0 else "the deadline passed"
            )
            return _finish_failed(reservation, Outcome.REVOKED, reason)
        data = self._encode(call, reservation, remaining, model, resume_after)
        outcome = Outcome.CANCELLED
        head: ResponseHead | OpenResponse | None = None
        matcher = AnswerMatcher(
            call,
            endpoint.id,
            connection,
            on_unnamed=lambda fields: self._notices.record(call, endpoint, fields),
        )
        try:
            call.record_sent(endpoint.id)
            reservation.record_sent()
            connection.send(data, matcher, is_head=call.inbound.method == b"HEAD")
            head = await self._await_head(call, connection, head_timeout, replace)
            outcome = Outcome.SILENT
            reason = f"no response within {min(head_timeout, remaining)} ms"
        except ConnectError as error:
            call.record_not_run()
            outcome, reason = Outcome.FAILED_BEFORE_SENT, str(error)
        except ExchangeError as error:
            outcome, reason = _broken_exchange(call, matcher, error)
        finally:
            matcher.stop()
            if not isinstance(head, ResponseHead):
                if self._connections.is_path_lost(endpoint.id, connection, outcome):
                    outcome = Outcome.PATH_LOST
                self._connections.discard(endpoint.id, connection)
                reservation.finish(outcome)
        if isinstance(head, OpenResponse):
            return head
        if head is None:
            duration = Milliseconds(self._clock.now() - started_at)
            return AttemptFailure(outcome=outcome, reason=reason, duration=duration)
        reservation.answer_started()
        reservation.record_bytes()
        response = OpenResponse(
            connection=connection,
            head=head,
            fields=read_response(head.status, head.headers),
            reservation=reservation,
            connections=self._connections,
            model=model,
            time_to_first_byte=Milliseconds(self._clock.now() - started_at),
        )
        return self._check_head(call, response, is_rest=resume_after is not None)

    async def _await_head(
        self,
        call: Call,
        connection: ClientConnection,
        interval: Milliseconds,
        replace: Replace | None,
    ) -> ResponseHead | OpenResponse | None:
        """Return the head, or another endpoint's response; None if there is neither."""
        while (remaining := call.remaining(self._clock)) > 0:
            try:
                async with asyncio.timeout(
                    min(interval, remaining) / MILLISECONDS_PER_SECOND
                ):
                    return await connection.head()
            except TimeoutError:
                if replace is None:
                    return None
            result = await replace(
                goes_on=_has_success(connection), give_up=connection.abort
            )
            if isinstance(result, OpenResponse):
                return result
            if result is Silence.GIVEN_UP:
                return None
        return None

    def _check_head(
        self, call: Call, response: OpenResponse, *, is_rest: bool
    ) -> OpenResponse | AttemptFailure:
        """Return ``response``, or a failure; ``is_rest`` for the rest of a stream."""
        status = response.head.status
        self._notices.record(call, response.reservation.endpoint, response.fields)
        if response.fields.is_not_run:
            is_misdirected = status == _MISDIRECTED
            outcome = (
                Outcome.FAILED_BEFORE_SENT if is_misdirected else Outcome.REFUSED_FULL
            )
            response.close(outcome)
            call.record_not_run()
            return AttemptFailure(
                outcome=outcome, reason=f"not run by the endpoint: status {status}"
            )
        reason = None
        if response.is_success and not response.fields.is_signed:
            reason = "2xx status without a signature"
        elif response.is_success and is_rest and _is_of_other_type(response.fields):
            reason = "an answer that is no series of events"
        if reason is None:
            return response
        response.close(Outcome.FAILED_AFTER_SENT)
        return AttemptFailure(outcome=Outcome.FAILED_AFTER_SENT, reason=reason)

    def _encode(
        self,
        call: Call,
        reservation: Reservation,
        remaining: Milliseconds,
        model: ModelId | None,
        resume_after: EventId | None,
    ) -> bytes:
        inbound = call.inbound
        headers = endpoint_headers(
            inbound.headers,
            endpoint=reservation.endpoint.id,
            organisation=call.organisation,
            remaining=remaining,
            priority=call.priority,
            model=model,
            resume_after=resume_after,
        )
        return encode_request(
            inbound.method,
            inbound.target,
            headers,
            inbound.body,
            has_body=inbound.has_body,
        )


def _may_reuse_connection(call: Call, endpoint: EndpointId) -> bool:
    """
    Return whether late answers on a kept connection are told from the one to this send.

    Answers to a request without an id name none. An endpoint that the request was sent
    to before may write its former answer once more, with the same id.
    """
    return call.request_id is not None and endpoint not in call.sent_to


async def _has_success(connection: ClientConnection) -> bool:
    """Wait for the response head; return whether it states success."""
    try:
        head = await connection.head()
    except ExchangeError:
        return False
    return 200 <= head.status < 300


def _broken_exchange(
    call: Call, matcher: AnswerMatcher, error: ExchangeError
) -> tuple[Outcome, str]:
    """Return the outcome of an exchange without an answer, and the reason."""
    if not matcher.has_unnamed_refusal:
        return Outcome.FAILED_AFTER_SENT, str(error)
    call.record_unnamed_refusal()
    reason = "the endpoint refused a request that it does not name"
    return Outcome.REFUSED_UNNAMED, reason


def _is_of_other_type(fields: ResponseFields) -> bool:
    """Return whether an answer says that it is no event stream."""
    return fields.is_event_stream is False


def _connect_failure(reservation: Reservation, error: ConnectError) -> AttemptFailure:
    outcome = Outcome.FAILED_BEFORE_SENT
    if isinstance(error, NoConnectionLeftError):
        # The endpoint has not failed; this instance has used up its connections.
        outcome = Outcome.REFUSED_FULL
    elif isinstance(error, PathCutError):
        outcome = Outcome.PATH_CUT
    elif isinstance(error, NobodyListensError):
        reservation.record_connection_refused()
    return _finish_failed(reservation, outcome, str(error))


def _finish_failed(
    reservation: Reservation, outcome: Outcome, reason: str
) -> AttemptFailure:
    reservation.finish(outcome)
    return AttemptFailure(outcome=outcome, reason=reason)
