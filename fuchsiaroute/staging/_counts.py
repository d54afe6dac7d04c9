"""Counts of answers of the target and the base versions, over all instances."""

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from fuchsiaroute.ids import InstanceId, RequestClass, RolloutId, VersionId
from fuchsiaroute.sequential import (
    DEFAULT_FALSE_ALARM_RATE,
    Evidence,
    SequentialTest,
    Trial,
)
from fuchsiaroute.staging._measures import Measure, parse_class

#: A measure with fewer bad answers of the target is no evidence: single failures occur
#: at the target and at the base versions.
MIN_BAD_ANSWERS = 3
#: Weight of all routes of a measure together; each route alone shares the rest.
TOGETHER_WEIGHT = 0.8
#: Limit of the logarithm of a likelihood ratio, which keeps its exponential finite.
MAX_LOG_EVIDENCE = 100.0

_Classes = dict[RequestClass, Evidence]


@dataclass
class _Counts:
    target: Counter[bool] = field(default_factory=Counter)
    base: Counter[bool] = field(default_factory=Counter)

    def evidence(self) -> Evidence:
        return Evidence(
            target_ratings=self.target.total(),
            target_bad=self.target[True],
            base_ratings=self.base.total(),
            base_bad=self.base[True],
        )


class RolloutCounts:
    """
    Counts of answers during one roll-out.

    Counts of another instance are totals: they replace its previous ones.
    """

    def __init__(self, rollout: RolloutId, *, target: VersionId) -> None:
        self._rollout = rollout
        self._target = target
        self._own: dict[RequestClass, _Counts] = {}
        self._peers: dict[InstanceId, dict[RequestClass, Evidence]] = {}
        self._test = SequentialTest()

    def add(
        self, request_class: RequestClass, version: VersionId, *, is_bad: bool
    ) -> None:
        """Count an answer that this instance received."""
        counts = self._own.setdefault(request_class, _Counts())
        side = counts.target if version == self._target else counts.base
        side[is_bad] += 1

    def own(self) -> dict[RequestClass, Evidence]:
        """Return the counts of this instance, for the other instances."""
        return {name: counts.evidence() for name, counts in self._own.items()}

    def merge(
        self, instance: InstanceId, request_class: RequestClass, evidence: Evidence
    ) -> None:
        """Store the total counts of another instance, unless higher ones are held."""
        known = self._peers.setdefault(instance, {})
        previous = known.get(request_class)
        if previous is None or _ratings(evidence) >= _ratings(previous):
            known[request_class] = evidence

    def trial(self) -> Trial:
        """Return the sums over all instances, as input of the sequential test."""
        classes: dict[RequestClass, list[Evidence]] = {}
        for source in (self.own(), *self._peers.values()):
            for name, evidence in source.items():
                classes.setdefault(name, []).append(evidence)
        return self._trial({name: _sum(items) for name, items in classes.items()})

    def is_bad(self) -> bool:
        """
        Return whether the target is significantly worse than the base versions.

        The likelihood ratios of the measures are averaged, and for each measure those
        of all routes together and of each route alone. A mean of likelihood ratios
        keeps the false-alarm rate. In their product, measures and routes in which the
        target is as good as its base would outweigh the evidence of the others.
        """
        routes: dict[Measure, dict[str, _Classes]] = {}
        for name, evidence in self.trial().classes.items():
            route, measure = parse_class(name)
            classes = routes.setdefault(measure, {}).setdefault(route, {})
            classes[name] = evidence
        ratio = sum(self._mean_ratio(item) for item in routes.values()) / len(Measure)
        return ratio >= 1.0 / DEFAULT_FALSE_ALARM_RATE

    def _mean_ratio(self, routes: dict[str, _Classes]) -> float:
        """Return the likelihood ratio of one measure from its classes by route."""
        together: _Classes = {}
        for classes in routes.values():
            together.update(classes)
        alone = sum(self._ratio(classes) for classes in routes.values()) / len(routes)
        return TOGETHER_WEIGHT * self._ratio(together) + (1 - TOGETHER_WEIGHT) * alone

    def _ratio(self, classes: _Classes) -> float:
        bad = sum(item.target_bad for item in classes.values())
        if bad < MIN_BAD_ANSWERS:
            return 0.0
        evidence = self._test.evaluate(self._trial(classes)).log_evidence
        return math.exp(min(evidence, MAX_LOG_EVIDENCE))

    def _trial(self, classes: _Classes) -> Trial:
        return Trial(
            rollout=self._rollout,
            base=VersionId(""),
            target=self._target,
            classes=classes,
        )


def _ratings(evidence: Evidence) -> int:
    return evidence.target_ratings + evidence.base_ratings


def _sum(items: Iterable[Evidence]) -> Evidence:
    total = [0, 0, 0, 0]
    for item in items:
        total[0] += item.target_ratings
        total[1] += item.target_bad
        total[2] += item.base_ratings
        total[3] += item.base_bad
    return Evidence(
        target_ratings=total[0],
        target_bad=total[1],
        base_ratings=total[2],
        base_bad=total[3],
    )
