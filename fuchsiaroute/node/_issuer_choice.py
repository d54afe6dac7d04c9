"""Choice of the instance that decides for an endpoint on behalf of all."""

from collections.abc import Callable

from fuchsiaroute.gossip import Liveness
from fuchsiaroute.hashing import rendezvous_order
from fuchsiaroute.ids import EndpointId, InstanceId


class IssuerChoice:
    """The first instance, by a hash of the endpoint's id, of those that are ready."""

    def __init__(
        self,
        *,
        instance: InstanceId,
        liveness: Liveness,
        is_ready: Callable[[], bool],
    ) -> None:
        self._instance = instance
        self._liveness = liveness
        self._is_ready = is_ready
        self._candidates: tuple[InstanceId, ...] = ()
        #: Issuers by endpoint; valid for ``_candidates``.
        self._issuers: dict[EndpointId, InstanceId] = {}

    def of(self, endpoint: EndpointId) -> InstanceId:
        """Return the instance that issues for an endpoint."""
        issuer = self._issuers.get(endpoint)
        if issuer is None:
            self.refresh()
            issuer = rendezvous_order(endpoint, self._candidates)[0]
            self._issuers[endpoint] = issuer
        return issuer

    def refresh(self) -> None:
        """Let the instances that are ready be issuers; all, if none is."""
        alive = self._liveness.alive()
        ready = [item.instance for item in alive if item.is_ready]
        if self._is_ready():
            ready.append(self._instance)
        names = ready or [self._instance, *(item.instance for item in alive)]
        candidates = tuple(sorted(names))
        if candidates != self._candidates:
            self._candidates = candidates
            self._issuers = {}
