"""Ratings of the two sides of a running roll-out."""

from dataclasses import dataclass, field, replace

from fuchsiaroute.ids import RequestClass, RolloutId, VersionId


@dataclass(frozen=True, kw_only=True)
class Evidence:
    """Sufficient statistics of one class: ratings and bad ones of both sides."""

    target_ratings: int = 0
    target_bad: int = 0
    base_ratings: int = 0
    base_bad: int = 0


@dataclass(frozen=True, kw_only=True)
class Trial:
    """Ratings that arrived while a roll-out was running, since its last resumption."""

    rollout: RolloutId
    #: The roll-out's attempt that the ratings belong to.
    attempt: int = 0
    base: VersionId
    target: VersionId
    classes: dict[RequestClass, Evidence] = field(default_factory=dict)

    def rated(
        self, version: VersionId, request_class: RequestClass, is_good: bool
    ) -> "Trial":
        """Return the trial with one more rating; other versions' do not count."""
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
