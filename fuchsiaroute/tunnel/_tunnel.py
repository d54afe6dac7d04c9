"""One tunnel at the peer: the connections to an instance and to an endpoint."""

import asyncio
import select
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import cast

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.http1 import ConnectError, DeadPathDetection, NobodyListensError
from fuchsiaroute.linelog import LineLog
from fuchsiaroute.tunnel._exceptions import TunnelDecodeError
from fuchsiaroute.tunnel._frames import Frame, FrameKind, encode_frame
from fuchsiaroute.tunnel._messages import (
    FORMAT,
    MessageReader,
    OpenReply,
    OpenRequest,
    OpenStatus,
    encode_message,
)

#: Connections that may be open without a request for a tunnel.
MAX_UNUSED_CONNECTIONS = 64
#: Time without bytes for which a tunnel may belong to an exchange that goes on.
EXCHANGE_PAUSE = Milliseconds(1_000)
_HANGUP_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR

#: Opens a connection to a host and port for the protocol that the function returns,
#: within a timeout. Raises ``ConnectError``.
Connect = Callable[
    [str, int, Callable[[], asyncio.Protocol], Milliseconds],
    Awaitable[asyncio.Protocol],
]


class TunnelState(Enum):
    """What a tunnel waits for or does."""

    #: The request to open it has not arrived in whole.
    REQUESTED = "requested"
    #: The connection to the endpoint is being opened.
    CONNECTING = "connecting"
    #: Forwards bytes.
    OPEN = "open"
    #: Refused or ended; bytes to the instance may be unsent.
    ENDED = "ended"


_UNANSWERED_STATES = frozenset({TunnelState.REQUESTED, TunnelState.CONNECTING})


@dataclass(frozen=True, kw_only=True)
class TunnelContext:
    """What all tunnels of a peer share."""

    connect: Connect
    is_known: Callable[[str, int], bool]
    is_draining: Callable[[], bool]
    max_tunnels: int
    #: Time within which the request for a tunnel has to arrive.
    request_timeout: Milliseconds
    #: Time without bytes in either direction after which a tunnel is closed.
    idle_timeout: Milliseconds
    clock: Clock
    log: LineLog
    #: All connections of instances.
    tunnels: set["Tunnel"] = field(default_factory=set)

    @property
    def count(self) -> int:
        """Return the number of tunnels, without connections that asked for none."""
        return sum(tunnel.is_requested for tunnel in self.tunnels)


