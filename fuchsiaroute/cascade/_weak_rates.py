"""How often the answers of a version are weak."""

from dataclasses import dataclass

from fuchsiaroute.ids import RequestClass, VersionId

#: Answers that a rate remembers.
_WINDOW = 500.0
_KEPT = 1.0 - 1.0 / _WINDOW
#: Rate before any answer, and the answers that it is worth.
_PRIOR_RATE = 0.1
_PRIOR_ANSWERS = 20.0


@dataclass(slots=True)
class _Counts:
    """Exponentially weighted counts of one version on one class."""

    #: Answers examined as the first of a cascade, and the weak ones among them.
    examined: float = 0.0
    weak: float = 0.0
    #: All answers, and those that another version's answer replaced.
    answers: float = 0.0
    replaced: float = 0.0


class WeakRates:
    """
    Share of weak answers per version and class, as this entry sees it.

    Every buffered answer counts, so an entry learns it from its own traffic within
    minutes and nothing is exchanged.
    """

    def __init__(self) -> None:
        self._counts: dict[tuple[VersionId, RequestClass], _Counts] = {}

    def record_cascade_answer(
        self, version: VersionId, request_class: RequestClass, *, is_weak: bool
    ) -> None:
        """Count the first answer of a cascade; a weak one is replaced."""
        counts = self._counts.setdefault((version, request_class), _Counts())
        counts.examined = counts.examined * _KEPT + 1.0
        counts.weak = counts.weak * _KEPT + is_weak
        counts.answers = counts.answers * _KEPT + 1.0
        counts.replaced = counts.replaced * _KEPT + is_weak

    def record_single_answer(
        self, version: VersionId, request_class: RequestClass
    ) -> None:
        """Count an answer that the caller gets whatever it is."""
        counts = self._counts.setdefault((version, request_class), _Counts())
        counts.answers = counts.answers * _KEPT + 1.0
        counts.replaced *= _KEPT

    def weak_rate(self, version: VersionId, request_class: RequestClass) -> float:
        """Return the estimated share of weak answers, from 0 to 1."""
        counts = self._counts.get((version, request_class))
        if counts is None:
            return _PRIOR_RATE
        weak = counts.weak + _PRIOR_RATE * _PRIOR_ANSWERS
        return weak / (counts.examined + _PRIOR_ANSWERS)

    def replaced_rate(self, version: VersionId, request_class: RequestClass) -> float:
        """Return the share of answers that were replaced and so never rated."""
        counts = self._counts.get((version, request_class))
        return counts.replaced / counts.answers if counts is not None else 0.0

    def retain(self, versions: frozenset[VersionId]) -> None:
        """Drop what is known of versions that are not in ``versions``."""
        for key in [key for key in self._counts if key[0] not in versions]:
            del self._counts[key]
