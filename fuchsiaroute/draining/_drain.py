"""Phases of a shutdown, and which requests can end before its end."""

from collections.abc import Callable
from enum import Enum

from fuchsiaroute.clock import Clock, Milliseconds

#: Minimum time from SIGTERM to exit, as callers may still use a cached directory
#: response that lists this instance.
MIN_DRAIN_TIME = Milliseconds(3_500)
#: Time before SIGKILL at which requests that are still running are ended; the rest is
#: left for sending what their callers get instead, and for exiting.
SIGKILL_MARGIN = Milliseconds(500)
#: Time before SIGKILL at which the process exits by itself.
EXIT_MARGIN = Milliseconds(100)
#: Minimum time from the end of the drain to the exit, if the process was suspended.
MIN_SEND_TIME = Milliseconds(50)
#: Time after SIGTERM from which only callers arrive that do not follow the directory.
LATE_ARRIVAL = Milliseconds(3_000)


class Phase(Enum):
    """State of an instance between SIGTERM and its exit."""

    SERVING = "serving"
    #: The directory no longer lists the instance; most requests are still admitted.
    DRAINING = "draining"
    #: As ``DRAINING``; streams are only admitted if they certainly end in time.
    DRAINING_LATE = "draining-late"
    #: Running requests are ended.
    ENDED = "ended"


class Drain:
    """
    Decides which requests a stopping instance admits, and when it may exit.

    A caller whose request is refused at once asks another instance; one whose stream is
    cut by the exit has lost it. So a request is admitted only if it is expected to end
    before the exit.

    Parameters
    ----------
    longest
        Milliseconds that a request of a route takes at most as far as is known, or
        None.

    """

    def __init__(self, *, clock: Clock, longest: Callable[[str], float | None]) -> None:
        self._clock = clock
        self._longest = longest
        self._began_at: Milliseconds | None = None
        self._ends_at = Milliseconds(0)
        self._exits_at = Milliseconds(0)
        self._has_ended = False

    @property
    def phase(self) -> Phase:
        """Return the state of the shutdown."""
        if self._began_at is None:
            return Phase.SERVING
        if self._has_ended or self.time_left() <= 0:
            return Phase.ENDED
        if self._clock.now() - self._began_at > LATE_ARRIVAL:
            return Phase.DRAINING_LATE
        return Phase.DRAINING

    @property
    def is_draining(self) -> bool:
        """Return whether the shutdown has begun."""
        return self._began_at is not None

    def begin(self, *, grace: Milliseconds, signalled_at: Milliseconds) -> None:
        """Begin the shutdown; ``grace`` is the time from the signal to SIGKILL."""
        self._began_at = signalled_at
        self._ends_at = Milliseconds(signalled_at + grace - SIGKILL_MARGIN)
        self._exits_at = Milliseconds(signalled_at + grace - EXIT_MARGIN)

    def end(self) -> None:
        """End the drain: nothing is admitted any more."""
        self._has_ended = True
        self._exits_at = Milliseconds(
            max(self._exits_at, self._clock.now() + MIN_SEND_TIME)
        )

    def time_left(self) -> Milliseconds:
        """Return the time until running requests are ended."""
        return Milliseconds(self._ends_at - self._clock.now())

    def time_to_exit(self) -> Milliseconds:
        """Return the time for which the process may still send what it has."""
        return Milliseconds(self._exits_at - self._clock.now())

    def may_exit(self) -> bool:
        """Return whether the instance exits as soon as nothing is owed to a caller."""
        began_at = self._began_at
        return began_at is not None and (
            self._clock.now() - began_at >= MIN_DRAIN_TIME or self.time_left() <= 0
        )

    def since_begin(self, instant: Milliseconds) -> Milliseconds | None:
        """Return the time from the signal to ``instant``; None while serving."""
        if self._began_at is None:
            return None
        return Milliseconds(instant - self._began_at)

    def admits(
        self,
        route: str,
        *,
        is_stream: bool,
        deadline: Milliseconds,
        latency_target: Milliseconds = Milliseconds(0),
    ) -> bool:
        """
        Return whether a request that has not been sent to an endpoint may be served.

        ``deadline`` is the time until the caller must have the final response. A
        response that is not a stream and has not begun at the end of the shutdown is
        replaced by a final one, which is not possible for a stream. So for a stream of
        unknown duration only the deadline counts, for others the ``latency_target`` of
        their route if it is not 0.
        """
        phase = self.phase
        if phase is Phase.SERVING:
            return True
        if phase is Phase.ENDED:
            return False
        bound: float = deadline
        if not (is_stream and phase is Phase.DRAINING_LATE):
            longest = self._longest(route)
            if longest is None and not is_stream and latency_target:
                longest = latency_target
            bound = deadline if longest is None else min(deadline, longest)
        return bound <= self.time_left()
