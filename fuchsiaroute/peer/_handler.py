"""What an entry does with its peers' calls."""

from typing import Protocol

from fuchsiaroute.configuration import NoChange, Snapshot
from fuchsiaroute.ids import Incarnation, InstanceId, Revision
from fuchsiaroute.peer._messages import Heartbeat


class PeerHandler(Protocol):
    """The entry behind a ``PeerServer``."""

    def answer_heartbeat(self, heartbeat: Heartbeat) -> Heartbeat:
        """Take in a peer's heartbeat and return this entry's own."""

    def newer_configuration(self, known: Revision) -> Snapshot | NoChange:
        """Return the configuration held if it is higher than ``known``."""


class RecordHolder(Protocol):
    """Copies of other entries' ledger records that are not yet written."""

    def hold(
        self, owner: InstanceId, incarnation: Incarnation, batch: int, records: bytes
    ) -> bool:
        """Keep ``records``; return whether there was room for them."""

    def release(
        self, owner: InstanceId, incarnation: Incarnation, last_batch: int
    ) -> None:
        """Drop the batches of ``owner`` up to ``last_batch``: they are written."""

    def take(self, owner: InstanceId, incarnation: Incarnation) -> tuple[bytes, ...]:
        """Return what is held for ``owner``, for whoever writes it in its place."""


class NullRecordHolder:
    """A holder without room; implements ``RecordHolder``."""

    def hold(
        self, owner: InstanceId, incarnation: Incarnation, batch: int, records: bytes
    ) -> bool:
        """Return False."""
        return False

    def release(
        self, owner: InstanceId, incarnation: Incarnation, last_batch: int
    ) -> None:
        """Do nothing."""

    def take(self, owner: InstanceId, incarnation: Incarnation) -> tuple[bytes, ...]:
        """Return nothing."""
        return ()
