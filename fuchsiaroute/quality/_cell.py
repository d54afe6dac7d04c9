"""Rating counts of one version on one class, with detection of quality changes."""

import math
from dataclasses import dataclass

#: Time constants of the exponential windows, in ratings of the cell.
SHORT_WINDOW_RATINGS = 60.0
LONG_WINDOW_RATINGS = 800.0
#: Ratings of the class, on any version, after which the weight of an unrated cell has
#: decayed to 1/e.
DECAY_RATINGS = 4_000.0
#: Difference of the windows that counts as a change, in standard deviations.
_CHANGE_THRESHOLD_DEVIATIONS = 3.5
#: Minimum ratings in the short window, and in the long one beyond it, for a change.
_CHANGE_MIN_RATINGS = 30.0


@dataclass(frozen=True, kw_only=True)
class Cell:
    """
    Exponentially weighted counts over a short and a long window.

    When the windows differ by more than chance explains, the long window is reset to
    the short one. An estimate thus follows a sudden change within tens of ratings and
    has a low variance otherwise.
    """

    short_ratings: float = 0.0
    short_good: float = 0.0
    long_ratings: float = 0.0
    long_good: float = 0.0
    #: Ratings of the class, on any version, at the last update of the cell.
    tick: int = 0
    #: Whether a change was detected, so that the declared quality is out of date.
    is_changed: bool = False

    def with_rating(self, is_good: bool, *, tick: int) -> "Cell":
        """Return the cell with one more rating."""
        good = 1.0 if is_good else 0.0
        decayed = self.decayed(tick)
        short_decay = 1.0 - 1.0 / SHORT_WINDOW_RATINGS
        long_decay = 1.0 - 1.0 / LONG_WINDOW_RATINGS
        cell = Cell(
            short_ratings=decayed.short_ratings * short_decay + 1.0,
            short_good=decayed.short_good * short_decay + good,
            long_ratings=decayed.long_ratings * long_decay + 1.0,
            long_good=decayed.long_good * long_decay + good,
            tick=tick,
            is_changed=self.is_changed,
        )
        return cell._with_long_window_reset() if cell._has_changed() else cell

    def decayed(self, tick: int) -> "Cell":
        """Return the cell with its weight decayed to ``tick`` ratings of the class."""
        if tick <= self.tick:
            return self
        decay = math.exp((self.tick - tick) / DECAY_RATINGS)
        return Cell(
            short_ratings=self.short_ratings * decay,
            short_good=self.short_good * decay,
            long_ratings=self.long_ratings * decay,
            long_good=self.long_good * decay,
            tick=tick,
            is_changed=self.is_changed,
        )

    def _with_long_window_reset(self) -> "Cell":
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
        # Adding one good and one bad rating keeps the deviation above zero.
        share = (self.long_good + 1.0) / (self.long_ratings + 2.0)
        variance = share * (1.0 - share) * (1.0 / self.short_ratings + 1.0 / older)
        difference = self.short_good / self.short_ratings - older_good / older
        return abs(difference) > _CHANGE_THRESHOLD_DEVIATIONS * math.sqrt(variance)
