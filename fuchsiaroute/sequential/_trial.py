"""Ratings of the target and the base of a running roll-out."""

from dataclasses import dataclass, field, replace

from fuchsiaroute.ids import RequestClass, RolloutId, VersionId
from fuchsiaroute.sequential._evidence import Evidence
from fuchsiaroute.sequential._likelihood import NO_LOG_RATIOS, log_ratios


@dataclass(frozen=True, kw_only=True)
class Trial:
    """
    Ratings that arrived while a roll-out was running, since it was last resumed.

    Only the current stage has counts; past stages are reduced to likelihood ratios.
    Counts of stages with different shares must not be summed: a class whose requests
    get harder as the share grows would make the target look worse than its base.
    """

    rollout: RolloutId
    #: Attempt of the roll-out, which every resumption increments.
    attempt: int = 0
    #: Stage of the counts in ``classes``.
    stage: int = 0
    base: VersionId
    target: VersionId
    classes: dict[RequestClass, Evidence] = field(default_factory=dict)
    #: Natural logarithm of each alternative's likelihood ratio over the past stages.
    past_log_ratios: tuple[float, ...] = NO_LOG_RATIOS
    #: Ratings of the target in the past stages.
    past_target_ratings: int = 0

    @property
    def target_ratings(self) -> int:
        """Return the ratings of the target in all stages."""
        current = sum(item.target_ratings for item in self.classes.values())
        return self.past_target_ratings + current

    @property
    def log_ratios(self) -> tuple[float, ...]:
        """Return the logarithm of each alternative's ratio over all stages."""
        current = log_ratios(self.classes.values())
        return tuple(
            past + ratio
            for past, ratio in zip(self.past_log_ratios, current, strict=True)
        )

    def in_stage(self, stage: int) -> "Trial":
        """Return the trial with current stage ``stage``; a new stage has no counts."""
        if stage == self.stage:
            return self
        return replace(
            self,
            stage=stage,
            classes={},
            past_log_ratios=self.log_ratios,
            past_target_ratings=self.target_ratings,
        )

    def with_rating(
        self, version: VersionId, request_class: RequestClass, is_good: bool
    ) -> "Trial":
        """Return the trial with one more rating, unchanged for any other version."""
        evidence = self.classes.get(request_class, Evidence())
        bad = 0 if is_good else 1
        if version == self.target:
            evidence = replace(
                evidence,
                target_ratings=evidence.target_ratings + 1,
                target_bad=evidence.target_bad + bad,
            )
        elif version == self.base:
            evidence = replace(
                evidence,
                base_ratings=evidence.base_ratings + 1,
                base_bad=evidence.base_bad + bad,
            )
        else:
            return self
        return replace(self, classes={**self.classes, request_class: evidence})
