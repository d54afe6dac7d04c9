"""Differences between two bodies: what lies between a common start and end."""

from dataclasses import dataclass

import msgspec


@dataclass(frozen=True, kw_only=True)
class Delta:
    """The change from one body to the next one."""

    #: Bytes that both bodies start with.
    prefix: int
    #: Bytes that both bodies end with, after the prefix.
    suffix: int
    #: What the new body has between the two.
    middle: bytes


def difference(old: bytes, new: bytes) -> Delta:
    """Return the change that leads from ``old`` to ``new``."""
    prefix = _common_length(old, new)
    old_rest, new_rest = old[prefix:], new[prefix:]
    suffix = _common_length(old_rest[::-1], new_rest[::-1])
    middle = new_rest[: len(new_rest) - suffix]
    return Delta(prefix=prefix, suffix=suffix, middle=middle)


def apply_delta(old: bytes, delta: Delta) -> bytes:
    """Return the body that ``delta`` makes of ``old``; the caller checks its hash."""
    end = old[len(old) - delta.suffix :]
    return old[: delta.prefix] + delta.middle + end


def encode_delta(delta: Delta) -> bytes:
    """Return the record of ``delta``."""
    return msgspec.msgpack.encode(delta)


def decode_delta(encoded: bytes) -> Delta:
    """Return the difference in a record; an empty record is the empty difference."""
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
