"""The rows of a table as an instance holds them, to send them to peers."""

from collections.abc import Iterable, Sequence
from itertools import groupby
from operator import attrgetter

from fuchsiaroute.platform import Row, Rows
from fuchsiaroute.rowpatch import PatchChains, PatchError, RowPatch, apply_patch
from fuchsiaroute.store import StorePosition, era_of

#: Removed rows that are remembered.
MAX_REMOVED_ROWS = 1_000


class HeldRows:
    """
    The latest row of each key, removals included.

    From them, the changes since any later position than that of the first read can be
    given, without a history of all writes. Of large rows, recent changes are held as
    patches too.
    """

    def __init__(self) -> None:
        self._rows: dict[str, Row] = {}
        self._patches = PatchChains()
        #: Removals, in the order in which they became known.
        self._removed: dict[str, Row] = {}
        #: Position of the latest rows that were stored.
        self._newest: StorePosition | None = None
        #: Position from which on all changes are held; None before the first read.
        self._complete_after: StorePosition | None = None

    def apply(
        self, rows: Rows, *, is_whole: bool, patches: Sequence[RowPatch] = ()
    ) -> None:
        """
        Store rows that were read; ``is_whole`` if they are the whole table.

        Some of them may be the results of ``patches``.
        """
        if self._is_other_history(rows):
            self._rows.clear()
            self._patches.clear()
            self._removed.clear()
            self._complete_after = rows.revision
        elif is_whole:
            self._record_missing(rows)
        self._newest = rows.revision
        patched = {patch.key for patch in patches}
        for key, group in _by_key(patches):
            if key in self._rows:
                base = self._rows[key].revision
                if needed := [patch for patch in group if patch.revision > base]:
                    self._patches.extend(key, needed, base=base)
        for row in rows.rows:
            if row.key not in patched:
                self._record_patch(row)
            self._store(row)
        while len(self._removed) > MAX_REMOVED_ROWS:
            oldest = self._removed.pop(next(iter(self._removed)))
            assert self._complete_after is not None
            self._complete_after = max(self._complete_after, oldest.revision)

    def changed_after(self, position: StorePosition) -> tuple[Row, ...] | None:
        """Return the changes since ``position``; None if some are not held."""
        if self._complete_after is None or position < self._complete_after:
            return None
        held = (*self._rows.values(), *self._removed.values())
        changed = (row for row in held if row.revision > position)
        return tuple(sorted(changed, key=lambda row: row.revision))

    def patches_after(
        self, key: str, position: StorePosition
    ) -> Sequence[RowPatch] | None:
        """Return what leads a peer at ``position`` to the present value of a row."""
        return self._patches.after(key, position)

    def patched(self, patches: Sequence[RowPatch]) -> tuple[Row, ...]:
        """
        Return the rows that patches lead to; raise ``PatchError``.

        Patches up to the revision of a row that is held are skipped.
        """
        return tuple(self._patched(key, group) for key, group in _by_key(patches))

    def _patched(self, key: str, patches: Iterable[RowPatch]) -> Row:
        row = self._rows.get(key)
        if row is None or row.value is None:
            raise PatchError(f"no row {key!r} is held")
        value, revision = row.value, row.revision
        for patch in patches:
            if patch.revision <= revision:
                continue
            if patch.base != revision:
                raise PatchError(f"held at {revision}, patched from {patch.base}")
            value, revision = apply_patch(patch, value), patch.revision
        return Row(key=key, value=value, revision=revision)

    def _record_patch(self, row: Row) -> None:
        if row.value is None:
            self._patches.remove(row.key)
            return
        former = self._rows.get(row.key)
        held = None
        if former is not None and former.value is not None:
            held = former.value, former.revision
        self._patches.record(row.key, held, (row.value, row.revision))

    def whole(self) -> tuple[Row, ...]:
        """Return all rows of the table."""
        return tuple(self._rows.values())

    def _is_other_history(self, rows: Rows) -> bool:
        """Return whether ``rows`` are of another history than what is held."""
        newest = self._newest
        if newest is None or era_of(newest) != era_of(rows.revision):
            return True
        return rows.revision < newest

    def _record_missing(self, rows: Rows) -> None:
        """Record the removal of held rows that the whole table does not hold."""
        present = {row.key for row in rows.rows}
        for key in self._rows.keys() - present:
            self._store(Row(key=key, value=None, revision=rows.revision))

    def _store(self, row: Row) -> None:
        target, other = self._rows, self._removed
        if row.value is None:
            target, other = other, target
        other.pop(row.key, None)
        target.pop(row.key, None)
        target[row.key] = row


def _by_key(
    patches: Sequence[RowPatch],
) -> Iterable[tuple[str, Iterable[RowPatch]]]:
    """Return the patches of each row; those of one row follow each other."""
    return groupby(patches, key=attrgetter("key"))
