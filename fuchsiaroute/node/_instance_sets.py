"""Among which instances limits and rates are divided."""

from fuchsiaroute.gossip import Liveness, MemberInfo
from fuchsiaroute.ids import InstanceId
from fuchsiaroute.node._registrations import Registrations


class InstanceSets:
    """
    The sets of instances that divide a sum, each including this instance.

    The same tuple is returned until instances have come or gone, since each request
    asks for it.
    """

    def __init__(
        self, *, instance: InstanceId, liveness: Liveness, registrations: Registrations
    ) -> None:
        self._instance = instance
        self._liveness = liveness
        self._registrations = registrations
        #: What ``present`` was computed from and its result.
        self._members: tuple[MemberInfo, ...] | None = None
        self._present: tuple[InstanceId, ...] = (instance,)
        #: The same for ``sharing_cold_rates``.
        self._heard: tuple[MemberInfo, ...] | None = None
        self._registered: frozenset[InstanceId] | None = None
        self._sharing: tuple[InstanceId, ...] = (instance,)

    def present(self) -> tuple[InstanceId, ...]:
        """Return the instances that share limits and budgets."""
        members = self._liveness.presumed_alive()
        if members is not self._members:
            self._members = members
            names = (self._instance, *(member.instance for member in members))
            if set(names) != set(self._present):
                self._present = names
        return self._present

    def sharing_cold_rates(self) -> tuple[InstanceId, ...]:
        """
        Return the instances that may use a cold endpoint's rate.

        Those that are heard are added to the registered ones, since the rows of former
        builds have no leases.
        """
        heard, registered = self._liveness.sharing(), self._registrations.names
        if heard is not self._heard or registered is not self._registered:
            self._heard, self._registered = heard, registered
            names = {member.instance for member in heard}
            self._sharing = tuple(sorted(registered | names))
        return self._sharing
