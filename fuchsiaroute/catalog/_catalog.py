"""The deployment, orders and endpoints as an instance holds them."""

from collections import Counter
from collections.abc import Callable
from functools import singledispatchmethod

from fuchsiaroute.catalog._removals import PendingRemovals
from fuchsiaroute.catalog._restore_memory import RemovedEndpoints, UnconfirmedOrders
from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.contention import backlog_limits
from fuchsiaroute.deployment import Deployment, Endpoint, RolloutOrder
from fuchsiaroute.ids import EndpointId, FailureDomainId, ServiceId
from fuchsiaroute.linelog import LineLog
from fuchsiaroute.platform import (
    DecodeError,
    DeploymentChanged,
    EvacuationEnded,
    EvacuationOrdered,
    OrderChange,
    RolloutOrdered,
    RolloutOrderRemoved,
    Row,
    Rows,
    Table,
    UnknownOrder,
    decode_endpoint,
    decode_order,
)
from fuchsiaroute.pool import EndpointPool
from fuchsiaroute.store import era_of, version_of


class Catalog:
    """
    The deployment, the operators' orders and the announced endpoints.

    A declaration is never replaced by an older one. An endpoint whose row cannot be
    decoded is not used; the row is logged once for each revision.

    After a restore of the store from a copy, what is held in memory goes before the
    copy: newer declarations, evacuations and roll-outs that the copy lacks, endpoints
    that are leaving or were removed. Rows that are written again then replace it.
    """

    def __init__(
        self,
        *,
        pool: EndpointPool,
        clock: Clock,
        log: LineLog,
        drain: Milliseconds,
    ) -> None:
        self._pool = pool
        self._clock = clock
        self._log = log
        self._pending_removals = PendingRemovals(clock=clock, drain=drain)
        self._evacuated: set[FailureDomainId] = set()
        self._services: dict[EndpointId, ServiceId] = {}
        self._draining: set[EndpointId] = set()
        #: Start of the latest announced incarnation, by endpoint.
        self._started_at: dict[EndpointId, int] = {}
        self._removed = RemovedEndpoints(clock=clock)
        self._unconfirmed = UnconfirmedOrders(clock=clock)
        #: Tables whose whole content is expected from a restored store.
        self._restored: set[Table] = set()
        self._removed_orders: dict[ServiceId, RolloutOrder] = {}
        #: Called with an order and the same order of a former era of the store.
        self.on_order_continued: Callable[[RolloutOrder, RolloutOrder], None] = (
            lambda former, order: None
        )
        #: Called with an order that is none of those known before.
        self.on_order_begun: Callable[[RolloutOrder], None] = lambda order: None
        #: The declaration in force; None before the first one is read.
        self.deployment: Deployment | None = None
        #: Backlog limits that follow from the deployment.
        self.backlog_limits = backlog_limits(())
        #: Instant at which this instance applied the declaration.
        self.deployed_at = Milliseconds(0)
        #: The latest roll-out order of each service.
        self.rollout_orders: dict[ServiceId, RolloutOrder] = {}

    def store_recovered(self, instant: Milliseconds) -> None:
        """
        Start the time in which endpoints renew announcements after an outage.

        ``instant`` is when the store first answered any instance again.
        """
        self._pending_removals.store_recovered(instant)

    def recovery_age(self) -> Milliseconds | None:
        """Return the time since the store's latest outage; None if there was none."""
        recovered_at = self._pending_removals.recovered_at
        if recovered_at is None:
            return None
        return Milliseconds(self._clock.now() - recovered_at)

    def store_restored(self, table: Table) -> None:
        """Prepare for the whole ``table`` of a store that was restored from a copy."""
        self._restored.add(table)
        if table is Table.ENDPOINTS:
            # Endpoints that announced themselves after the copy was made do so again.
            self._pending_removals.store_recovered()
            for name in self._draining:
                self._pool.mark_leaving(name, self._started_at.get(name, 0))

    def apply_orders(self, rows: Rows, is_whole: bool) -> None:
        """Apply rows of operators; ``is_whole`` if ``rows`` is the whole table."""
        changes = [self._decode_order(row) for row in rows.rows]
        if is_whole:
            is_restored = Table.ORDERS in self._restored
            self._restored.discard(Table.ORDERS)
            self._remove_missing_orders(changes, is_restored=is_restored)
        for row, change in zip(rows.rows, changes, strict=True):
            try:
                self._unconfirmed.confirm(change)
                self._apply(change)
            except Exception as error:
                # The other rows and the table's revision must not wait for this one.
                self._log_failed_row(row, error)

    def apply_endpoints(self, rows: Rows, is_whole: bool) -> None:
        """Apply announcements; ``is_whole`` if ``rows`` is the whole table."""
        gone: dict[EndpointId, ServiceId] = {}
        sizes = Counter(self._services.values())
        present = {row.key for row in rows.rows if row.value is not None}
        is_restored = is_whole and Table.ENDPOINTS in self._restored
        if is_whole:
            self._restored.discard(Table.ENDPOINTS)
            gone = {
                name: service
                for name, service in self._services.items()
                if name not in present
            }
        for row in rows.rows:
            name = EndpointId(row.key)
            self._removed.drop_held_back(name)
            if is_restored and self._was_removed(name, row):
                self._removed.hold_back(name, row)
            elif row.value is not None:
                # One answer may also hold an earlier removal of the same endpoint.
                gone.pop(name, None)
                self._announce(name, row)
            elif name in self._services:
                gone[name] = self._services[name]
        if gone:
            deferred = self._pending_removals.removed(gone, sizes=sizes)
            self._log.write(
                "endpoints:gone",
                endpoints=list(gone),
                revision=rows.revision,
                deferred_ms=deferred,
            )
        self.remove_due()

    def remove_due(self) -> None:
        """Apply deferred removals and announcements that are due."""
        for change in self._unconfirmed.due():
            self._apply(change)
        for name, row in self._removed.due():
            self._announce(name, row)
        for name in self._pending_removals.due():
            self._services.pop(name, None)
            self._draining.discard(name)
            self._removed.remember(name, self._started_at.pop(name, 0))
            self._pool.withdraw(name)
            self._log.write("endpoint:removed", endpoint=name)

    def _announce(self, name: EndpointId, row: Row) -> None:
        """Apply the announcement in a row, whatever another writer has put there."""
        assert row.value is not None
        try:
            self._announce_endpoint(row, decode_endpoint(name, row.value))
        except DecodeError as error:
            self._log.write(
                "endpoint:unreadable",
                endpoint=name,
                revision=row.revision,
                reason=str(error),
            )
            self._forget(name)
        except Exception as error:
            # The other rows and the table's revision must not wait for this one.
            self._log_failed_row(row, error)
            self._forget(name)

    def _forget(self, name: EndpointId) -> None:
        """Stop using an endpoint whose row names no process that can be used."""
        self._services.pop(name, None)
        self._draining.discard(name)
        self._pool.withdraw(name)

    def _announce_endpoint(self, row: Row, endpoint: Endpoint) -> None:
        name = endpoint.id
        if endpoint.started_at < self._started_at.get(name, 0):
            self._log.write(
                "endpoint:outdated",
                endpoint=name,
                born=endpoint.started_at,
                known_born=self._started_at[name],
                revision=row.revision,
            )
            return
        self._started_at[name] = endpoint.started_at
        self._pending_removals.announced(name)
        self._services[name] = endpoint.service
        if endpoint.is_draining:
            self._draining.add(name)
        else:
            self._draining.discard(name)
        self._pool.announce(endpoint)
        self._log.write(
            "endpoint:announced",
            endpoint=name,
            service=endpoint.service,
            version=endpoint.version,
            failure_domain=endpoint.failure_domain,
            is_draining=endpoint.is_draining,
            cold_for_ms=endpoint.cold_remaining,
            revision=row.revision,
        )

    def _decode_order(self, row: Row) -> OrderChange:
        try:
            return decode_order(row)
        except Exception as error:
            self._log_failed_row(row, error)
            return UnknownOrder(row.key, repr(error))

    def _log_failed_row(self, row: Row, error: Exception) -> None:
        self._log.write(
            "row:failed", key=row.key, revision=row.revision, reason=repr(error)
        )

    def _was_removed(self, name: EndpointId, row: Row) -> bool:
        """Return whether a row announces a process that had been removed."""
        if row.value is None:
            return False
        try:
            endpoint = decode_endpoint(name, row.value)
        except Exception:
            # ``_announce`` decodes the row once more and logs the fault.
            return False
        return self._removed.was_removed(name, endpoint.started_at)

    def _remove(self, change: OrderChange, *, is_restored: bool) -> None:
        """Remove an order, or let it hold until it may have been written again."""
        if change in self._unconfirmed:
            # The table is read again before operators have written to it again.
            return
        if is_restored:
            self._unconfirmed.defer(change)
            self._log.write("order:not-in-copy", order=repr(change))
        else:
            self._apply(change)

    def _remove_missing_orders(
        self, present: list[OrderChange], *, is_restored: bool
    ) -> None:
        """Remove orders that are not in ``present``, which holds the whole table."""
        domains = {
            item.failure_domain
            for item in present
            if isinstance(item, EvacuationOrdered)
        }
        for domain in self._evacuated - domains:
            self._remove(EvacuationEnded(domain), is_restored=is_restored)
        services = {
            item.order.service for item in present if isinstance(item, RolloutOrdered)
        }
        # An order whose row has become unreadable was not removed.
        services |= {
            item.service
            for item in present
            if isinstance(item, UnknownOrder) and item.service is not None
        }
        for service in set(self.rollout_orders) - services:
            self._remove(RolloutOrderRemoved(service), is_restored=is_restored)

    @singledispatchmethod
    def _apply(self, change: OrderChange) -> None:
        raise TypeError(f"unsupported order change: {change!r}")

    @_apply.register
    def _(self, change: DeploymentChanged) -> None:
        deployment = change.deployment
        known = self.deployment
        if known is not None and known.version >= deployment.version:
            return
        self.deployment = deployment
        self.backlog_limits = backlog_limits(deployment.routes)
        self.deployed_at = self._clock.now()
        self._pool.update_services(deployment.services)
        self._log.write(
            "deployment:applied",
            version=deployment.version,
            routes=len(deployment.routes),
            services=list(deployment.services),
            keys=len(deployment.organisations_by_key),
        )

    @_apply.register
    def _(self, change: RolloutOrdered) -> None:
        order = change.order
        known = self.rollout_orders.get(order.service)
        if known is not None and known.revision >= order.revision:
            return
        removed = self._removed_orders.pop(order.service, None)
        self.rollout_orders[order.service] = order
        former = known or removed
        if former is not None and _is_continued(
            former, order, is_removed=known is None
        ):
            self._log.write(
                "rollout:order-continued",
                service=order.service,
                target=order.target,
                former=former.revision,
                revision=order.revision,
            )
            self.on_order_continued(former, order)
            return
        if former is not None:
            self.on_order_begun(order)
        self._log.write(
            "rollout:ordered",
            service=order.service,
            target=order.target,
            duration_ms=order.duration,
            revision=order.revision,
        )

    @_apply.register
    def _(self, change: RolloutOrderRemoved) -> None:
        removed = self.rollout_orders.pop(change.service, None)
        if removed is not None:
            self._removed_orders[change.service] = removed
            self._log.write("rollout:order-removed", service=change.service)

    @_apply.register
    def _(self, change: EvacuationOrdered) -> None:
        if change.failure_domain not in self._evacuated:
            self._evacuated.add(change.failure_domain)
            self._pool.update_evacuated(self._evacuated)
            self._log.write("evacuation:began", failure_domain=change.failure_domain)

    @_apply.register
    def _(self, change: EvacuationEnded) -> None:
        if change.failure_domain in self._evacuated:
            self._evacuated.discard(change.failure_domain)
            self._pool.update_evacuated(self._evacuated)
            self._log.write("evacuation:ended", failure_domain=change.failure_domain)

    @_apply.register
    def _(self, change: UnknownOrder) -> None:
        self._log.write("order:unreadable", key=change.key, reason=change.reason)


def _is_continued(
    former: RolloutOrder, order: RolloutOrder, *, is_removed: bool
) -> bool:
    """
    Return whether ``order`` is ``former``, read from a restored store.

    An order in force may be one that operators have written again after the restore. A
    removed one comes back by the copy only, which keeps its version within the era.
    """
    is_same = version_of(former.revision) == version_of(order.revision)
    return (
        era_of(former.revision) < era_of(order.revision)
        and former.target == order.target
        and (is_same or not is_removed)
    )
