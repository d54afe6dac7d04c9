"""Hashes that every process works out alike."""

from fuchsiaroute.hashing._rendezvous import rendezvous_hash, rendezvous_order
from fuchsiaroute.hashing._unit import UnitKey, unit_fraction

__all__ = [
    "UnitKey",
    "rendezvous_hash",
    "rendezvous_order",
    "unit_fraction",
]
