"""The state of roll-outs as it is written to the store."""

from dataclasses import dataclass
from enum import Enum

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.ids import ServiceId, VersionId


class Progress(Enum):
    """State of an ordered roll-out; a higher value replaces a lower one."""

    RUNNING = 1
    COMPLETED = 2
    ROLLED_BACK = 3


@dataclass(frozen=True, kw_only=True)
class RolloutRecord:
    """The state of a roll-out, as committed to the store."""

    service: ServiceId
    target: VersionId
    #: Revision of the roll-out order.
    order: int
    progress: Progress
    #: Start on the store's clock, in the era of ``order``.
    started: Milliseconds
    #: Number of earlier roll-outs of the target. Each one moves other sessions first.
    attempt: int = 0
