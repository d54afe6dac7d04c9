"""The transport of a connection to an endpoint through a peer."""

import asyncio
import socket
import struct
from typing import Any

#: ``SO_LINGER`` with a time of zero: closing sends a reset.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_CLOSED_DESCRIPTOR = -1


class TunnelTransport(asyncio.Transport):
    """
    Forwards to the transport of the connection to the peer.

    Its protocol gets what the endpoint sends, without the framing.
    """

    def __init__(
        self, transport: asyncio.Transport, protocol: asyncio.BaseProtocol
    ) -> None:
        super().__init__()
        self._transport = transport
        self._protocol = protocol

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return information on the connection to the peer."""
        return self._transport.get_extra_info(name, default)

    def get_protocol(self) -> asyncio.BaseProtocol:
        """Return the protocol that gets the endpoint's bytes."""
        return self._protocol

    def is_closing(self) -> bool:
        """Return whether the connection is closed or being closed."""
        return self._transport.is_closing()

    def close(self) -> None:
        """Close the connection once buffered bytes are written."""
        self._transport.close()

    def abort(self) -> None:
        """
        Reset the connection.

        A peer that waits for its endpoint to read would not see the end of the
        connection behind unread bytes; it sees a reset at once.
        """
        sock = self._transport.get_extra_info("socket")
        if sock.fileno() != _CLOSED_DESCRIPTOR:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self._transport.abort()

    def is_reading(self) -> bool:
        """Return whether the connection is read."""
        return self._transport.is_reading()

    def pause_reading(self) -> None:
        """Stop the reading of the connection."""
        self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Resume the reading of the connection."""
        self._transport.resume_reading()

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Send bytes to the endpoint."""
        self._transport.write(data)

    def can_write_eof(self) -> bool:
        """Return False: a connection is closed in both directions."""
        return False

    def get_write_buffer_size(self) -> int:
        """Return the bytes that the operating system has not taken."""
        return self._transport.get_write_buffer_size()

    def get_write_buffer_limits(self) -> tuple[int, int]:
        """Return the low and high water of the write buffer."""
        return self._transport.get_write_buffer_limits()

    def set_write_buffer_limits(
        self, high: int | None = None, low: int | None = None
    ) -> None:
        """Set the low and high water of the write buffer."""
        self._transport.set_write_buffer_limits(high, low)
