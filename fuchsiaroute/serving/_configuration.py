"""Composition of the parts that load the configuration and keep it current."""

from collections.abc import Callable
from dataclasses import dataclass

from fuchsiaroute.clock import Clock
from fuchsiaroute.configuration import (
    READY_STATES,
    ConfigurationInForce,
    ConfigurationPoller,
    ConfigurationReader,
)
from fuchsiaroute.entry import ConfigurationPoll, CurrentConfiguration
from fuchsiaroute.store import TableStore


@dataclass(frozen=True, kw_only=True)
class ConfigurationParts:
    """The configuration in force and the parts that update it."""

    in_force: ConfigurationInForce
    current: CurrentConfiguration
    poller: ConfigurationPoller
    poll: ConfigurationPoll


def compose_configuration(
    *, store: TableStore, clock: Clock, entry_count: Callable[[], int]
) -> ConfigurationParts:
    """Return the parts of an entry that reads its configuration from ``store``."""
    in_force = ConfigurationInForce(clock)
    # An entry without peers has a quorum by itself. With peers, the peer node updates
    # this value.
    in_force.update_quorum(has_quorum=True)
    current = CurrentConfiguration(may_serve=lambda: in_force.readiness in READY_STATES)
    in_force.subscribe(
        lambda snapshot: current.apply(snapshot.change.revision, snapshot.configuration)
    )
    poller = ConfigurationPoller(ConfigurationReader(store, clock), in_force, clock)
    return ConfigurationParts(
        in_force=in_force,
        current=current,
        poller=poller,
        poll=ConfigurationPoll(poller=poller, clock=clock, entry_count=entry_count),
    )
