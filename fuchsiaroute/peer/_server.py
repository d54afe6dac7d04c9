"""The server side of the peer protocol."""

import zlib
from typing import TypeVar

from grpclib import GRPCError, Status
from grpclib.config import Configuration as ConnectionOptions
from grpclib.events import RecvRequest, listen
from grpclib.server import Server, Stream

from fuchsiaroute.configuration import Snapshot, encode_change
from fuchsiaroute.ids import Incarnation, InstanceId, Revision
from fuchsiaroute.peer._convert import from_wire, to_wire
from fuchsiaroute.peer._generated import peer_pb2
from fuchsiaroute.peer._generated.peer_grpc import PeerBase
from fuchsiaroute.peer._handler import PeerHandler, RecordHolder
from fuchsiaroute.peer._messages import MAX_RECORDS_BYTES
from fuchsiaroute.peer._security import (
    TOKEN_FIELD,
    PeerKeys,
    TlsChoice,
    server_context,
)

#: HTTP/2 pings: interval, and timeout after which the connection is closed.
KEEPALIVE_SECONDS = 30.0
KEEPALIVE_TIMEOUT_SECONDS = 10.0

_Request = TypeVar("_Request")
_Reply = TypeVar("_Reply")


class _Service(PeerBase):
    """Passes calls of peers to the handler and the record holder."""

    def __init__(self, handler: PeerHandler, holder: RecordHolder) -> None:
        self._handler = handler
        self._holder = holder

    async def ExchangeHeartbeats(  # noqa: N802
        self, stream: Stream[peer_pb2.Heartbeat, peer_pb2.Heartbeat]
    ) -> None:
        async for wire in stream:
            answer = self._handler.answer_heartbeat(from_wire(wire))
            await stream.send_message(to_wire(answer))

    async def FetchConfiguration(  # noqa: N802
        self,
        stream: Stream[
            peer_pb2.FetchConfigurationRequest, peer_pb2.FetchConfigurationReply
        ],
    ) -> None:
        request = await _received(stream)
        held = self._handler.newer_configuration(Revision(request.known_revision))
        reply = peer_pb2.FetchConfigurationReply()
        if isinstance(held, Snapshot):
            reply.revision = held.change.revision
            reply.change = encode_change(held.change)
            reply.body = zlib.compress(held.body)
        await stream.send_message(reply)

    async def HoldRecords(  # noqa: N802
        self, stream: Stream[peer_pb2.HoldRecordsRequest, peer_pb2.HoldRecordsReply]
    ) -> None:
        request = await _received(stream)
        is_held = len(request.records) <= MAX_RECORDS_BYTES and self._holder.hold(
            InstanceId(request.owner),
            Incarnation(request.incarnation),
            request.batch,
            request.records,
        )
        await stream.send_message(peer_pb2.HoldRecordsReply(is_held=is_held))

    async def ReleaseRecords(  # noqa: N802
        self,
        stream: Stream[peer_pb2.ReleaseRecordsRequest, peer_pb2.ReleaseRecordsReply],
    ) -> None:
        request = await _received(stream)
        self._holder.release(
            InstanceId(request.owner),
            Incarnation(request.incarnation),
            request.last_batch,
        )
        await stream.send_message(peer_pb2.ReleaseRecordsReply())

    async def TakeRecords(  # noqa: N802
        self, stream: Stream[peer_pb2.TakeRecordsRequest, peer_pb2.TakeRecordsReply]
    ) -> None:
        request = await _received(stream)
        records = self._holder.take(
            InstanceId(request.owner), Incarnation(request.incarnation)
        )
        await stream.send_message(peer_pb2.TakeRecordsReply(records=records))


class PeerServer:
    """Accepts calls of the entries of the same deployment."""

    def __init__(
        self,
        handler: PeerHandler,
        *,
        keys: PeerKeys,
        tls: TlsChoice,
        holder: RecordHolder,
    ) -> None:
        self._keys = keys
        self._tls = tls
        options = ConnectionOptions(
            _keepalive_time=KEEPALIVE_SECONDS,
            _keepalive_timeout=KEEPALIVE_TIMEOUT_SECONDS,
        )
        self._server = Server([_Service(handler, holder)], config=options)
        listen(self._server, RecvRequest, self._authenticate)

    async def start(self, host: str, port: int) -> None:
        """Listen on ``host`` and ``port``."""
        await self._server.start(host, port, ssl=server_context(self._tls))

    async def stop(self) -> None:
        """Close the listening socket and every connection."""
        self._server.close()
        await self._server.wait_closed()

    async def _authenticate(self, event: RecvRequest) -> None:
        token = event.metadata.get(TOKEN_FIELD, "")
        if not isinstance(token, str) or not self._keys.is_valid(token):
            raise GRPCError(Status.UNAUTHENTICATED, "the peer key is not accepted")


async def _received(stream: Stream[_Request, _Reply]) -> _Request:
    request = await stream.recv_message()
    if request is None:
        raise GRPCError(Status.INVALID_ARGUMENT, "a request is missing")
    return request
