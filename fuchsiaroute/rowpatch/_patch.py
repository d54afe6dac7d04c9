"""Patches between two values of a row."""

import zlib
from collections.abc import Iterator
from dataclasses import dataclass

from fuchsiaroute.rowpatch._exceptions import PatchError
from fuchsiaroute.store import StorePosition

#: Byte at which values are divided into chunks, which are copied or not as a whole. In
#: JSON it ends an entry of a list of objects.
_SEPARATOR = b"}"
#: A patch that is larger than this share of the value is of no use.
MAX_SHARE = 0.8
#: Size of a copy in a message.
_COPY_BYTES = 8
#: Limit of a patched value; the store holds no larger rows.
MAX_VALUE_BYTES = 2_000_000

#: Start and length of bytes that are copied from the former value, or new bytes.
Piece = tuple[int, int] | bytes


@dataclass(frozen=True, kw_only=True)
class RowPatch:
    """What turns the value of a row at ``base`` into its value at ``revision``."""

    key: str
    base: StorePosition
    revision: StorePosition
    #: CRC-32 of the value at ``revision``.
    checksum: int
    pieces: tuple[Piece, ...]

    @property
    def size(self) -> int:
        """Return the approximate number of bytes in a message."""
        return sum(
            len(piece) if isinstance(piece, bytes) else _COPY_BYTES
            for piece in self.pieces
        )


def make_patch(
    key: str,
    former: bytes,
    value: bytes,
    *,
    base: StorePosition,
    revision: StorePosition,
) -> RowPatch | None:
    """Return the patch from ``former`` to ``value``; None if it saves too little."""
    patch = RowPatch(
        key=key,
        base=base,
        revision=revision,
        checksum=zlib.crc32(value),
        pieces=tuple(_pieces(former, value)),
    )
    return patch if patch.size <= MAX_SHARE * len(value) else None


def apply_patch(patch: RowPatch, former: bytes) -> bytes:
    """
    Return the value at ``patch.revision``.

    Raises ``PatchError`` if ``former`` is not the value that the patch was made from.
    """
    parts: list[bytes] = []
    size = 0
    for piece in patch.pieces:
        part = piece if isinstance(piece, bytes) else _copy(former, *piece)
        size += len(part)
        if size > MAX_VALUE_BYTES:
            raise PatchError(f"the value is larger than {MAX_VALUE_BYTES} bytes")
        parts.append(part)
    value = b"".join(parts)
    if zlib.crc32(value) != patch.checksum:
        raise PatchError("the checksum of the value differs")
    return value


def _copy(former: bytes, start: int, length: int) -> bytes:
    if not (start >= 0 and length >= 0 and start + length <= len(former)):
        raise PatchError(f"no {length} bytes at {start} of {len(former)}")
    return former[start : start + length]


def _chunks(value: bytes) -> list[bytes]:
    chunks = [chunk + _SEPARATOR for chunk in value.split(_SEPARATOR)]
    # What follows the last separator has none.
    chunks[-1] = chunks[-1][: -len(_SEPARATOR)]
    return chunks


def _pieces(former: bytes, value: bytes) -> Iterator[Piece]:
    """Return copies of the longest runs of equal chunks, and the chunks between."""
    former_chunks = _chunks(former)
    starts = [0]
    for chunk in former_chunks:
        starts.append(starts[-1] + len(chunk))
    index_of = {chunk: index for index, chunk in enumerate(former_chunks)}
    # First and next chunk of the present copy, and the new bytes before it.
    first = following = 0
    new: list[bytes] = []
    for chunk in _chunks(value):
        is_next = (
            first != following
            and following < len(former_chunks)
            and former_chunks[following] == chunk
        )
        if is_next:
            following += 1
            continue
        if first != following:
            yield starts[first], starts[following] - starts[first]
        found = index_of.get(chunk)
        if found is None:
            new.append(chunk)
            first = following = 0
            continue
        if new:
            yield b"".join(new)
            new = []
        first, following = found, found + 1
    if first != following:
        yield starts[first], starts[following] - starts[first]
    if new:
        yield b"".join(new)
