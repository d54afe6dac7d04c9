"""Admitted requests."""

from dataclasses import dataclass

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.request import Request


@dataclass(frozen=True, kw_only=True)
class Ticket:
    """An admitted request; to be given back with ``Admission.release``."""

    #: Unique within this entry process, in order of arrival.
    number: int
    request: Request
    #: Higher is shed later; 0 to 9, from the product.
    priority: int
    #: Weight of the organisation in fair sharing.
    weight: int
    #: Monotonic instant of admission.
    admitted_at: Milliseconds
    #: Monotonic instant after which a start cannot meet the deadline any more.
    latest_start: Milliseconds
