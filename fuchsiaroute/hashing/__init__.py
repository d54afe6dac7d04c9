"""Stable hashes, equal in every process."""

from fuchsiaroute.hashing._rendezvous import rendezvous_hash, rendezvous_order
from fuchsiaroute.hashing._unit import UnitKey, unit_fraction

__all__ = [
    "UnitKey",
    "rendezvous_hash",
    "rendezvous_order",
    "unit_fraction",
]
