"""Encoding of a quality table for the table service and for peers."""

import msgspec

from fuchsiaroute.decoding import DECODER_ERRORS
from fuchsiaroute.ids import RequestClass, RolloutId, VersionId
from fuchsiaroute.quality._cell import Cell
from fuchsiaroute.quality._table import QualityTable
from fuchsiaroute.sequential import ALTERNATIVES, Evidence, Trial

#: Maximum size of an encoded table: 512 cells of at most 24 bytes each, names of at
#: most 64 bytes, and the trials.
MAX_TABLE_BYTES = 64 * 1024
#: Resolution of an encoded count: counts are integers in 1/100 of a rating.
_STEPS_PER_RATING = 100


class BookError(ValueError):
    """
    Bytes that are not an encoded quality table, or a table above the limit.

    The class keeps this name because it appears in log lines.
    """


class _Cell(msgspec.Struct, array_like=True, frozen=True):
    request_class: int
    short_ratings: int
    short_good: int
    long_ratings: int
    long_good: int
    tick: int
    is_changed: bool


class _Evidence(msgspec.Struct, array_like=True, frozen=True):
    request_class: int
    target_ratings: int
    target_bad: int
    base_ratings: int
    base_bad: int


class _Trial(msgspec.Struct, array_like=True, frozen=True):
    rollout: RolloutId
    attempt: int
    stage: int
    past_log_ratios: tuple[float, ...]
    past_target_ratings: int
    base: VersionId
    target: VersionId
    evidence: list[_Evidence]


class _Table(msgspec.Struct, array_like=True, frozen=True):
    cursor: str
    total: int
    classes: list[RequestClass]
    ticks: list[int]
    cells: dict[VersionId, list[_Cell]]
    trials: list[_Trial]


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(_Table)


def encode(table: QualityTable) -> bytes:
    """
    Return the encoding of ``table``.

    Raises ``BookError`` if it exceeds ``MAX_TABLE_BYTES``, since no peer
    would decode it.
    """
    names = _class_names(table)
    index = {name: number for number, name in enumerate(names)}
    encoded = _ENCODER.encode(
        _Table(
            cursor=table.cursor,
            total=table.total,
            classes=names,
            ticks=[table.ticks.get(name, 0) for name in names],
            cells={
                version: [_pack_cell(index[name], cell) for name, cell in row.items()]
                for version, row in table.cells.items()
            },
            trials=[_pack_trial(index, trial) for trial in table.trials.values()],
        )
    )
    if len(encoded) > MAX_TABLE_BYTES:
        raise BookError(f"encoded quality table is too large: {len(encoded)} bytes")
    return encoded


def decode(encoded: bytes) -> QualityTable:
    """Return the table in ``encoded``; raises ``BookError`` if it has none."""
    if len(encoded) > MAX_TABLE_BYTES:
        raise BookError(f"encoded quality table is too large: {len(encoded)} bytes")
    try:
        packed = _DECODER.decode(encoded)
        return _unpack(packed)
    except (*DECODER_ERRORS, IndexError) as error:
        raise BookError(f"bytes are not an encoded quality table: {error}") from error


def _class_names(table: QualityTable) -> list[RequestClass]:
    names = set(table.ticks)
    for row in table.cells.values():
        names.update(row)
    for trial in table.trials.values():
        names.update(trial.classes)
    return sorted(names)


def _pack_cell(request_class: int, cell: Cell) -> _Cell:
    return _Cell(
        request_class=request_class,
        short_ratings=round(cell.short_ratings * _STEPS_PER_RATING),
        short_good=round(cell.short_good * _STEPS_PER_RATING),
        long_ratings=round(cell.long_ratings * _STEPS_PER_RATING),
        long_good=round(cell.long_good * _STEPS_PER_RATING),
        tick=cell.tick,
        is_changed=cell.is_changed,
    )


def _pack_trial(index: dict[RequestClass, int], trial: Trial) -> _Trial:
    return _Trial(
        rollout=trial.rollout,
        attempt=trial.attempt,
        stage=trial.stage,
        past_log_ratios=trial.past_log_ratios,
        past_target_ratings=trial.past_target_ratings,
        base=trial.base,
        target=trial.target,
        evidence=[
            _Evidence(
                request_class=index[name],
                target_ratings=evidence.target_ratings,
                target_bad=evidence.target_bad,
                base_ratings=evidence.base_ratings,
                base_bad=evidence.base_bad,
            )
            for name, evidence in trial.classes.items()
        ],
    )


def _unpack(packed: _Table) -> QualityTable:
    names = packed.classes
    return QualityTable(
        cursor=packed.cursor,
        total=packed.total,
        ticks=dict(zip(names, packed.ticks, strict=True)),
        cells={
            version: {names[cell.request_class]: _unpack_cell(cell) for cell in row}
            for version, row in packed.cells.items()
        },
        trials={trial.rollout: _unpack_trial(names, trial) for trial in packed.trials},
    )


def _unpack_cell(cell: _Cell) -> Cell:
    return Cell(
        short_ratings=cell.short_ratings / _STEPS_PER_RATING,
        short_good=cell.short_good / _STEPS_PER_RATING,
        long_ratings=cell.long_ratings / _STEPS_PER_RATING,
        long_good=cell.long_good / _STEPS_PER_RATING,
        tick=cell.tick,
        is_changed=cell.is_changed,
    )


def _unpack_trial(names: list[RequestClass], trial: _Trial) -> Trial:
    if len(trial.past_log_ratios) != len(ALTERNATIVES):
        raise ValueError("the trial has an unexpected number of alternatives")
    return Trial(
        rollout=trial.rollout,
        attempt=trial.attempt,
        stage=trial.stage,
        past_log_ratios=trial.past_log_ratios,
        past_target_ratings=trial.past_target_ratings,
        base=trial.base,
        target=trial.target,
        classes={
            names[item.request_class]: Evidence(
                target_ratings=item.target_ratings,
                target_bad=item.target_bad,
                base_ratings=item.base_ratings,
                base_bad=item.base_bad,
            )
            for item in trial.evidence
        },
    )
