"""Opening of connections to endpoints through a peer."""

import asyncio
from typing import cast

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.http1 import (
    ClientConnection,
    ConnectError,
    MemoryBudget,
    NobodyListensError,
    connect_protocol,
)
from fuchsiaroute.tunnel._exceptions import (
    PathMissingError,
    PeerUnavailableError,
    TunnelDecodeError,
)
from fuchsiaroute.tunnel._frames import Frame, FrameDecoder, FrameKind
from fuchsiaroute.tunnel._messages import (
    FORMAT,
    MAX_CONNECT_TIMEOUT_MS,
    MessageReader,
    OpenReply,
    OpenRequest,
    OpenStatus,
    encode_message,
)
from fuchsiaroute.tunnel._transport import TunnelTransport

#: Share of the time left in which the peer connects to the endpoint. The rest is for
#: its reply that the endpoint did not answer.
CONNECT_SHARE = 0.75
MILLISECONDS_PER_SECOND = 1_000
_ERRORS: dict[OpenStatus, type[ConnectError]] = {
    OpenStatus.REFUSED: NobodyListensError,
    OpenStatus.NO_PATH: PathMissingError,
    OpenStatus.UNKNOWN_ENDPOINT: PathMissingError,
    OpenStatus.DRAINING: PeerUnavailableError,
    OpenStatus.LIMIT: PeerUnavailableError,
}


async def open_tunnel(
    peer_host: str,
    peer_port: int,
    *,
    host: str,
    port: int,
    clock: Clock,
    within: Milliseconds,
    budget: MemoryBudget | None = None,
) -> ClientConnection:
    """
    Open a connection to the endpoint at ``host`` and ``port`` through a peer.

    ``within`` is the timeout of the whole; ``budget`` counts the responses. Raises
    ``NobodyListensError`` if the peer found that nobody listens at the endpoint's
    address, ``PathMissingError`` if the peer has no path to the endpoint or does not
    know it, and ``PeerUnavailableError`` if the peer cannot be reached, does not answer
    in time, is draining, or is at its limit.
    """
    deadline = clock.now() + within
    connection = ClientConnection(clock=clock, budget=budget)
    try:
        tunnel = await connect_protocol(
            peer_host, peer_port, lambda: _ClientTunnel(connection), within
        )
    except ConnectError as error:
        raise PeerUnavailableError(f"connecting to the peer failed: {error}") from None
    left = Milliseconds(max(deadline - clock.now(), 0))
    try:
        async with asyncio.timeout(left / MILLISECONDS_PER_SECOND):
            status = await tunnel.open(host, port, left)
    except TimeoutError:
        tunnel.abort()
        raise PeerUnavailableError(f"no reply of the peer within {within} ms") from None
    except BaseException:
        tunnel.abort()
        raise
    if status is not OpenStatus.OPENED:
        tunnel.abort()
        raise _ERRORS[status](f"the peer opened no tunnel: {status.value}")
    return connection


class _ClientTunnel(asyncio.Protocol):
    """The connection to the peer; drives the connection to the endpoint."""

    def __init__(self, connection: ClientConnection) -> None:
        self._connection = connection
        self._reply = asyncio.get_running_loop().create_future()
        self._reader = MessageReader(OpenReply)
        self._decoder = FrameDecoder()
        self._is_open = False
        self._has_ended = False
        self._error: Exception | None = None

    async def open(self, host: str, port: int, within: Milliseconds) -> OpenStatus:
        """Return the peer's reply; raises ``PeerUnavailableError``."""
        timeout = int(within * CONNECT_SHARE)
        request = OpenRequest(
            format=FORMAT,
            host=host,
            port=port,
            timeout=min(max(timeout, 1), MAX_CONNECT_TIMEOUT_MS),
        )
        self._transport.write(encode_message(request))
        return cast(OpenStatus, await self._reply)

    def abort(self) -> None:
        """Close the connection at once."""
        self._transport.abort()

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Read the reply, and forward what the frames after it carry."""
        try:
            if not self._is_open:
                data = self._read_reply(data)
            frames = self._decoder.feed(data)
        except TunnelDecodeError as error:
            self._error = error
            self._transport.abort()
            return
        for frame in frames:
            if self._transport.is_closing():
                break
            self._handle(frame)

    def eof_received(self) -> bool:
        """Fail a tunnel that ended before the endpoint's connection."""
        if not self._has_ended:
            self._error = ConnectionResetError("the peer closed the tunnel")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the loss of the tunnel."""
        error = self._error or exc
        if self._is_open:
            self._connection.connection_lost(error)
        elif not self._reply.done():
            reason = f"the peer closed the connection: {error or 'closed'}"
            self._reply.set_exception(PeerUnavailableError(reason))
            # Marks the exception as retrieved, as the opening may have been given up.
            self._reply.exception()

    def pause_writing(self) -> None:
        """Forward to the connection."""
        if self._is_open:
            self._connection.pause_writing()

    def resume_writing(self) -> None:
        """Forward to the connection."""
        if self._is_open:
            self._connection.resume_writing()

    # Private

    def _read_reply(self, data: bytes) -> bytes:
        """Return the bytes after the reply."""
        found = self._reader.feed(data)
        if found is None:
            return b""
        reply, rest = found
        if self._reply.done():
            # The timeout has passed.
            return b""
        if reply.status is OpenStatus.OPENED:
            self._is_open = True
            self._connection.connection_made(
                TunnelTransport(self._transport, self._connection)
            )
        elif rest:
            raise TunnelDecodeError("bytes after a refusal")
        self._reply.set_result(reply.status)
        return rest

    def _handle(self, frame: Frame) -> None:
        match frame.kind:
            case FrameKind.DATA:
                self._connection.data_received(frame.data)
            case FrameKind.LEAVING:
                self._connection.refuse_further_requests()
            case FrameKind.END:
                self._has_ended = True
                if not self._connection.eof_received():
                    self._transport.close()
