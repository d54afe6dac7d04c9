"""Time since the start of each roll-out."""

from collections.abc import Callable
from dataclasses import dataclass

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.ids import ServiceId

#: The service, and the revision under which its order was first read.
RolloutKey = tuple[ServiceId, int]


@dataclass(frozen=True)
class _Known:
    elapsed: Milliseconds
    #: Instant of the instance's own clock.
    at: Milliseconds


class ElapsedTimes:
    """
    Time since the start of each roll-out; it never decreases.

    A start is a time on the store's clock. A store that is restored from a copy may
    have another clock: until the start is stated on that one, the time goes on by the
    instance's own.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        store_now: Callable[[], Milliseconds | None],
        store_era: Callable[[], int],
    ) -> None:
        self._clock = clock
        self._store_now = store_now
        self._store_era = store_era
        self._known: dict[RolloutKey, _Known] = {}

    def get(self, key: RolloutKey, *, started: Milliseconds, era: int) -> Milliseconds:
        """
        Return the time since a roll-out started; 0 while it cannot be told.

        ``started`` is a time on the clock of the store of ``era``.
        """
        now = self._clock.now()
        store_now = self._store_now()
        known = self._known.get(key, _Known(Milliseconds(0), now))
        if store_now is not None and era == self._store_era():
            elapsed = max(known.elapsed, Milliseconds(store_now - started))
        elif key in self._known:
            elapsed = Milliseconds(known.elapsed + now - known.at)
        else:
            return Milliseconds(0)
        self._known[key] = _Known(elapsed, now)
        return elapsed
