"""Whether a watch in progress may be relied upon."""

from collections.abc import Callable

from fuchsiaroute.clock import Clock, Milliseconds

#: Time without an answer of the store to any instance after which long watches count as
#: unanswered. The instance with short watches has reported an answer or lost the store
#: by then.
MAX_ANSWER_GAP = Milliseconds(4_500)
#: Time that each instance leaves to each one before it, so that not all of them call
#: a store that answers nobody at the same moment.
TURN_TIME = Milliseconds(250)


class WatchCheck:
    """
    Finds watches that may have lost their answer without a failed call.

    A connection on which the store has lost a response delivers nothing further. Such
    a watch looks like one without changes until its time is over, and meanwhile this
    instance depends on those with shorter watches.

    ``wait()`` is the time for which a watch that begins now may stay open.
    ``answer_age()`` is the time since the store's latest answer to any instance; None
    before the first. ``turn()`` is the number of instances that call before this one.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        wait: Callable[[], Milliseconds],
        answer_age: Callable[[], Milliseconds | None],
        turn: Callable[[], int],
    ) -> None:
        self._clock = clock
        self._wait = wait
        self._answer_age = answer_age
        self._turn = turn
        self._begun_at: Milliseconds | None = None
        #: ``wait()`` when the watch began.
        self._begun_wait = Milliseconds(0)

    def begin(self) -> Milliseconds:
        """Record the start of a watch; return the time for which it may stay open."""
        self._begun_at = self._clock.now()
        self._begun_wait = self._wait()
        return self._begun_wait

    def end(self) -> None:
        """Record that the watch has ended."""
        self._begun_at = None

    def fault(self) -> str | None:
        """Return why the watch is to be replaced now; None if it may stay open."""
        if self._begun_at is None:
            return None
        open_for = self._clock.now() - self._begun_at
        wait = self._wait()
        if wait < self._begun_wait and open_for >= wait:
            return "other instances rely on shorter watches of this one"
        if self._begun_wait <= MAX_ANSWER_GAP:
            # It ends by itself in time.
            return None
        age = self._answer_age()
        if age is None or age < MAX_ANSWER_GAP:
            return None
        if age >= MAX_ANSWER_GAP + self._turn() * TURN_TIME:
            return "the store has answered no instance"
        return None
