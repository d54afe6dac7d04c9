"""Endpoint pool of one instance: endpoint state, selection and the request queue."""

from fuchsiaroute.pool._cold_rate_limiter import ColdRateLimiter
from fuchsiaroute.pool._demand import Demand, NoChoice
from fuchsiaroute.pool._member import Load, PoolMember
from fuchsiaroute.pool._outcomes import Outcomes
from fuchsiaroute.pool._pool import EndpointPool
from fuchsiaroute.pool._refusals import QueueRefusal
from fuchsiaroute.pool._request_queue import RequestQueue
from fuchsiaroute.pool._reservation import Reservation
from fuchsiaroute.pool._send_gate import SendGate

__all__ = [
    "ColdRateLimiter",
    "Demand",
    "EndpointPool",
    "Load",
    "NoChoice",
    "Outcomes",
    "PoolMember",
    "QueueRefusal",
    "RequestQueue",
    "Reservation",
    "SendGate",
]
