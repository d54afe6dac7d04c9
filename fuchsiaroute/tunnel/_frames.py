"""
Frames, in which a peer forwards what an endpoint sends.

A frame is its kind in one byte, the length of its data in four, and the data. An
endpoint that ends its connection is told from a connection that was lost by the frame
``END``: an answer without a length is complete only if it has arrived.
"""

import struct
from dataclasses import dataclass
from enum import Enum

from fuchsiaroute.tunnel._exceptions import TunnelDecodeError

#: Limit of the data of one frame.
MAX_FRAME_BYTES = 1024 * 1024
_HEADER = struct.Struct("!BI")


class FrameKind(Enum):
    """What a frame tells the instance."""

    #: Bytes that the endpoint sent.
    DATA = 0
    #: The endpoint has closed its connection; the last frame.
    END = 1
    #: The peer is shutting down: no request may follow the exchange in progress.
    LEAVING = 2


#: Least and greatest length of the data, by kind. A frame that neither carries data nor
#: can be sent once only would let a peer send frames without end.
_LENGTHS = {
    FrameKind.DATA: (1, MAX_FRAME_BYTES),
    FrameKind.END: (0, 0),
    FrameKind.LEAVING: (0, 0),
}
#: Kinds of which a tunnel carries one frame at most.
_SINGLE_KINDS = frozenset({FrameKind.END, FrameKind.LEAVING})


@dataclass(frozen=True)
class Frame:
    """A frame, or the part of a ``DATA`` frame that has arrived."""

    kind: FrameKind
    data: bytes = b""


def encode_frame(frame: Frame) -> bytes:
    """Return the bytes of ``frame``, whose data has at most ``MAX_FRAME_BYTES``."""
    return _HEADER.pack(frame.kind.value, len(frame.data)) + frame.data


class FrameDecoder:
    """Decodes frames that arrive in parts; buffers no data of a frame."""

    def __init__(self) -> None:
        self._header = bytearray()
        #: Bytes of the present ``DATA`` frame that have not arrived.
        self._missing = 0
        self._received: set[FrameKind] = set()

    def feed(self, data: bytes) -> list[Frame]:
        """
        Return the frames in ``data``; adjacent ``DATA`` frames are joined.

        Raises ``TunnelDecodeError``.
        """
        frames: list[Frame] = []
        parts: list[bytes] = []
        position = 0
        while position < len(data):
            if self._missing:
                part = data[position : position + self._missing]
                parts.append(part)
                self._missing -= len(part)
                position += len(part)
                continue
            start, position = position, position + _HEADER.size - len(self._header)
            self._header += data[start:position]
            if len(self._header) < _HEADER.size:
                break
            kind = self._read_header()
            if kind is not FrameKind.DATA:
                _join_data(parts, frames)
                frames.append(Frame(kind))
        _join_data(parts, frames)
        return frames

    def _read_header(self) -> FrameKind:
        if FrameKind.END in self._received:
            raise TunnelDecodeError("bytes after the end")
        number, length = _HEADER.unpack(self._header)
        self._header.clear()
        try:
            kind = FrameKind(number)
        except ValueError:
            raise TunnelDecodeError(f"frame of the unknown kind {number}") from None
        least, greatest = _LENGTHS[kind]
        if not least <= length <= greatest:
            raise TunnelDecodeError(f"{kind.name} frame of {length} bytes")
        if kind in _SINGLE_KINDS and kind in self._received:
            raise TunnelDecodeError(f"another {kind.name} frame")
        self._received.add(kind)
        self._missing = length
        return kind


def _join_data(parts: list[bytes], frames: list[Frame]) -> None:
    """Move ``parts`` to ``frames`` as one frame."""
    if parts:
        frames.append(Frame(FrameKind.DATA, b"".join(parts)))
        parts.clear()
