"""Permits for requests to endpoints that name a rate for all instances together."""

from fuchsiaroute.permits._holder import PermitHolder
from fuchsiaroute.permits._issuer import Grant, PermitIssuer, QueueState
from fuchsiaroute.permits._named_rates import NamedRate, NamedRates

__all__ = [
    "Grant",
    "NamedRate",
    "NamedRates",
    "PermitHolder",
    "PermitIssuer",
    "QueueState",
]
