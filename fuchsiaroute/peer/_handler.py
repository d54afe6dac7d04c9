"""Interfaces behind the server side of the peer protocol."""

from typing import Protocol

from fuchsiaroute.configuration import NoChange, Snapshot
from fuchsiaroute.ids import Incarnation, InstanceId, Revision
from fuchsiaroute.peer._messages import Heartbeat


class PeerHandler(Protocol):
    """Handles heartbeats and configuration requests of peers."""

    def answer_heartbeat(self, heartbeat: Heartbeat) -> Heartbeat:
        """Apply a peer's heartbeat and return this entry's own."""

    def newer_configuration(self, known: Revision) -> Snapshot | NoChange:
        """Return the current configuration if its revision is above ``known``."""


class RecordHolder(Protocol):
    """Holds copies of ledger records that other entries have not yet written."""

    def hold(
        self, owner: InstanceId, incarnation: Incarnation, batch: int, records: bytes
    ) -> bool:
        """Store ``records``; return whether there was room for them."""

    def release(
        self, owner: InstanceId, incarnation: Incarnation, last_batch: int
    ) -> None:
        """Remove the batches of ``owner`` up to ``last_batch``, which are written."""

    def take(self, owner: InstanceId, incarnation: Incarnation) -> tuple[bytes, ...]:
        """Return the records of ``owner``, to be written by another entry."""


class NullRecordHolder:
    """Holds no records; implements ``RecordHolder``."""

    def hold(
        self, owner: InstanceId, incarnation: Incarnation, batch: int, records: bytes
    ) -> bool:
        """Refuse the records."""
        return False

    def release(
        self, owner: InstanceId, incarnation: Incarnation, last_batch: int
    ) -> None:
        """Do nothing."""

    def take(self, owner: InstanceId, incarnation: Incarnation) -> tuple[bytes, ...]:
        """Return no records."""
        return ()
