"""A lease in the table service, with a fencing number for each holder."""

from enum import Enum
from random import Random

import msgspec
from returns.result import Success

from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.ids import FencingNumber, Incarnation, InstanceId
from fuchsiaroute.store import (
    ABSENT,
    Check,
    Committed,
    Conflict,
    Put,
    Record,
    TableStore,
    Transaction,
)

KEY_PREFIX = "lease/"
#: How long a lease lasts after its last renewal was sent.
LEASE_DURATION = Milliseconds(15_000)
#: Time between renewals, and between reads of a lease that another entry holds.
RENEWAL_INTERVAL = Milliseconds(5_000)
#: Number of entries up to which each reads the lease once in a renewal interval.
MAX_POLLING_ENTRIES = 8
#: The holder subtracts it from the lease duration and other entries add it, so that
#: clocks of different speed do not lead to two holders.
CLOCK_DRIFT_MARGIN = Milliseconds(1_000)
TOKEN_BITS = 64
NO_FENCING = FencingNumber(0)


class LeaseRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The lease as stored in the table service."""

    instance: InstanceId
    incarnation: Incarnation
    #: Grows with each new holder.
    fencing: FencingNumber
    #: Differs with each write, so that an entry recognises its own write.
    token: str
    #: Whether the holder has released the lease.
    is_released: bool = False


class LeaseState(Enum):
    """Whether this entry holds the lease."""

    #: Another entry holds the lease, or none does.
    FREE = "free"
    HELD = "held"


class Lease:
    """
    A lease that this entry holds or tries to acquire.

    Another entry acquires it once the record has not changed for the lease's duration,
    measured by that entry's own clock. The holder counts the duration from before it
    sent its last renewal. Wall clocks are not used.
    """

    def __init__(
        self,
        name: str,
        *,
        store: TableStore,
        clock: Clock,
        instance: InstanceId,
        incarnation: Incarnation,
        random: Random,
    ) -> None:
        self._key = f"{KEY_PREFIX}{name}"
        self._store = store
        self._clock = clock
        self._instance = instance
        self._incarnation = incarnation
        self._random = random
        self._state = LeaseState.FREE
        self._fencing = NO_FENCING
        self._acquired_at = Milliseconds(0)
        self._held_until = Milliseconds(0)
        self._seen_version = ABSENT
        self._seen_at = clock.now()
        self._is_version_current = False
        self._was_renewed = False
        self._record: LeaseRecord | None = None

    @property
    def fencing(self) -> FencingNumber:
        """Return the fencing number of the lease as last held."""
        return self._fencing

    @property
    def acquired_at(self) -> Milliseconds:
        """Return the time at which this entry became the holder."""
        return self._acquired_at

    @property
    def is_held(self) -> bool:
        """Return whether the lease is held now; check it right before each order."""
        is_in_time = self._clock.now() < self._held_until
        return self._state is LeaseState.HELD and is_in_time

    def next_delay(self, entry_count: int) -> Milliseconds:
        """
        Return the time until the next step.

        An entry that found the lease renewed reads it again after a time that grows
        with the number of entries, so that the read rate of all entries together stays
        constant. An entry that found it unchanged reads at each renewal interval.
        """
        if self.is_held or not self._was_renewed:
            return RENEWAL_INTERVAL
        factor = max(1.0, entry_count / MAX_POLLING_ENTRIES)
        return Milliseconds(int(RENEWAL_INTERVAL * factor))

    def initial_delay(self, entry_count: int) -> Milliseconds:
        """Return a random time until the first step, so that entries spread out."""
        factor = max(1.0, entry_count / MAX_POLLING_ENTRIES)
        return Milliseconds(int(RENEWAL_INTERVAL * factor * self._random.random()))

    async def step(self) -> None:
        """Renew the lease if it is held, otherwise try to acquire it."""
        if self.is_held and self._is_version_current:
            await self._write(self._seen_version, self._fencing)
            return
        answer = await self._store.read([self._key])
        if not isinstance(answer, Success):
            return
        record = answer.unwrap()[0]
        self._observe(record)
        current = _decode(record)
        if current is not None and self._is_own(current):
            await self._write(record.version, current.fencing)
            return
        self.mark_lost()
        if current is None:
            await self._write(record.version, FencingNumber(NO_FENCING + 1))
        elif self._is_available(current):
            await self._write(record.version, FencingNumber(current.fencing + 1))

    async def release(self) -> None:
        """Release the lease, so that another entry can acquire it before it expires."""
        if not self.is_held or self._record is None:
            return
        released = msgspec.structs.replace(self._record, is_released=True)
        self.mark_lost()
        transaction = self._transaction(released, self._seen_version)
        await self._store.commit(transaction)

    def mark_lost(self) -> None:
        """Stop holding the lease, for example after an engine refused an order."""
        self._state = LeaseState.FREE
        self._held_until = Milliseconds(0)
        self._record = None

    def _observe(self, record: Record) -> None:
        is_new = record.version != self._seen_version
        self._was_renewed = is_new and self._seen_version != ABSENT
        if is_new:
            self._seen_version = record.version
            self._seen_at = self._clock.now()

    def _is_own(self, current: LeaseRecord) -> bool:
        """Return whether this incarnation wrote ``current`` and has not released it."""
        writer = (current.instance, current.incarnation)
        is_writer = writer == (self._instance, self._incarnation)
        return is_writer and not current.is_released

    def _is_available(self, current: LeaseRecord) -> bool:
        """Return whether another holder's lease has been released or has expired."""
        if current.is_released:
            return True
        unchanged_for = self._clock.now() - self._seen_at
        return unchanged_for >= LEASE_DURATION + CLOCK_DRIFT_MARGIN

    async def _write(self, version: int, fencing: FencingNumber) -> None:
        new_record = LeaseRecord(
            instance=self._instance,
            incarnation=self._incarnation,
            fencing=fencing,
            token=f"{self._random.getrandbits(TOKEN_BITS):x}",
        )
        sent_at = self._clock.now()
        answer = await self._store.commit(self._transaction(new_record, version))
        if not isinstance(answer, Success):
            self._is_version_current = False
            await self._read_back(new_record, sent_at)
            return
        match answer.unwrap():
            case Committed():
                self._hold(new_record, sent_at, version + 1)
            case Conflict():
                # An earlier write of this entry may have taken effect late; the next
                # step reads the record.
                self._is_version_current = False

    async def _read_back(self, new_record: LeaseRecord, sent_at: Milliseconds) -> None:
        """Hold the lease after a lost answer if the write was stored."""
        answer = await self._store.read([self._key])
        if not isinstance(answer, Success):
            return
        record = answer.unwrap()[0]
        self._observe(record)
        if _decode(record) == new_record:
            self._hold(new_record, sent_at, record.version)

    def _hold(self, record: LeaseRecord, sent_at: Milliseconds, version: int) -> None:
        if self._state is not LeaseState.HELD or record.fencing != self._fencing:
            self._acquired_at = self._clock.now()
        self._state = LeaseState.HELD
        self._record = record
        self._fencing = record.fencing
        self._held_until = Milliseconds(sent_at + LEASE_DURATION - CLOCK_DRIFT_MARGIN)
        self._is_version_current = True
        self._seen_version = version
        self._seen_at = self._clock.now()

    def _transaction(self, record: LeaseRecord, version: int) -> Transaction:
        encoded = msgspec.msgpack.encode(record)
        return Transaction(
            checks=(Check(key=self._key, version=version),),
            puts=(Put(key=self._key, value=encoded),),
        )


def _decode(record: Record) -> LeaseRecord | None:
    if record.version == ABSENT:
        return None
    return msgspec.msgpack.decode(record.value, type=LeaseRecord)
