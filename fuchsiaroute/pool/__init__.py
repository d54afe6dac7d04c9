"""The endpoints that an instance may use, and the choice among them."""

from fuchsiaroute.pool._cold_rate_limiter import ColdRateLimiter
from fuchsiaroute.pool._member import Load, PoolMember
from fuchsiaroute.pool._pool import Demand, EndpointPool, NoChoice, Reservation
from fuchsiaroute.pool._request_queue import QueueRefusal, RequestQueue

__all__ = [
    "ColdRateLimiter",
    "Demand",
    "EndpointPool",
    "RequestQueue",
    "QueueRefusal",
    "Load",
    "NoChoice",
    "PoolMember",
    "Reservation",
]
