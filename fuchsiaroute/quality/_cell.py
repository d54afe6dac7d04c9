"""Rating counts of one version on one class, which follow drift."""

import math
from dataclasses import dataclass

#: Ratings that the short window remembers.
SHORT_WINDOW = 60.0
#: Ratings that the long window remembers.
LONG_WINDOW = 800.0
#: Ratings of the class, on any version, after which an unrated cell has lost most of
#: its weight.
STALE_AFTER = 4_000.0
#: Standard deviations between the windows that count as a change.
_CHANGE_DEVIATIONS = 3.5
#: Least ratings in the short window before a change is declared.
_CHANGE_MIN_RATINGS = 30.0


@dataclass(frozen=True, kw_only=True)
class Cell:
    """
    Exponentially weighted counts over a short and a long window.

    When the windows disagree by more than chance allows, the long one restarts from
    the short one, so that an estimate follows a jump within tens of ratings and is
    yet steady without one.
    """

    short_ratings: float = 0.0
    short_good: float = 0.0
    long_ratings: float = 0.0
    long_good: float = 0.0
    #: Ratings of the class, on any version, when the cell last changed.
    tick: int = 0
    #: Whether the quality has changed since the operators' estimate.
    is_changed: bool = False

    def rated(self, is_good: bool, *, tick: int) -> "Cell":
        """Return the cell with one more rating."""
        good = 1.0 if is_good else 0.0
        aged = self.aged(tick)
        short_kept = 1.0 - 1.0 / SHORT_WINDOW
        long_kept = 1.0 - 1.0 / LONG_WINDOW
        cell = Cell(
            short_ratings=aged.short_ratings * short_kept + 1.0,
            short_good=aged.short_good * short_kept + good,
            long_ratings=aged.long_ratings * long_kept + 1.0,
            long_good=aged.long_good * long_kept + good,
            tick=tick,
            is_changed=self.is_changed,
        )
        return cell._restarted() if cell._has_changed() else cell

    def aged(self, tick: int) -> "Cell":
        """Return the cell as it weighs when the class has had ``tick`` ratings."""
        if tick <= self.tick:
            return self
        kept = math.exp((self.tick - tick) / STALE_AFTER)
        return Cell(
            short_ratings=self.short_ratings * kept,
            short_good=self.short_good * kept,
            long_ratings=self.long_ratings * kept,
            long_good=self.long_good * kept,
            tick=tick,
            is_changed=self.is_changed,
        )

    def _restarted(self) -> "Cell":
        return Cell(
            short_ratings=self.short_ratings,
            short_good=self.short_good,
            long_ratings=self.short_ratings,
            long_good=self.short_good,
            tick=self.tick,
            is_changed=True,
        )

    def _has_changed(self) -> bool:
        older = self.long_ratings - self.short_ratings
        if self.short_ratings < _CHANGE_MIN_RATINGS or older < _CHANGE_MIN_RATINGS:
            return False
        older_good = max(0.0, self.long_good - self.short_good)
        # One good and one bad rating more keep the deviation above zero.
        share = (self.long_good + 1.0) / (self.long_ratings + 2.0)
        variance = share * (1.0 - share) * (1.0 / self.short_ratings + 1.0 / older)
        difference = self.short_good / self.short_ratings - older_good / older
        return abs(difference) > _CHANGE_DEVIATIONS * math.sqrt(variance)
