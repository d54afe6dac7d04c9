"""Rows that operators write (orders) and read (roll-out status)."""

from dataclasses import dataclass
from enum import Enum

import msgspec

from fuchsiaroute.deployment import Deployment, RolloutOrder
from fuchsiaroute.ids import FailureDomainId, ServiceId, VersionId
from fuchsiaroute.platform._decode import (
    DecodeError,
    decode_deployment,
    decode_rollout_order,
)
from fuchsiaroute.platform._rows import Row, Table, row_key
from fuchsiaroute.store import Put

_CONFIGURATION_KEY = "config"
_ROLLOUT_PREFIX = "rollout/"
_EVACUATION_PREFIX = "evacuate/"


class RolloutStatus(Enum):
    """State of a roll-out as published to operators."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


@dataclass(frozen=True)
class DeploymentChanged:
    """Operators wrote a new declaration of the deployment."""

    deployment: Deployment


@dataclass(frozen=True)
class RolloutOrdered:
    """Operators ordered a service to move to another version."""

    order: RolloutOrder


@dataclass(frozen=True)
class RolloutOrderRemoved:
    """Operators removed the roll-out order of a service."""

    service: ServiceId


@dataclass(frozen=True)
class EvacuationOrdered:
    """Operators ordered that a failure domain receives no new requests."""

    failure_domain: FailureDomainId


@dataclass(frozen=True)
class EvacuationEnded:
    """Operators removed the evacuation order of a failure domain."""

    failure_domain: FailureDomainId


@dataclass(frozen=True)
class UnknownOrder:
    """A row with an unknown key or a malformed value."""

    key: str
    reason: str
    #: The service whose roll-out order is malformed; None for any other row.
    service: ServiceId | None = None


OrderChange = (
    DeploymentChanged
    | RolloutOrdered
    | RolloutOrderRemoved
    | EvacuationOrdered
    | EvacuationEnded
    | UnknownOrder
)


def decode_order(row: Row) -> OrderChange:
    """Decode a row of the operators' table."""
    service: ServiceId | None = None
    try:
        if row.key == _CONFIGURATION_KEY and row.value is not None:
            return DeploymentChanged(decode_deployment(row.value))
        if row.key.startswith(_ROLLOUT_PREFIX):
            service = ServiceId(row.key.removeprefix(_ROLLOUT_PREFIX))
            if row.value is None:
                return RolloutOrderRemoved(service)
            return RolloutOrdered(
                decode_rollout_order(row.value, revision=row.revision)
            )
    except DecodeError as error:
        return UnknownOrder(row.key, str(error), service)
    if row.key.startswith(_EVACUATION_PREFIX):
        domain = FailureDomainId(row.key.removeprefix(_EVACUATION_PREFIX))
        if row.value is None:
            return EvacuationEnded(domain)
        return EvacuationOrdered(domain)
    return UnknownOrder(row.key, "unknown key")


def status_put(service: ServiceId, target: VersionId, status: RolloutStatus) -> Put:
    """Return the write that publishes the state of a roll-out to operators."""
    value = msgspec.json.encode(
        {"Service": service, "To": target, "State": status.value}
    )
    return Put(key=row_key(Table.STATUS, f"{_ROLLOUT_PREFIX}{service}"), value=value)
