"""How many requests an endpoint gets at once."""

from fuchsiaroute.deployment import Service
from fuchsiaroute.pool._member import PoolMember

#: Requests in flight per slot at which an endpoint of a plain service gets no more; a
#: request then waits about as long at the endpoint as it runs.
PLAIN_LOAD_PER_SLOT = 2.0
#: Requests in flight per slot at which a model engine gets no more. Requests beyond its
#: slots would wait in the engine's own queue, where this instance cannot reorder them.
ENGINE_LOAD_PER_SLOT = 1.0


def capacity(member: PoolMember, service: Service | None) -> float:
    """Return the requests in flight at which an endpoint gets no more."""
    is_engine = service is not None and service.engine is not None
    per_slot = ENGINE_LOAD_PER_SLOT if is_engine else PLAIN_LOAD_PER_SLOT
    limit = member.endpoint.slots * per_slot
    share = member.ramp_share
    return limit if share == 1.0 else max(limit * share, 1.0)
