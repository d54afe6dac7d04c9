"""
The quality book: everything that was learnt from the ratings so far.

A book is the fold of the rating service's log up to a cursor. Two books of the same
log are never added up: the one that has read further contains the other, so merging
is taking the later one, and no rating counts twice, whoever read it and however often
a book is sent.
"""

from dataclasses import dataclass, field, replace

from fuchsiaroute.configuration import Configuration, Rollout, RolloutState
from fuchsiaroute.ids import RequestClass, RolloutId, VersionId
from fuchsiaroute.quality._cell import Cell
from fuchsiaroute.sequential import Trial
from fuchsiaroute.store import RatingPage

#: Most cells of a book, which bounds its bytes; later ones keep the declared quality.
MAX_CELLS = 512


@dataclass(frozen=True, kw_only=True)
class QualityTable:
    """Statistics of the ratings up to ``cursor``."""

    #: Cursor of the rating service after the last rating that was counted.
    cursor: str = ""
    #: Ratings read so far; orders the books of one log.
    total: int = 0
    #: Ratings per class, on any version.
    ticks: dict[RequestClass, int] = field(default_factory=dict)
    cells: dict[VersionId, dict[RequestClass, Cell]] = field(default_factory=dict)
    #: Evidence on the roll-outs that are running.
    trials: dict[RolloutId, Trial] = field(default_factory=dict)

    def cell(self, version: VersionId, request_class: RequestClass) -> Cell:
        """Return the counts of a version on a class as they weigh now."""
        cell = self.cells.get(version, {}).get(request_class)
        if cell is None:
            return Cell()
        return cell.aged(self.ticks.get(request_class, 0))


def newer_table(first: QualityTable, second: QualityTable) -> QualityTable:
    """Return the book that has read further, ``first`` if both are as far."""
    return second if second.total > first.total else first


def add_ratings(
    table: QualityTable, page: RatingPage, configuration: Configuration
) -> QualityTable:
    """
    Return ``book`` with the ratings of ``page``, which follows on its cursor.

    Ratings of versions and classes that ``configuration`` does not declare are read
    but not counted; what the book holds of such versions and of roll-outs that have
    ended is dropped.
    """
    versions = _declared_versions(configuration)
    classes = {
        spec.id for product in configuration.products for spec in product.classes
    }
    ticks = {name: tick for name, tick in table.ticks.items() if name in classes}
    cells = {
        version: {name: cell for name, cell in row.items() if name in classes}
        for version, row in table.cells.items()
        if version in versions
    }
    trials = _trials(table, configuration)
    counting = [
        name for name, trial in trials.items() if _is_counting(trial, configuration)
    ]
    room = MAX_CELLS - sum(len(row) for row in cells.values())
    for rating in page.ratings:
        if rating.version not in versions or rating.request_class not in classes:
            continue
        tick = ticks.get(rating.request_class, 0) + 1
        ticks[rating.request_class] = tick
        row = cells.setdefault(rating.version, {})
        if rating.request_class not in row:
            if room == 0:
                continue
            room -= 1
        cell = row.get(rating.request_class, Cell())
        row[rating.request_class] = cell.rated(rating.is_good, tick=tick)
        for name in counting:
            trials[name] = trials[name].rated(
                rating.version, rating.request_class, rating.is_good
            )
    return replace(
        table,
        cursor=page.cursor,
        total=table.total + len(page.ratings),
        ticks=ticks,
        cells=cells,
        trials=trials,
    )


def _declared_versions(configuration: Configuration) -> set[VersionId]:
    return {version.id for model in configuration.models for version in model.versions}


def _trials(
    table: QualityTable, configuration: Configuration
) -> dict[RolloutId, Trial]:
    """Return the trials of the roll-outs that may still go on."""
    return {
        rollout.id: _trial(table.trials.get(rollout.id), rollout)
        for rollout in configuration.rollouts
        if rollout.state in (RolloutState.RUNNING, RolloutState.PAUSED)
    }


def _trial(known: Trial | None, rollout: Rollout) -> Trial:
    """Return the trial to go on with; a resumed roll-out starts a new one."""
    if known is not None and known.attempt > rollout.attempt:
        return known
    if known is not None and known.attempt == rollout.attempt:
        # An entry that still knows a former stage must not go back to it.
        return known.in_stage(max(known.stage, rollout.stage))
    return Trial(
        rollout=rollout.id,
        attempt=rollout.attempt,
        stage=rollout.stage,
        base=rollout.base,
        target=rollout.target,
    )


def _is_counting(trial: Trial, configuration: Configuration) -> bool:
    return any(
        rollout.id == trial.rollout
        and (rollout.attempt, rollout.stage) == (trial.attempt, trial.stage)
        and rollout.state is RolloutState.RUNNING
        for rollout in configuration.rollouts
    )
