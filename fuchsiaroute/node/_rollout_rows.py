"""Rows of the store in which the progress of roll-outs is written."""

from fuchsiaroute.ids import ServiceId
from fuchsiaroute.platform import RolloutStatus, Table, row_key, status_put
from fuchsiaroute.staging import Progress, RolloutRecord
from fuchsiaroute.store import Put

_STATUSES = {
    Progress.RUNNING: RolloutStatus.RUNNING,
    Progress.COMPLETED: RolloutStatus.COMPLETED,
    Progress.ROLLED_BACK: RolloutStatus.ROLLED_BACK,
}


def rollout_record_key(service: ServiceId) -> str:
    """Return the key of the record of a service's roll-out."""
    return row_key(Table.ROLLOUTS, service)


def rollout_status_put(record: RolloutRecord) -> Put:
    """Return the write that reports the progress of a roll-out to operators."""
    return status_put(record.service, record.target, _STATUSES[record.progress])
