"""The client side of the peer protocol."""

import asyncio
import contextlib
import zlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TypeVar

from grpclib import GRPCError, Status
from grpclib.client import Channel, Stream
from grpclib.exceptions import ProtocolError, StreamTerminatedError
from returns.result import Failure, Result, Success

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.configuration import (
    AcceptedChange,
    NoChange,
    Snapshot,
    decode_change,
    make_snapshot,
)
from fuchsiaroute.ids import Incarnation, InstanceId, Revision
from fuchsiaroute.peer._convert import from_wire, to_wire
from fuchsiaroute.peer._generated import peer_pb2
from fuchsiaroute.peer._generated.peer_grpc import PeerStub
from fuchsiaroute.peer._messages import Heartbeat, PeerError, PeerErrorKind
from fuchsiaroute.peer._security import (
    TOKEN_FIELD,
    PeerKeys,
    TlsChoice,
    client_context,
)
from fuchsiaroute.store import TimedOut, run_with_timeout

#: Timeout of a heartbeat, for each of up to two attempts.
HEARTBEAT_TIMEOUT = Milliseconds(800)
#: Timeout of any other call, for each of up to two attempts.
CALL_TIMEOUT = Milliseconds(2_000)
#: Maximum size of a decompressed configuration fetched from a peer.
MAX_CONFIGURATION_BYTES = 32 * 1_024 * 1_024

_Answer = TypeVar("_Answer")
_FAILURES = (OSError, StreamTerminatedError, ProtocolError, asyncio.TimeoutError)


@dataclass(frozen=True, kw_only=True)
class PeerIdentity:
    """Credentials with which an entry authenticates to its peers."""

    instance: InstanceId
    keys: PeerKeys
    tls: TlsChoice


