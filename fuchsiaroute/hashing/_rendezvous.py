"""Rendezvous hashing: orders of preference that all processes agree on."""

from collections.abc import Iterable
from typing import TypeVar

import xxhash

_Name = TypeVar("_Name", bound=str)


def rendezvous_hash(key: str, name: str) -> int:
    """Return the rendezvous hash of ``name`` for ``key``, from 0 to 2**64 - 1."""
    return xxhash.xxh64_intdigest(f"{key}\0{name}".encode())


def rendezvous_order(key: str, names: Iterable[_Name]) -> list[_Name]:
    """Return ``names`` in the order in which ``key`` prefers them."""
    return sorted(names, key=lambda name: (-rendezvous_hash(key, name), name))
