"""The parts of an entry that agree on the configuration with other entries."""

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
    """The configuration in force and what keeps it current."""

    in_force: ConfigurationInForce
    current: CurrentConfiguration
    poller: ConfigurationPoller
    poll: ConfigurationPoll


def compose_configuration(
    *, store: TableStore, clock: Clock, entry_count: Callable[[], int]
) -> ConfigurationParts:
    """Return the parts of an entry that reads its configuration from ``store``."""
    in_force = ConfigurationInForce(clock)
    # An entry without peers is the whole of the entries that it knows of.
    in_force.update_quorum(has_quorum=True)
    current = CurrentConfiguration(may_serve=lambda: in_force.readiness in READY_STATES)
    in_force.subscribe(
        lambda held: current.apply(held.change.revision, held.configuration)
    )
    poller = ConfigurationPoller(ConfigurationReader(store, clock), in_force, clock)
    return ConfigurationParts(
        in_force=in_force,
        current=current,
        poller=poller,
        poll=ConfigurationPoll(poller=poller, clock=clock, entry_count=entry_count),
    )
