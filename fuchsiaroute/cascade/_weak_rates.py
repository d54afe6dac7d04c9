"""Rates of weak answers per version and request class."""

from dataclasses import dataclass

from fuchsiaroute.ids import RequestClass, VersionId

#: Time constant of the exponential decay, in answers.
_WINDOW_ANSWERS = 500.0
_DECAY_FACTOR = 1.0 - 1.0 / _WINDOW_ANSWERS
#: Rate assumed before any answer, and its weight in answers.
_PRIOR_WEAK_RATE = 0.1
_PRIOR_WEIGHT_ANSWERS = 20.0


@dataclass(slots=True)
class _Counts:
    """Exponentially decayed counts of one version on one class."""

    #: First answers of a cascade, and the weak ones among them.
    examined: float = 0.0
    weak: float = 0.0
    #: All answers, and those replaced by another version's answer.
    answers: float = 0.0
    replaced: float = 0.0


class WeakRates:
    """
    Share of weak answers per version and class in the traffic of this entry.

    Every buffered answer counts, so the traffic of one entry is enough for an estimate
    within minutes, and entries exchange no counts.
    """

    def __init__(self) -> None:
        self._counts: dict[tuple[VersionId, RequestClass], _Counts] = {}

    def record_cascade_answer(
        self, version: VersionId, request_class: RequestClass, *, is_weak: bool
    ) -> None:
        """Count the first answer of a cascade; a weak one counts as replaced."""
        counts = self._counts.setdefault((version, request_class), _Counts())
        counts.examined = counts.examined * _DECAY_FACTOR + 1.0
        counts.weak = counts.weak * _DECAY_FACTOR + is_weak
        counts.answers = counts.answers * _DECAY_FACTOR + 1.0
        counts.replaced = counts.replaced * _DECAY_FACTOR + is_weak

    def record_single_answer(
        self, version: VersionId, request_class: RequestClass
    ) -> None:
        """Count the answer of a single version, which is never replaced."""
        counts = self._counts.setdefault((version, request_class), _Counts())
        counts.answers = counts.answers * _DECAY_FACTOR + 1.0
        counts.replaced *= _DECAY_FACTOR

    def weak_rate(self, version: VersionId, request_class: RequestClass) -> float:
        """Return the estimated share of weak first answers, from 0 to 1."""
        counts = self._counts.get((version, request_class))
        if counts is None:
            return _PRIOR_WEAK_RATE
        weak = counts.weak + _PRIOR_WEAK_RATE * _PRIOR_WEIGHT_ANSWERS
        return weak / (counts.examined + _PRIOR_WEIGHT_ANSWERS)

    def replaced_rate(self, version: VersionId, request_class: RequestClass) -> float:
        """Return the share of answers that were replaced and so not rated, 0 to 1."""
        counts = self._counts.get((version, request_class))
        return counts.replaced / counts.answers if counts is not None else 0.0

    def retain(self, versions: frozenset[VersionId]) -> None:
        """Drop the counts of all versions except ``versions``."""
        for key in [key for key in self._counts if key[0] not in versions]:
            del self._counts[key]
