"""Tickets of admitted requests."""

from dataclasses import dataclass

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.request import Request


@dataclass(frozen=True, kw_only=True)
class Ticket:
    """An admitted request; must be passed to ``Admission.release`` when it ends."""

    #: Unique within this entry process, in order of arrival.
    number: int
    request: Request
    #: From 0 to 9, set by the product; higher priorities start first and are shed last.
    priority: int
    #: Weight of the organisation in fair sharing.
    weight: int
    #: Monotonic time of admission.
    admitted_at: Milliseconds
    #: Monotonic time after which a start is too late to meet the deadline.
    latest_start: Milliseconds
