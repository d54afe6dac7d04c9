"""Demand and outcomes of all instances, a fraction of a second old."""

from fuchsiaroute.aggregation._aggregator import (
    MAX_AGE,
    Aggregator,
    Peer,
)
from fuchsiaroute.aggregation._figures import Figures, total

__all__ = [
    "MAX_AGE",
    "Aggregator",
    "Figures",
    "Peer",
    "total",
]
