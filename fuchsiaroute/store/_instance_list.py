"""Interface of the platform's list of instances, which may be out of date."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from returns.result import Result

from fuchsiaroute.ids import FailureDomainId, InstanceId
from fuchsiaroute.store._table_store import StoreError


class InstanceState(Enum):
    """State of an instance according to the platform."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, kw_only=True)
class InstanceRecord:
    """An instance as listed by the platform; may be out of date."""

    #: An entry's instance id or an endpoint's id.
    id: InstanceId
    #: ``host:port``, with an IP address as the host.
    address: str
    failure_domain: FailureDomainId
    state: InstanceState = InstanceState.LIVE


class InstanceList(Protocol):
    """The platform's list of live and leaving instances."""

    async def instances(self) -> Result[tuple[InstanceRecord, ...], StoreError]:
        """Return the list, which may be out of date."""
