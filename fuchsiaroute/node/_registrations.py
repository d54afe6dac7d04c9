"""Which instances may use a rate that all share, by what the store holds of them."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.ids import InstanceId

#: Time after its start for which a read of the rows may be relied on. A new instance
#: lets as much pass before it uses a shared rate: all reads without its row have
#: lapsed then.
READ_VALIDITY = Milliseconds(5_000)
#: Time, by the store's clock, for which a row counts after it was written.
LEASE_TIME = Milliseconds(1_200_000)
#: Time after it wrote its row for which an instance relies on being counted; the rest
#: of the lease covers the error of its estimate of the store's time.
OWN_LEASE_TIME = Milliseconds(600_000)
#: Interval at which an instance writes its row again.
RENEWAL_INTERVAL = Milliseconds(300_000)
#: Remaining time of a lease below which its instance counts as new: the lease may end
#: while its renewal is on the way.
MIN_REMAINING_LEASE = Milliseconds(30_000)


class ShareState(Enum):
    """Whether an instance may use its part of a shared rate, or why not."""

    CONFIRMED = "confirmed"
    NOT_LISTED = "own row not in force"
    NEW = "others may not count this instance yet"
    NOT_RENEWED = "own row not renewed"
    NOT_READ = "rows not read"


@dataclass(frozen=True, kw_only=True)
class Lease:
    """Time, by the store's clock, for which the row of an instance counts."""

    #: Instant at which the row was first written; renewals keep it.
    start: Milliseconds
    end: Milliseconds


class Registrations:
    """
    The instances whose rows in the store are in force.

    Heartbeats cannot bound a sum over all instances: two that do not hear of each other
    each count one too few. Rows do, whatever is heard: an instance uses a shared rate
    only while its own row and a recent read of all rows are in force, and a row ends
    only when its instance has long ceased to rely on it.
    """

    def __init__(self, instance: InstanceId, *, clock: Clock) -> None:
        self._instance = instance
        self._clock = clock
        self._names = frozenset({instance})
        self._read_at: Milliseconds | None = None
        self._renewed_at: Milliseconds | None = None
        #: Instant from which all other instances count this one; None while its row is
        #: not known to be in force.
        self._usable_from: Milliseconds | None = None
        #: The own lease at the latest read, if enough of it was left, and its age.
        self._lease: Lease | None = None
        self._lease_age = 0

    @property
    def names(self) -> frozenset[InstanceId]:
        """Return the instances that are counted, this one included."""
        return self._names

    @property
    def state(self) -> ShareState:
        """Return whether this instance may use its part of a shared rate now."""
        if self._usable_from is None:
            return ShareState.NOT_LISTED
        if self._age(self._usable_from) < 0:
            return ShareState.NEW
        if self._age(self._renewed_at) >= OWN_LEASE_TIME:
            return ShareState.NOT_RENEWED
        if self.read_age >= READ_VALIDITY:
            return ShareState.NOT_READ
        return ShareState.CONFIRMED

    @property
    def is_confirmed(self) -> bool:
        """Return whether the state is ``CONFIRMED``."""
        return self.state is ShareState.CONFIRMED

    @property
    def read_age(self) -> float:
        """Return the milliseconds since the latest read began; infinite before one."""
        return self._age(self._read_at)

    @property
    def is_renewal_due(self) -> bool:
        """Return whether this instance has to write its row."""
        return self._usable_from is None or (
            self._age(self._renewed_at) >= RENEWAL_INTERVAL
        )

    def record_read(
        self,
        leases: Mapping[InstanceId, Lease],
        *,
        started_at: Milliseconds,
        store_now: Milliseconds,
    ) -> None:
        """Replace the rows by those of a read that began at ``started_at``."""
        self._read_at = started_at
        in_force = {name for name, lease in leases.items() if lease.end > store_now}
        if self._instance not in in_force:
            # It was never written, has ended, or was lost when the store was restored.
            self._usable_from = None
        self._lease = leases.get(self._instance)
        if self._lease is not None:
            self._lease_age = store_now - self._lease.start
            if self._lease.end - store_now < MIN_REMAINING_LEASE:
                self._lease = None
        names = frozenset({*in_force, self._instance})
        if names != self._names:
            self._names = names

    def next_lease(self, store_now: Milliseconds) -> Lease:
        """Return the lease to write, which goes on with the one that was read."""
        start = store_now if self._lease is None else self._lease.start
        return Lease(start=start, end=Milliseconds(store_now + LEASE_TIME))

    def record_renewal(self, started_at: Milliseconds) -> None:
        """Record that the own row was written by a call begun at ``started_at``."""
        self._renewed_at = started_at
        if self._lease is None:
            self._usable_from = Milliseconds(self._clock.now() + READ_VALIDITY)
        elif self._usable_from is None:
            # A former process has written the row, possibly a while after the start
            # that it states.
            missing = 2 * READ_VALIDITY - self._lease_age
            self._usable_from = Milliseconds(self._clock.now() + max(missing, 0))

    def _age(self, instant: Milliseconds | None) -> float:
        return float("inf") if instant is None else self._clock.now() - instant
