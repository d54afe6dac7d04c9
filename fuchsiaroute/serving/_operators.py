"""Operator API of a composed entry."""

import random
from collections import Counter

from litestar import Litestar
from returns.result import Failure

from fuchsiaroute.clock import Clock
from fuchsiaroute.configuration import ConfigurationLog, VersionState
from fuchsiaroute.ids import VersionId
from fuchsiaroute.logs import ConfigurationApplied, log_event
from fuchsiaroute.operators import (
    ConfigurationLogChanges,
    ConfigurationReply,
    EndpointStatus,
    EntryStatus,
    Explanation,
    ExplanationRequest,
    OperatorKeys,
    build_operators_app,
    explain,
    load_keys,
)
from fuchsiaroute.serving._compose import ComposedEntry
from fuchsiaroute.settings import OperatorSettings
from fuchsiaroute.store import TableStore

#: Explanations have a random generator of their own, so that a query does not change
#: the routing of requests.
EXPLANATION_SEED = 1


class ObservedEntry:
    """State of an entry for the operator API; implements ``EntryView``."""

    def __init__(self, entry: ComposedEntry) -> None:
        self._entry = entry
        self._random = random.Random(EXPLANATION_SEED)
        entry.current.subscribe(
            lambda revision, _: log_event(ConfigurationApplied(revision=revision))
        )

    def status(self) -> EntryStatus:
        """Return readiness, revision, roll-outs, outages and endpoint states."""
        current = self._entry.current
        configuration = current.configuration
        return EntryStatus(
            instance=self._entry.options.instance,
            failure_domain=self._entry.options.failure_domain,
            deployment=configuration.deployment,
            is_ready=current.is_ready,
            readiness=self._entry.configuration.in_force.readiness.value,
            revision=current.revision,
            age=self._entry.configuration.in_force.age,
            rollouts=configuration.rollouts,
            outages=configuration.outages,
            draining=self._versions(VersionState.DRAINING),
            withdrawn=self._versions(VersionState.WITHDRAWN),
            endpoints=self._endpoints(),
        )

    def in_force(self) -> ConfigurationReply:
        """Return the configuration in force at the entry and its revision."""
        current = self._entry.current
        return ConfigurationReply(
            revision=current.revision, configuration=current.configuration
        )

    def explain(self, question: ExplanationRequest) -> Explanation:
        """Return how a request would be routed with the current quality estimates."""
        route = self._entry.routing.route
        return explain(question, view=route.view, router=route.router_for(self._random))

    def metrics(self) -> bytes:
        """Update the gauges and return all metrics in the exposition format."""
        metrics = self._entry.metrics
        status = self.status()
        metrics.set_configuration(status.revision, age=status.age)
        metrics.set_ready(status.is_ready)
        metrics.set_ledger_pending(self._entry.durable.ledger.buffered)
        metrics.set_endpoints(Counter(item.state for item in status.endpoints))
        return metrics.render()

    def _versions(self, state: VersionState) -> tuple[VersionId, ...]:
        return tuple(
            version.id
            for model in self._entry.current.configuration.models
            for version in model.versions
            if version.state is state
        )

    def _endpoints(self) -> tuple[EndpointStatus, ...]:
        return tuple(
            EndpointStatus(
                id=item.endpoint.id,
                failure_domain=item.endpoint.failure_domain,
                state=item.state.value,
            )
            for item in self._entry.balancing.chooser.table
        )


def compose_operators(
    entry: ComposedEntry,
    *,
    store: TableStore,
    settings: OperatorSettings,
    clock: Clock,
) -> Litestar:
    """
    Return the ASGI application of the operator API of ``entry``.

    Raises ``SecretError`` if an operator's key cannot be read.
    """
    keys = load_keys(settings.key_files)
    if isinstance(keys, Failure):
        raise keys.failure()
    return build_operators_app(
        view=ObservedEntry(entry),
        changes=ConfigurationLogChanges(ConfigurationLog(store, clock)),
        keys=OperatorKeys(keys.unwrap()),
    )
