"""
The quality table: statistics of all ratings read so far.

A table is computed from the log of the rating service up to a cursor. Tables of the
same log are never summed: the table with the later cursor covers all ratings of the
other, so a merge takes the later table. No rating counts twice, whichever entry read
it and however often a table is sent.
"""

from dataclasses import dataclass, field, replace

from fuchsiaroute.configuration import Configuration, Rollout, RolloutState
from fuchsiaroute.ids import RequestClass, RolloutId, VersionId
from fuchsiaroute.quality._cell import Cell
from fuchsiaroute.sequential import Trial
from fuchsiaroute.store import RatingPage

#: Maximum cells of a table, which bounds its size. A pair of version and class that
#: finds no free cell keeps its declared quality.
MAX_CELLS = 512


@dataclass(frozen=True, kw_only=True)
class QualityTable:
    """Statistics of the ratings up to ``cursor``."""

    #: Cursor of the rating service after the last rating read.
    cursor: str = ""
    #: Ratings read so far; orders the tables of one log.
    total: int = 0
    #: Ratings per class on all versions together: the logical clock by which cells
    #: decay.
    ticks: dict[RequestClass, int] = field(default_factory=dict)
    cells: dict[VersionId, dict[RequestClass, Cell]] = field(default_factory=dict)
    #: Evidence on the running and the paused roll-outs.
    trials: dict[RolloutId, Trial] = field(default_factory=dict)

    def cell(self, version: VersionId, request_class: RequestClass) -> Cell:
        """Return the counts of a version on a class, decayed to the current tick."""
        cell = self.cells.get(version, {}).get(request_class)
        if cell is None:
            return Cell()
        return cell.decayed(self.ticks.get(request_class, 0))


def newer_table(first: QualityTable, second: QualityTable) -> QualityTable:
    """Return the table with more ratings read, or ``first`` if both have as many."""
    return second if second.total > first.total else first


def add_ratings(
    table: QualityTable, page: RatingPage, configuration: Configuration
) -> QualityTable:
    """
    Return ``table`` with the ratings of ``page``, the page after its cursor.

    Ratings of versions and classes that ``configuration`` does not declare are read
    but not counted. Cells of such versions and classes, and trials of roll-outs that
    have ended, are removed.
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
    trials = _current_trials(table, configuration)
    counted_trials = [
        name for name, trial in trials.items() if _accepts_ratings(trial, configuration)
    ]
    free_cells = MAX_CELLS - sum(len(row) for row in cells.values())
    for rating in page.ratings:
        if rating.version not in versions or rating.request_class not in classes:
            continue
        tick = ticks.get(rating.request_class, 0) + 1
        ticks[rating.request_class] = tick
        row = cells.setdefault(rating.version, {})
        if rating.request_class not in row:
            if free_cells == 0:
                continue
            free_cells -= 1
        cell = row.get(rating.request_class, Cell())
        row[rating.request_class] = cell.with_rating(rating.is_good, tick=tick)
        for name in counted_trials:
            trials[name] = trials[name].with_rating(
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


def _current_trials(
    table: QualityTable, configuration: Configuration
) -> dict[RolloutId, Trial]:
    """Return the trials of the roll-outs that are running or paused."""
    return {
        rollout.id: _continue_trial(table.trials.get(rollout.id), rollout)
        for rollout in configuration.rollouts
        if rollout.state in (RolloutState.RUNNING, RolloutState.PAUSED)
    }


def _continue_trial(previous: Trial | None, rollout: Rollout) -> Trial:
    """Return the trial to continue; a resumed roll-out starts a new one."""
    if previous is not None and previous.attempt > rollout.attempt:
        return previous
    if previous is not None and previous.attempt == rollout.attempt:
        # An entry with an outdated configuration must not return to an earlier stage.
        return previous.in_stage(max(previous.stage, rollout.stage))
    return Trial(
        rollout=rollout.id,
        attempt=rollout.attempt,
        stage=rollout.stage,
        base=rollout.base,
        target=rollout.target,
    )


def _accepts_ratings(trial: Trial, configuration: Configuration) -> bool:
    return any(
        rollout.id == trial.rollout
        and (rollout.attempt, rollout.stage) == (trial.attempt, trial.stage)
        and rollout.state is RolloutState.RUNNING
        for rollout in configuration.rollouts
    )
