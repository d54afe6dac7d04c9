"""Byte deltas between two bodies that share a prefix and a suffix."""

from dataclasses import dataclass

import msgspec


@dataclass(frozen=True, kw_only=True)
class Delta:
    """Replacement of the bytes between the common prefix and suffix of two bodies."""

    #: Length of the common prefix in bytes.
    prefix: int
    #: Length of the common suffix in bytes; it doesn't overlap the prefix.
    suffix: int
    #: Bytes of the new body between prefix and suffix.
    middle: bytes


def compute_delta(old: bytes, new: bytes) -> Delta:
    """Return the delta that turns ``old`` into ``new``."""
    prefix = _common_length(old, new)
    old_rest, new_rest = old[prefix:], new[prefix:]
    suffix = _common_length(old_rest[::-1], new_rest[::-1])
    middle = new_rest[: len(new_rest) - suffix]
    return Delta(prefix=prefix, suffix=suffix, middle=middle)


def apply_delta(old: bytes, delta: Delta) -> bytes:
    """
    Return ``old`` with ``delta`` applied.

    The result is wrong if ``old`` isn't the body that the delta was computed from, so
    the caller must check its digest.
    """
    end = old[len(old) - delta.suffix :]
    return old[: delta.prefix] + delta.middle + end


def encode_delta(delta: Delta) -> bytes:
    """Return ``delta`` as MessagePack."""
    return msgspec.msgpack.encode(delta)


def decode_delta(encoded: bytes) -> Delta:
    """Return the delta in a record; an empty value gives an empty delta."""
    if not encoded:
        return Delta(prefix=0, suffix=0, middle=b"")
    return msgspec.msgpack.decode(encoded, type=Delta)


def _common_length(left: bytes, right: bytes) -> int:
    low, high = 0, min(len(left), len(right))
    while low < high:
        middle = (low + high + 1) // 2
        if left[low:middle] == right[low:middle]:
            low = middle
        else:
            high = middle - 1
    return low
