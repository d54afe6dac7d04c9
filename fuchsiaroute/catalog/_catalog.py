"""The deployment, orders and endpoints as an instance holds them."""

from collections import Counter
from functools import singledispatchmethod

from fuchsiaroute.catalog._removals import PendingRemovals
from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.deployment import Deployment, RolloutOrder
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
    UnknownOrder,
    decode_endpoint,
    decode_order,
)
from fuchsiaroute.pool import EndpointPool


class Catalog:
    """
    The deployment, the operators' orders and the announced endpoints.

    A declaration is never replaced by an older one. An endpoint whose row cannot be
    decoded is not used; the row is logged once for each revision.
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
        #: Start of the latest announced incarnation, by endpoint.
        self._started_at: dict[EndpointId, int] = {}
        #: The declaration in force; None before the first one is read.
        self.deployment: Deployment | None = None
        #: Instant at which this instance applied the declaration.
        self.deployed_at = Milliseconds(0)
        #: The latest roll-out order of each service.
        self.rollout_orders: dict[ServiceId, RolloutOrder] = {}

    def store_recovered(self) -> None:
        """Start the time in which endpoints renew announcements after an outage."""
        self._pending_removals.store_recovered()

    def apply_orders(self, rows: Rows, is_whole: bool) -> None:
        """Apply rows of operators; ``is_whole`` if ``rows`` is the whole table."""
        if is_whole:
            self._remove_missing_orders(rows)
        for row in rows.rows:
            self._apply(decode_order(row))

    def apply_endpoints(self, rows: Rows, is_whole: bool) -> None:
        """Apply announcements; ``is_whole`` if ``rows`` is the whole table."""
        gone: dict[EndpointId, ServiceId] = {}
        sizes = Counter(self._services.values())
        present = {row.key for row in rows.rows if row.value is not None}
        if is_whole:
            gone = {
                name: service
                for name, service in self._services.items()
                if name not in present
            }
        for row in rows.rows:
            name = EndpointId(row.key)
            if row.value is not None:
                # One answer may also hold an earlier removal of the same endpoint.
                gone.pop(name, None)
                self._announce(name, row)
            elif name in self._services:
                gone[name] = self._services[name]
        if gone:
            self._pending_removals.removed(gone, sizes=sizes)
            self._log.write(
                "endpoints:gone", endpoints=list(gone), revision=rows.revision
            )
        self.remove_due()

    def remove_due(self) -> None:
        """Remove endpoints whose deferred removal is due."""
        for name in self._pending_removals.due():
            self._services.pop(name, None)
            self._started_at.pop(name, None)
            self._pool.withdraw(name)
            self._log.write("endpoint:removed", endpoint=name)

    def _announce(self, name: EndpointId, row: Row) -> None:
        assert row.value is not None
        try:
            endpoint = decode_endpoint(name, row.value)
        except DecodeError as error:
            self._log.write(
                "endpoint:unreadable",
                endpoint=name,
                revision=row.revision,
                reason=str(error),
            )
            self._services.pop(name, None)
            self._pool.withdraw(name)
            return
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

    def _remove_missing_orders(self, rows: Rows) -> None:
        """Remove orders that ``rows``, the whole table, no longer holds."""
        present = [decode_order(row) for row in rows.rows]
        domains = {
            item.failure_domain
            for item in present
            if isinstance(item, EvacuationOrdered)
        }
        for domain in self._evacuated - domains:
            self._apply(EvacuationEnded(domain))
        services = {
            item.order.service for item in present if isinstance(item, RolloutOrdered)
        }
        for service in set(self.rollout_orders) - services:
            self._apply(RolloutOrderRemoved(service))

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
        self.rollout_orders[order.service] = order
        self._log.write(
            "rollout:ordered",
            service=order.service,
            target=order.target,
            duration_ms=order.duration,
            revision=order.revision,
        )

    @_apply.register
    def _(self, change: RolloutOrderRemoved) -> None:
        if self.rollout_orders.pop(change.service, None) is not None:
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
