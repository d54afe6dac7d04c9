"""Finds responses of which the caller has long read nothing."""

from fuchsiaroute.clock import Clock, Milliseconds

#: Time without any progress after which an unread response is given up, unless the idle
#: timeout is longer. Callers that read slowly take some bytes of it.
MIN_UNREAD_TIMEOUT = Milliseconds(30_000)


class UnreadWatch:
    """Follows how many bytes of a connection's responses the operating system took."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._taken = 0
        #: When the number of bytes taken last changed, or nothing was unsent.
        self._progress_at = clock.now()

    def is_stalled(
        self, *, written: int, unsent: int, idle_timeout: Milliseconds
    ) -> bool:
        """
        Return whether nothing was taken for too long; called from time to time.

        ``written`` is the number of bytes of all responses, of which ``unsent`` are
        still to be taken.
        """
        now = self._clock.now()
        taken = written - unsent
        if not unsent or taken != self._taken:
            self._taken, self._progress_at = taken, now
        return now - self._progress_at > max(idle_timeout, MIN_UNREAD_TIMEOUT)
