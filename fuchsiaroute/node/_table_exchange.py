"""Changes of the store's tables that instances send each other."""

from collections.abc import Mapping, Sequence

import msgspec

from fuchsiaroute.catalog import Catalog, RowSource, TableFeed
from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.gossip import (
    FORMAT,
    PATCHES,
    Liveness,
    PatchedRow,
    RelayedRow,
    TablePatch,
    TableRequest,
    TableUpdate,
)
from fuchsiaroute.platform import Row, Rows
from fuchsiaroute.rowpatch import RowPatch
from fuchsiaroute.store import StorePosition


class TableExchange:
    """Composes and applies updates of tables, and requests for what is missing."""

    def __init__(
        self,
        *,
        catalog: Catalog,
        feeds: Mapping[str, TableFeed],
        liveness: Liveness,
        clock: Clock,
    ) -> None:
        self._catalog = catalog
        self._feeds = feeds
        self._liveness = liveness
        self._clock = clock

    def apply(self, update: TableUpdate | TablePatch) -> bool:
        """Apply relayed changes of a table; return whether they were new."""
        feed = self._feeds.get(update.table)
        if feed is None or update.format != FORMAT:
            return False
        rows = tuple(
            Row(key=r.key, value=r.value, revision=StorePosition(r.revision))
            for r in update.rows
        )
        if update.recovery_age is not None:
            recovered_at = Milliseconds(self._clock.now() - update.recovery_age)
            self._catalog.store_recovered(recovered_at)
        is_whole = isinstance(update, TableUpdate) and update.is_whole
        return feed.apply_relayed(
            Rows(rows=rows, revision=StorePosition(update.until)),
            after=None if is_whole else StorePosition(update.after),
            patches=_row_patches(update),
            source=RowSource.PEER_REPLY if update.is_reply else RowSource.RELAY,
        )

    def missing_rows(self) -> list[TableRequest]:
        """Return what to ask peers for, as the store does not deliver it."""
        return [
            TableRequest(
                format=FORMAT, table=name, after=after, is_plain=feed.needs_plain_rows
            )
            for name, feed in self._feeds.items()
            if (after := feed.missing_after()) is not None
        ]

    def rows_for(self, request: TableRequest) -> TableUpdate | TablePatch | None:
        """Return the changes that another instance lacks, if they are held here."""
        feed = self._feeds.get(request.table)
        after = StorePosition(request.after)
        found = feed.changes_after(after) if feed is not None else None
        if found is None:
            return None
        rows, is_whole = found
        update = self.update(
            request.table,
            rows,
            after=None if is_whole else after,
            is_plain=request.is_plain,
        )
        return msgspec.structs.replace(update, is_reply=True)

    def update(
        self,
        table: str,
        rows: Rows,
        *,
        after: StorePosition | None,
        is_plain: bool = False,
    ) -> TableUpdate | TablePatch:
        """
        Return the message with changes since ``after``; None for a whole table.

        Changes of large rows are stated as patches once all members can read them,
        unless the message must be ``is_plain``.
        """
        patches: dict[str, Sequence[RowPatch]] = {}
        may_patch = not is_plain and self._liveness.all_know(PATCHES)
        if after is not None and may_patch:
            feed = self._feeds[table]
            patches = {
                row.key: found
                for row in rows.rows
                if (found := feed.patches_after(row.key, after))
                and found[-1].revision == row.revision
            }
        if after is not None and patches:
            return TablePatch(
                format=FORMAT,
                table=table,
                after=after,
                until=rows.revision,
                rows=[
                    RelayedRow(row.key, row.value, row.revision)
                    for row in rows.rows
                    if row.key not in patches
                ],
                patches=[
                    PatchedRow(
                        patch.key,
                        patch.base,
                        patch.revision,
                        patch.checksum,
                        list(patch.pieces),
                    )
                    for found in patches.values()
                    for patch in found
                ],
                recovery_age=self._catalog.recovery_age(),
            )
        return TableUpdate(
            format=FORMAT,
            table=table,
            after=rows.revision if after is None else after,
            until=rows.revision,
            rows=[RelayedRow(row.key, row.value, row.revision) for row in rows.rows],
            is_whole=after is None,
            recovery_age=self._catalog.recovery_age(),
        )


def _row_patches(update: TableUpdate | TablePatch) -> tuple[RowPatch, ...]:
    if isinstance(update, TableUpdate):
        return ()
    return tuple(
        RowPatch(
            key=item.key,
            base=StorePosition(item.base),
            revision=StorePosition(item.revision),
            checksum=item.checksum,
            pieces=tuple(item.pieces),
        )
        for item in update.patches
    )
