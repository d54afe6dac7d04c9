"""One attempt of a request at one endpoint."""

import asyncio
from dataclasses import dataclass

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.forwarding._call import Call
from fuchsiaroute.forwarding._connection_pool import ConnectionPool
from fuchsiaroute.http1 import (
    ClientConnection,
    ConnectError,
    ExchangeError,
    NobodyListensError,
    NoConnectionLeftError,
    ResponseHead,
    encode_request,
)
from fuchsiaroute.ids import ModelId
from fuchsiaroute.lifecycle import OUTCOME_VERDICTS, Outcome
from fuchsiaroute.platform import (
    EventId,
    ResponseFields,
    endpoint_headers,
    is_response_to,
    read_response,
)
from fuchsiaroute.pool import Reservation
from fuchsiaroute.verdict import Verdict

#: Time left below which a request is not sent any more: no endpoint answers sooner.
LEAST_REMAINING = Milliseconds(15)
_MS = 1_000
_MISDIRECTED = 421


@dataclass(frozen=True, kw_only=True)
class AttemptFailure:
    """An attempt without a usable response; its place has been given back."""

    outcome: Outcome
    reason: str

    @property
    def verdict(self) -> Verdict:
        """Return whether the endpoint may have run the request."""
        return OUTCOME_VERDICTS[self.outcome]


class OpenResponse:
    """
    A response whose head has arrived, and the connection that its body comes from.

    ``close`` has to be called in every case.
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
        first_byte_after: Milliseconds,
    ) -> None:
        self._connection = connection
        self._reservation = reservation
        self._connections = connections
        self._is_closed = False
        #: Status line and header section.
        self.head = head
        #: What the header section says.
        self.fields = fields
        #: Model that the endpoint was told to use, if the router named one.
        self.model = model
        #: Time from the attempt's begin to the head.
        self.first_byte_after = first_byte_after

    @property
    def reservation(self) -> Reservation:
        """Return the place that the response occupies."""
        return self._reservation

    @property
    def is_success(self) -> bool:
        """Return whether the endpoint ran the request to a good end so far."""
        return 200 <= self.head.status < 300

    async def read(self) -> bytes:
        """Return the next part of the body, or empty bytes at its end."""
        return await self._connection.read()

    async def read_whole(self, *, limit: int) -> bytes:
        """Return the whole body."""
        return (await self._connection.read_whole(limit=limit)).data

    def close(self, outcome: Outcome) -> None:
        """Give the place and the connection back; a second time has no effect."""
        if self._is_closed:
            return
        self._is_closed = True
        endpoint = self._reservation.endpoint.id
        if outcome is Outcome.ANSWERED:
            self._connections.give_back(endpoint, self._connection)
        else:
            self._connections.drop(endpoint, self._connection)
        self._reservation.finish(outcome)


class EndpointClient:
    """Sends requests to endpoints."""

    def __init__(self, *, clock: Clock, connections: ConnectionPool) -> None:
        self._clock = clock
        self._connections = connections

    async def send(
        self,
        call: Call,
        reservation: Reservation,
        *,
        model: ModelId | None,
        resume_after: EventId | None,
        patience: Milliseconds,
    ) -> OpenResponse | AttemptFailure:
        """
        Send the request and wait at most ``patience`` for the head of the response.

        The endpoint's place is given back unless a response is returned.
        """
        endpoint = reservation.endpoint
        began = self._clock.now()
        try:
            connection = await self._connections.take(
                endpoint, is_repeatable=call.route.is_repeatable
            )
        except ConnectError as error:
            return _not_connected(reservation, error)
        except BaseException:
            reservation.revoke()
            raise
        remaining = call.remaining(self._clock)
        if not reservation.is_usable or remaining < LEAST_REMAINING:
            self._connections.give_back(endpoint.id, connection)
            reason = "the endpoint is leaving" if remaining > 0 else "too late to send"
            return _failed(reservation, Outcome.REVOKED, reason)
        data = self._encode(call, reservation, remaining, model, resume_after)
        outcome = Outcome.CANCELLED
        head: ResponseHead | None = None
        try:
            call.sent(endpoint.id)
            connection.send(
                data,
                lambda status, headers: is_response_to(call.request_id, headers),
                is_head=call.inbound.method == b"HEAD",
            )
            async with asyncio.timeout(min(patience, remaining) / _MS):
                head = await connection.head()
        except TimeoutError:
            outcome = Outcome.SILENT
            reason = f"no response within {min(patience, remaining)} ms"
        except ConnectError as error:
            call.not_run()
            outcome, reason = Outcome.FAILED_BEFORE_SENT, str(error)
        except ExchangeError as error:
            outcome, reason = Outcome.FAILED_AFTER_SENT, str(error)
        finally:
            if head is None:
                self._connections.drop(endpoint.id, connection)
                reservation.finish(outcome)
        if head is None:
            return AttemptFailure(outcome=outcome, reason=reason)
        reservation.answer_started()
        response = OpenResponse(
            connection=connection,
            head=head,
            fields=read_response(head.status, head.headers),
            reservation=reservation,
            connections=self._connections,
            model=model,
            first_byte_after=Milliseconds(self._clock.now() - began),
        )
        return self._judge(call, response)

    def _judge(
        self, call: Call, response: OpenResponse
    ) -> OpenResponse | AttemptFailure:
        status = response.head.status
        if response.fields.is_not_run:
            is_misdirected = status == _MISDIRECTED
            outcome = (
                Outcome.FAILED_BEFORE_SENT if is_misdirected else Outcome.REFUSED_FULL
            )
            response.close(outcome)
            call.not_run()
            return AttemptFailure(
                outcome=outcome, reason=f"rejected before it ran: status {status}"
            )
        if response.is_success and not response.fields.is_signed:
            response.close(Outcome.FAILED_AFTER_SENT)
            return AttemptFailure(
                outcome=Outcome.FAILED_AFTER_SENT, reason="success without signature"
            )
        return response

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


def _not_connected(reservation: Reservation, error: ConnectError) -> AttemptFailure:
    outcome = Outcome.FAILED_BEFORE_SENT
    if isinstance(error, NoConnectionLeftError):
        # The endpoint is not to blame, but has no room for this instance.
        outcome = Outcome.REFUSED_FULL
    elif isinstance(error, NobodyListensError):
        reservation.record_connection_refused()
    return _failed(reservation, outcome, str(error))


def _failed(reservation: Reservation, outcome: Outcome, reason: str) -> AttemptFailure:
    reservation.finish(outcome)
    return AttemptFailure(outcome=outcome, reason=reason)
