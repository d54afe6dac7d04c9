"""Plans the orders that bring engines to the versions in the configuration."""

from collections.abc import Mapping
from dataclasses import dataclass

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.configuration import (
    Configuration,
    Endpoint,
    RolloutState,
    VersionState,
)
from fuchsiaroute.ids import EndpointId, FailureDomainId, VersionId
from fuchsiaroute.store import OrderKind

#: How long a version stays loaded after it is no longer wanted, so that open streams
#: can end.
UNLOAD_DELAY = Milliseconds(600_000)


@dataclass(frozen=True, kw_only=True)
class PlannedOrder:
    """A load or unload that brings one engine closer to the configuration."""

    endpoint: EndpointId
    kind: OrderKind
    version: VersionId


@dataclass(frozen=True, kw_only=True)
class EngineState:
    """Loaded versions of one engine."""

    loaded: frozenset[VersionId]
    #: Since when each loaded version that is not wanted has been so.
    unwanted_since: Mapping[VersionId, Milliseconds]


def engines_in(
    configuration: Configuration, failure_domain: FailureDomainId
) -> tuple[Endpoint, ...]:
    """Return the engines of ``failure_domain``; none during an outage of it."""
    domains_in_outage = {outage.failure_domain for outage in configuration.outages}
    if failure_domain in domains_in_outage:
        return ()
    return tuple(
        endpoint
        for endpoint in configuration.endpoints
        if endpoint.versions and endpoint.failure_domain == failure_domain
    )


def wanted_versions(
    configuration: Configuration, endpoint: Endpoint
) -> tuple[VersionId, ...]:
    """Return the versions that ``endpoint`` should have loaded, most urgent first."""
    states = {
        version.id: version.state
        for model in configuration.models
        for version in model.versions
    }
    wanted = [
        version
        for version in endpoint.versions
        if states.get(version, VersionState.WITHDRAWN) is not VersionState.WITHDRAWN
    ]
    targets = {
        rollout.target
        for rollout in configuration.rollouts
        if rollout.state is RolloutState.RUNNING
    }
    # A roll-out cannot go on without its target; other versions already serve.
    wanted.sort(key=lambda version: version not in targets)
    return tuple(wanted)


def plan_orders(
    configuration: Configuration,
    engines: Mapping[EndpointId, EngineState],
    now: Milliseconds,
) -> tuple[PlannedOrder, ...]:
    """
    Return the orders that ``engines`` need: loads by urgency, then unloads.

    The first missing version of each engine precedes the second one of any engine.
    """
    loads: list[tuple[int, PlannedOrder]] = []
    unloads: list[PlannedOrder] = []
    for endpoint in configuration.endpoints:
        engine = engines.get(endpoint.id)
        if engine is None:
            continue
        wanted = wanted_versions(configuration, endpoint)
        missing = [version for version in wanted if version not in engine.loaded]
        for rank, version in enumerate(missing):
            order = _order(endpoint.id, OrderKind.LOAD_VERSION, version)
            loads.append((rank, order))
        for version in sorted(engine.loaded.difference(wanted)):
            since = engine.unwanted_since.get(version, now)
            if now - since >= UNLOAD_DELAY:
                order = _order(endpoint.id, OrderKind.UNLOAD_VERSION, version)
                unloads.append(order)
    loads.sort(key=lambda item: item[0])
    return (*(order for _, order in loads), *unloads)


def _order(endpoint: EndpointId, kind: OrderKind, version: VersionId) -> PlannedOrder:
    return PlannedOrder(endpoint=endpoint, kind=kind, version=version)
