"""How often the answers of a version are weak."""

from fuchsiaroute.ids import RequestClass, VersionId

#: Answers that the rate remembers.
_WINDOW = 500.0
#: Rate before any answer, and the answers that it is worth.
_PRIOR_RATE = 0.1
_PRIOR_ANSWERS = 20.0


class WeakRates:
    """
    Share of weak answers per version and class, as this entry sees it.

    Every buffered answer counts, so an entry learns it from its own traffic within
    minutes and nothing is exchanged.
    """

    def __init__(self) -> None:
        self._answers: dict[tuple[VersionId, RequestClass], float] = {}
        self._weak: dict[tuple[VersionId, RequestClass], float] = {}
        self._escalated: dict[tuple[VersionId, RequestClass], float] = {}

    def record(
        self,
        version: VersionId,
        request_class: RequestClass,
        *,
        is_weak: bool,
        is_escalated: bool,
    ) -> None:
        """Count one answer; ``is_escalated`` if another version's replaced it."""
        key = (version, request_class)
        kept = 1.0 - 1.0 / _WINDOW
        self._answers[key] = self._answers.get(key, 0.0) * kept + 1.0
        self._weak[key] = self._weak.get(key, 0.0) * kept + is_weak
        self._escalated[key] = self._escalated.get(key, 0.0) * kept + is_escalated

    def weak_rate(self, version: VersionId, request_class: RequestClass) -> float:
        """Return the estimated share of weak answers, from 0 to 1."""
        key = (version, request_class)
        weak = self._weak.get(key, 0.0) + _PRIOR_RATE * _PRIOR_ANSWERS
        return weak / (self._answers.get(key, 0.0) + _PRIOR_ANSWERS)

    def escalated_rate(self, version: VersionId, request_class: RequestClass) -> float:
        """Return the share of answers that were replaced and so never rated."""
        key = (version, request_class)
        answers = self._answers.get(key, 0.0)
        return self._escalated.get(key, 0.0) / answers if answers else 0.0

    def forget(self, versions: frozenset[VersionId]) -> None:
        """Drop what is known of versions that are not in ``versions``."""
        for counts in (self._answers, self._weak, self._escalated):
            for key in [key for key in counts if key[0] not in versions]:
                del counts[key]
