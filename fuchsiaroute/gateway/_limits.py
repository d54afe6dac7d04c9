"""Limits on what a caller may send."""

from dataclasses import dataclass

from fuchsiaroute.clock import Milliseconds


@dataclass(frozen=True, kw_only=True)
class CallerLimits:
    """Limits that the callers' interface enforces."""

    #: Largest request body in bytes.
    max_body: int = 1_048_576
    #: Timeout for receiving a whole request body.
    body_timeout: Milliseconds = Milliseconds(10_000)
    #: Deadline of a request that sets none, counted from its arrival.
    default_deadline: Milliseconds = Milliseconds(60_000)
    #: Latest deadline that a request may set, counted from its arrival.
    max_deadline: Milliseconds = Milliseconds(600_000)
