"""Rendezvous hashing: the same order of preference in every process."""

from collections.abc import Iterable
from typing import TypeVar

import xxhash

_Name = TypeVar("_Name", bound=str)


def rendezvous_hash(key: str, name: str) -> int:
    """Return the rendezvous hash of ``name`` for ``key``, from 0 to 2**64 - 1."""
    return xxhash.xxh64_intdigest(f"{key}\0{name}".encode())


def rendezvous_order(key: str, names: Iterable[_Name]) -> list[_Name]:
    """Return ``names`` by descending rendezvous hash for ``key``, ties by name."""
    return sorted(names, key=lambda name: (-rendezvous_hash(key, name), name))