class Tunnel(asyncio.Protocol):
    """The connection of an instance, and what it forwards to the endpoint."""

    def __init__(self, context: TunnelContext) -> None:
        self._context = context
        self._state = TunnelState.REQUESTED
        self._reader = MessageReader(OpenRequest)
        self._address = ""
        self._connecting: asyncio.Task[None] | None = None
        self._endpoint: asyncio.Transport | None = None
        self._started_at = self._moved_at = context.clock.now()
        self._reason = "the instance closed it"
        self._is_leaving = False
        self._is_input_paused = False
        #: Whether the latest bytes came from the instance.
        self._awaits_answer = False
        self._unsent = 0
        #: Bytes to each side since the other side has last sent some.
        self._request_bytes = 0
        self._answer_bytes = 0

    @property
    def is_requested(self) -> bool:
        """Return whether the instance has asked for a connection to an endpoint."""
        return self._state is not TunnelState.REQUESTED

    @property
    def is_active(self) -> bool:
        """
        Return whether an exchange may be in progress or bytes are unsent.

        An instance closes idle tunnels of a peer that announced its leaving.
        """
        if self._transport.get_write_buffer_size():
            return True
        if self._state is TunnelState.OPEN:
            since = self._context.clock.now() - self._moved_at
            return self._awaits_answer or self._is_leaving or since < EXCHANGE_PAUSE
        return self._state is TunnelState.CONNECTING

    def announce_leaving(self) -> None:
        """Tell the instance once to send no further request."""
        if self._state is TunnelState.OPEN and not self._is_leaving:
            self._is_leaving = True
            self._transport.write(encode_frame(Frame(FrameKind.LEAVING)))

    def check(self) -> None:
        """Close the tunnel if its time is over or the instance has gone."""
        now = self._context.clock.now()
        unsent = self._transport.get_write_buffer_size()
        if unsent != self._unsent:
            self._unsent = unsent
            self._moved_at = now
        if self._state is TunnelState.REQUESTED:
            if now - self._started_at >= self._context.request_timeout:
                self.abort("no request in time")
        elif now - self._moved_at >= self._context.idle_timeout:
            self.abort("idle")
        elif self._is_input_paused and _is_hung_up(self._transport):
            self.abort("the instance closed it")

    def abort(self, reason: str) -> None:
        """Close both connections at once."""
        self._reason = reason
        self._state = TunnelState.ENDED
        self._close_endpoint()
        self._transport.abort()

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport; close a connection too many."""
        self._transport = cast(asyncio.Transport, transport)
        tunnels = self._context.tunnels
        tunnels.add(self)
        if len(tunnels) > self._context.max_tunnels + MAX_UNUSED_CONNECTIONS:
            self.abort("too many connections")
            return
        self._dead_paths = DeadPathDetection(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        """Read the request, or forward bytes to the endpoint."""
        self._moved_at = self._context.clock.now()
        match self._state:
            case TunnelState.REQUESTED:
                self._read_request(data)
            case TunnelState.CONNECTING:
                self._fail("bytes before the reply")
            case TunnelState.OPEN:
                self._forward_request(data)
            case TunnelState.ENDED:
                # Sent before the instance has learned of the end.
                pass

    def eof_received(self) -> bool:
        """Close both connections at once; unsent bytes have no receiver."""
        self.abort(self._reason)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Close the connection to the endpoint."""
        self._context.tunnels.discard(self)
        if exc is not None and self._state is not TunnelState.ENDED:
            self._reason = f"the instance's connection was lost: {exc}"
        self._state = TunnelState.ENDED
        self._close_endpoint()
        self._context.log.write(
            "tunnel:closed",
            endpoint=self._address,
            reason=self._reason,
            lasted_ms=self._context.clock.now() - self._started_at,
        )

    def pause_writing(self) -> None:
        """Stop reading from the endpoint until the instance has read."""
        if self._endpoint is not None:
            self._endpoint.pause_reading()

    def resume_writing(self) -> None:
        """Resume reading from the endpoint."""
        if self._endpoint is not None:
            self._endpoint.resume_reading()

    # Of the connection to the endpoint

    def endpoint_connected(self, endpoint: asyncio.Transport) -> None:
        """Tell the instance that the tunnel is open."""
        if self._state is not TunnelState.CONNECTING:
            endpoint.abort()
            return
        if self._context.is_draining():
            endpoint.abort()
            self._refuse(OpenStatus.DRAINING, "draining")
            return
        self._endpoint = endpoint
        self._endpoint_paths = DeadPathDetection(endpoint.get_extra_info("socket"))
        self._state = TunnelState.OPEN
        self._reply(OpenStatus.OPENED)

    def endpoint_sent(self, data: bytes) -> None:
        """Forward bytes to the instance."""
        if self._state is not TunnelState.OPEN:
            return
        self._moved_at = self._context.clock.now()
        self._awaits_answer = False
        self._request_bytes = 0
        self._answer_bytes += len(data)
        self._dead_paths.limit_unacknowledged_time(self._answer_bytes)
        self._transport.write(encode_frame(Frame(FrameKind.DATA, data)))

    def endpoint_ended(self) -> None:
        """Tell the instance that the endpoint has closed its connection."""
        if self._state is TunnelState.OPEN:
            self._transport.write(encode_frame(Frame(FrameKind.END)))
            self._end("the endpoint closed its connection")

    def endpoint_lost(self, exc: Exception | None) -> None:
        """Close the instance's connection without ``END``."""
        if self._state is TunnelState.OPEN:
            self._end(f"the endpoint's connection was lost: {exc or 'closed'}")

    def endpoint_paused(self) -> None:
        """Stop reading from the instance until the endpoint has read."""
        self._is_input_paused = True
        self._transport.pause_reading()

    def endpoint_resumed(self) -> None:
        """Resume reading from the instance."""
        self._is_input_paused = False
        self._transport.resume_reading()

    # Private

    def _read_request(self, data: bytes) -> None:
        try:
            found = self._reader.feed(data)
        except TunnelDecodeError as error:
            self._fail(str(error))
            return
        if found is None:
            return
        request, rest = found
        if rest:
            self._fail("bytes before the reply")
            return
        self._address = f"{request.host}:{request.port}"
        refusal = self._find_refusal(request)
        if refusal is not None:
            self._refuse(refusal, refusal.value)
            return
        self._state = TunnelState.CONNECTING
        self._connecting = asyncio.create_task(self._connect(request))

    def _find_refusal(self, request: OpenRequest) -> OpenStatus | None:
        context = self._context
        if context.is_draining():
            return OpenStatus.DRAINING
        if not context.is_known(request.host, request.port):
            return OpenStatus.UNKNOWN_ENDPOINT
        if context.count >= context.max_tunnels:
            return OpenStatus.LIMIT
        return None

    async def _connect(self, request: OpenRequest) -> None:
        try:
            await self._context.connect(
                request.host,
                request.port,
                lambda: _EndpointSide(self),
                Milliseconds(request.timeout),
            )
        except NobodyListensError as error:
            self._refuse(OpenStatus.REFUSED, str(error))
        except ConnectError as error:
            self._refuse(OpenStatus.NO_PATH, str(error))
        except Exception as error:
            # Without a reply the instance would wait until its timeout.
            self._refuse(OpenStatus.NO_PATH, repr(error))

    def _forward_request(self, data: bytes) -> None:
        assert self._endpoint is not None
        self._awaits_answer = True
        self._answer_bytes = 0
        self._request_bytes += len(data)
        self._endpoint_paths.limit_unacknowledged_time(self._request_bytes)
        self._endpoint.write(data)

    def _reply(self, status: OpenStatus) -> None:
        self._transport.write(encode_message(OpenReply(format=FORMAT, status=status)))

    def _refuse(self, status: OpenStatus, reason: str) -> None:
        if self._state not in _UNANSWERED_STATES:
            return
        self._reply(status)
        self._end(f"refused: {reason}")

    def _fail(self, reason: str) -> None:
        self._context.log.write(
            "tunnel:malformed",
            peer=str(self._transport.get_extra_info("peername")),
            reason=reason,
        )
        self.abort(reason)

    def _end(self, reason: str) -> None:
        """Close the instance's connection once buffered bytes are written."""
        self._reason = reason
        self._state = TunnelState.ENDED
        self._transport.close()

    def _close_endpoint(self) -> None:
        if self._connecting is not None:
            self._connecting.cancel()
        if self._endpoint is not None:
            self._endpoint.abort()


class _EndpointSide(asyncio.Protocol):
    """The connection to the endpoint."""

    def __init__(self, tunnel: Tunnel) -> None:
        self._tunnel = tunnel

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._tunnel.endpoint_connected(cast(asyncio.Transport, transport))

    def data_received(self, data: bytes) -> None:
        self._tunnel.endpoint_sent(data)

    def eof_received(self) -> bool:
        self._tunnel.endpoint_ended()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._tunnel.endpoint_lost(exc)

    def pause_writing(self) -> None:
        self._tunnel.endpoint_paused()

    def resume_writing(self) -> None:
        self._tunnel.endpoint_resumed()


def _is_hung_up(transport: asyncio.Transport) -> bool:
    """Return whether the other side has closed a connection that is not read."""
    poller = select.poll()
    poller.register(transport.get_extra_info("socket"), _HANGUP_EVENTS)
    return bool(poller.poll(0))
