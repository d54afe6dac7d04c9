"""Limits on what a caller may send."""

from dataclasses import dataclass

from fuchsiaroute.clock import Milliseconds


@dataclass(frozen=True, kw_only=True)
class CallerLimits:
    """Limits that the callers' interface enforces."""

    #: Largest request body in bytes.
    max_body: int = 1_048_576
    #: Longest time for a request body to arrive in full.
    body_timeout: Milliseconds = Milliseconds(10_000)
    #: Deadline of a request that names none, from its arrival.
    default_deadline: Milliseconds = Milliseconds(60_000)
    #: Furthest deadline that a request may name, from its arrival.
    max_deadline: Milliseconds = Milliseconds(600_000)