class PeerConnection:
    """
    Calls one peer over one connection.

    A connection can stop delivering bytes while a new one to the same peer works. A
    call that gets no response on an open connection is therefore repeated once on a
    new connection before it fails. Every call of the peer protocol is idempotent.
    """

    def __init__(self, address: str, identity: PeerIdentity, clock: Clock) -> None:
        host, _, port = address.rpartition(":")
        self._host = host.strip("[]")
        self._port = int(port)
        self._identity = identity
        self._clock = clock
        self._channel: Channel | None = None
        self._heartbeats: Stream[peer_pb2.Heartbeat, peer_pb2.Heartbeat] | None = None
        #: Number of connections opened.
        self.opened = 0

    def close(self) -> None:
        """Close the connection; the next call opens a new one."""
        if self._channel is not None:
            self._channel.close()
        self._channel = None
        self._heartbeats = None

    async def exchange(self, heartbeat: Heartbeat) -> Result[Heartbeat, PeerError]:
        """Send ``heartbeat`` and return the peer's own."""
        wire = to_wire(heartbeat)

        async def call(_: PeerStub) -> Heartbeat:
            stream = await self._heartbeat_stream()
            await stream.send_message(wire)
            answer = await stream.recv_message()
            if answer is None:
                raise ProtocolError("the heartbeat stream has ended")
            return from_wire(answer)

        return await self._call(call, HEARTBEAT_TIMEOUT)

    async def fetch_configuration(self, known: Revision) -> Snapshot | NoChange:
        """Return the peer's configuration if its revision is above ``known``."""
        request = peer_pb2.FetchConfigurationRequest(known_revision=known)

        async def call(stub: PeerStub) -> peer_pb2.FetchConfigurationReply:
            return await stub.FetchConfiguration(request, metadata=self._metadata())

        match await self._call(call, CALL_TIMEOUT):
            case Success(reply) if reply.revision > known:
                return _snapshot(reply)
            case _:
                return NoChange.TOKEN

    async def hold_records(
        self, owner: InstanceId, incarnation: Incarnation, batch: int, records: bytes
    ) -> Result[bool, PeerError]:
        """Send a copy of ``records`` to the peer; return whether the peer holds it."""
        request = peer_pb2.HoldRecordsRequest(
            owner=owner, incarnation=incarnation, batch=batch, records=records
        )

        async def call(stub: PeerStub) -> bool:
            reply = await stub.HoldRecords(request, metadata=self._metadata())
            return reply.is_held

        return await self._call(call, CALL_TIMEOUT)

    async def release_records(
        self, owner: InstanceId, incarnation: Incarnation, last_batch: int
    ) -> Result[None, PeerError]:
        """Remove the peer's copies of the batches up to ``last_batch``."""
        request = peer_pb2.ReleaseRecordsRequest(
            owner=owner, incarnation=incarnation, last_batch=last_batch
        )

        async def call(stub: PeerStub) -> None:
            await stub.ReleaseRecords(request, metadata=self._metadata())

        return await self._call(call, CALL_TIMEOUT)

    async def take_records(
        self, owner: InstanceId, incarnation: Incarnation
    ) -> Result[tuple[bytes, ...], PeerError]:
        """Return the records of ``owner`` that the peer holds."""
        request = peer_pb2.TakeRecordsRequest(owner=owner, incarnation=incarnation)

        async def call(stub: PeerStub) -> tuple[bytes, ...]:
            reply = await stub.TakeRecords(request, metadata=self._metadata())
            return tuple(reply.records)

        return await self._call(call, CALL_TIMEOUT)

    async def _call(
        self,
        call: Callable[[PeerStub], Awaitable[_Answer]],
        limit: Milliseconds,
    ) -> Result[_Answer, PeerError]:
        was_open = self._channel is not None
        outcome = await self._attempt(call, limit)
        has_no_response = (
            isinstance(outcome, Failure)
            and outcome.failure().kind is PeerErrorKind.SILENT
        )
        if has_no_response and was_open:
            outcome = await self._attempt(call, limit)
        return outcome

    async def _attempt(
        self,
        call: Callable[[PeerStub], Awaitable[_Answer]],
        limit: Milliseconds,
    ) -> Result[_Answer, PeerError]:
        outcome = await run_with_timeout(self._clock, limit, self._outcome(call))
        if isinstance(outcome, TimedOut):
            outcome = Failure(_no_response("no response in time"))
        if isinstance(outcome, Failure):
            self.close()
        return outcome

    async def _outcome(
        self, call: Callable[[PeerStub], Awaitable[_Answer]]
    ) -> Result[_Answer, PeerError]:
        # A call that is cancelled at its timeout ends with a grpclib exception. It is
        # caught here, since the awaiting code has already returned.
        try:
            return Success(await call(PeerStub(self._open_channel())))
        except GRPCError as error:
            return Failure(_grpc_error(error))
        except _FAILURES as error:
            return Failure(_no_response(f"{type(error).__name__}: {error}"))

    def _open_channel(self) -> Channel:
        if self._channel is None:
            self.opened += 1
            context = client_context(self._identity.tls)
            self._channel = Channel(self._host, self._port, ssl=context)
        return self._channel

    async def _heartbeat_stream(
        self,
    ) -> Stream[peer_pb2.Heartbeat, peer_pb2.Heartbeat]:
        if self._heartbeats is None:
            stub = PeerStub(self._open_channel())
            stream = stub.ExchangeHeartbeats.open(metadata=self._metadata())
            await stream.__aenter__()
            self._heartbeats = stream
        return self._heartbeats

    def _metadata(self) -> dict[str, str]:
        identity = self._identity
        return {TOKEN_FIELD: identity.keys.sign(identity.instance)}


def _snapshot(reply: peer_pb2.FetchConfigurationReply) -> Snapshot | NoChange:
    change = decode_change(reply.change)
    body = b""
    with contextlib.suppress(zlib.error):
        body = zlib.decompressobj().decompress(reply.body, MAX_CONFIGURATION_BYTES)
    if isinstance(change, AcceptedChange):
        match make_snapshot(change, body):
            case Success(Snapshot() as snapshot):
                return snapshot
    return NoChange.TOKEN


def _grpc_error(error: GRPCError) -> PeerError:
    refusal_statuses = {Status.UNAUTHENTICATED, Status.INVALID_ARGUMENT}
    is_refused = error.status in refusal_statuses
    kind = PeerErrorKind.REFUSED if is_refused else PeerErrorKind.SILENT
    return PeerError(kind=kind, message=f"{error.status.name}: {error.message}")


def _no_response(message: str) -> PeerError:
    return PeerError(kind=PeerErrorKind.SILENT, message=message)
