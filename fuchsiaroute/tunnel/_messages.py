"""
The messages with which a tunnel is opened: msgpack arrays after their length.

Fields are encoded by position; a change of their order or meaning needs a new
``FORMAT``.
"""

import struct
from enum import Enum
from typing import Annotated, Generic, TypeVar

import msgspec

from fuchsiaroute.decoding import MalformedDataError, decode
from fuchsiaroute.tunnel._exceptions import TunnelDecodeError

#: Version of the encoding of messages and frames. Another version is rejected.
FORMAT = 1
#: Limit of an encoded message; a host name has 253 bytes at most.
MAX_MESSAGE_BYTES = 1_024
MAX_HOST_LENGTH = 253
MAX_PORT = 65_535
#: Limit of the time that an instance may ask its peer to spend on connecting.
MAX_CONNECT_TIMEOUT_MS = 10_000
_LENGTH = struct.Struct("!I")


class OpenStatus(Enum):
    """The outcome of an attempt to open a tunnel."""

    OPENED = "opened"
    #: Nobody listens at the endpoint's address.
    REFUSED = "refused"
    #: The peer's connection to the endpoint timed out or failed otherwise.
    NO_PATH = "no-path"
    #: The peer knows no endpoint at this address.
    UNKNOWN_ENDPOINT = "unknown-endpoint"
    #: The peer is shutting down.
    DRAINING = "draining"
    #: The peer carries as many tunnels as it may.
    LIMIT = "limit"


class OpenRequest(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Asks a peer for a connection to an endpoint."""

    format: int
    host: Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_HOST_LENGTH)]
    port: Annotated[int, msgspec.Meta(ge=1, le=MAX_PORT)]
    #: Time within which the peer connects to the endpoint, in milliseconds.
    timeout: Annotated[int, msgspec.Meta(ge=1, le=MAX_CONNECT_TIMEOUT_MS)]


class OpenReply(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Says whether the tunnel is open. Only an open one carries bytes after it."""

    format: int
    status: OpenStatus


Message = OpenRequest | OpenReply
_MessageT = TypeVar("_MessageT", OpenRequest, OpenReply)
_ENCODER = msgspec.msgpack.Encoder()


def encode_message(message: Message) -> bytes:
    """Return the bytes of ``message``, with its length before it."""
    data = _ENCODER.encode(message)
    return _LENGTH.pack(len(data)) + data


class MessageReader(Generic[_MessageT]):
    """Decodes one message that arrives in parts."""

    def __init__(self, message_type: type[_MessageT]) -> None:
        self._decoder: msgspec.msgpack.Decoder[_MessageT] = msgspec.msgpack.Decoder(
            message_type
        )
        self._buffer = bytearray()

    def feed(self, data: bytes) -> tuple[_MessageT, bytes] | None:
        """
        Return the message and the bytes after it; None until it is complete.

        Raises ``TunnelDecodeError``.
        """
        self._buffer += data
        if len(self._buffer) < _LENGTH.size:
            return None
        (length,) = _LENGTH.unpack_from(self._buffer)
        if length > MAX_MESSAGE_BYTES:
            raise TunnelDecodeError(f"message of {length} bytes")
        end = _LENGTH.size + length
        if len(self._buffer) < end:
            return None
        message = self._decode(bytes(self._buffer[_LENGTH.size : end]))
        return message, bytes(self._buffer[end:])

    def _decode(self, data: bytes) -> _MessageT:
        try:
            message = decode(self._decoder, data)
        except MalformedDataError as error:
            raise TunnelDecodeError(f"malformed message: {error}") from None
        if message.format != FORMAT:
            raise TunnelDecodeError(f"message of format {message.format}")
        return message
