"""Rows of the store in which the progress of roll-outs is written."""

from returns.result import Result

from fuchsiaroute.ids import ServiceId
from fuchsiaroute.platform import (
    PlatformStore,
    RolloutStatus,
    Rows,
    Table,
    row_key,
    status_put,
)
from fuchsiaroute.staging import Progress, RolloutRecord
from fuchsiaroute.store import Put, Record, StoreError

_STATUSES = {
    Progress.RUNNING: RolloutStatus.RUNNING,
    Progress.COMPLETED: RolloutStatus.COMPLETED,
    Progress.ROLLED_BACK: RolloutStatus.ROLLED_BACK,
}


class PlatformRolloutRows:
    """The keys of the rows of a service, and the status that operators read."""

    def record_key(self, service: ServiceId) -> str:
        """Return the key of the record of the service's roll-out."""
        return row_key(Table.ROLLOUTS, service)

    def outcomes_key(self, service: ServiceId) -> str:
        """Return the key of the outcomes of the service's versions."""
        return row_key(Table.ROLLOUT_OUTCOMES, service)

    def status_put(self, record: RolloutRecord) -> Put:
        """Return the write that reports the progress of a roll-out to operators."""
        return status_put(record.service, record.target, _STATUSES[record.progress])


async def read_outcomes(
    store: PlatformStore,
) -> Result[dict[ServiceId, Record], StoreError]:
    """Return the rows with the outcomes of roll-outs, by service."""
    answer = await store.read_table(Table.ROLLOUT_OUTCOMES)
    return answer.map(_records)


def _records(rows: Rows) -> dict[ServiceId, Record]:
    return {
        ServiceId(row.key): Record(
            key=row_key(Table.ROLLOUT_OUTCOMES, row.key),
            value=row.value,
            version=row.revision,
        )
        for row in rows.rows
        if row.value is not None
    }
