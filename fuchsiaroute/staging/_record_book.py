"""Which record is the state of which order."""

from collections.abc import Mapping

from fuchsiaroute.deployment import RolloutOrder
from fuchsiaroute.ids import ServiceId
from fuchsiaroute.staging._records import RolloutRecord
from fuchsiaroute.store import era_of, version_of


class RecordBook:
    """
    The latest record of each service's roll-out.

    An order that is read again from a restored store has another revision there. What
    is known of it is kept by the revision under which it was first read.
    """

    def __init__(self, orders: Mapping[ServiceId, RolloutOrder]) -> None:
        self._orders = orders
        self._records: dict[ServiceId, RolloutRecord] = {}
        #: Revision under which an order was first read, by its later revisions.
        self._first_revisions: dict[tuple[ServiceId, int], int] = {}

    def get(self, service: ServiceId) -> RolloutRecord | None:
        """Return the record of the order in force; None if it has not started."""
        order = self._orders.get(service)
        record = self._records.get(service)
        if order is None or record is None or not self._belongs_to(record, order):
            return None
        return record

    def latest(self) -> list[RolloutRecord]:
        """Return the latest record of each service, whatever order it is of."""
        return list(self._records.values())

    def apply(self, record: RolloutRecord) -> bool:
        """Store a record unless a newer one is held; return whether it was stored."""
        known = self._records.get(record.service)
        if known is not None and self._sort_key(known) >= self._sort_key(record):
            return False
        self._records[record.service] = record
        return True

    def begin_order(self, order: RolloutOrder) -> None:
        """Record that an order is none that was known in a former era."""
        self._first_revisions[order.service, order.revision] = order.revision

    def continue_order(self, former: RolloutOrder, order: RolloutOrder) -> None:
        """Record that ``order`` is ``former``, read in a later era."""
        first = self.first_revision(former.service, former.revision)
        self._first_revisions[order.service, order.revision] = first

    def first_revision(self, service: ServiceId, revision: int) -> int:
        """Return the revision under which an order was first read here."""
        return self._first_revisions.get((service, revision), revision)

    def _belongs_to(self, record: RolloutRecord, order: RolloutOrder) -> bool:
        """
        Return whether ``record`` is the state of ``order``.

        After a restore, the record may not have been written again yet. A process that
        has not seen the order's beginning goes by the versions within the eras: an
        order that operators wrote after the restore has a higher one than a record that
        the copy holds.
        """
        if era_of(record.order) == era_of(order.revision):
            return record.order == order.revision
        if record.target != order.target:
            return False
        first = self._first_revisions.get((order.service, order.revision))
        if first is None:
            return version_of(order.revision) <= version_of(record.order)
        return first == self.first_revision(record.service, record.order)

    def _sort_key(self, record: RolloutRecord) -> tuple[int, int, int, int]:
        """Return a key by which a newer record sorts after an older one."""
        order = self._orders.get(record.service)
        position = record.order
        if order is not None and self._belongs_to(record, order):
            position = order.revision
        return position, record.progress.value, record.order, record.attempt
