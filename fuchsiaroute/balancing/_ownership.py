"""Ownership of cold slots, recorded in the platform's table service."""

from collections.abc import Iterable, Sequence

import msgspec
from returns.result import Failure, Result, Success

from fuchsiaroute.balancing._cold_slots import ColdSlot, ColdSlots
from fuchsiaroute.balancing._departures import Departures, SlotOwner
from fuchsiaroute.balancing._subset import HashRing
from fuchsiaroute.clock import Clock, Milliseconds
from fuchsiaroute.configuration import Endpoint
from fuchsiaroute.ids import InstanceId
from fuchsiaroute.store import (
    Check,
    Committed,
    Put,
    Record,
    StoreError,
    TableStore,
    Transaction,
)

#: Time between two reads of the slots that this entry owns or wants to claim.
READ_INTERVAL = Milliseconds(10_000)
#: Maximum number of keys in one read or transaction.
BATCH_SIZE = 100
_KEY_PREFIX = "cold-slot/"
_FREE = b""

_PreferenceInputs = tuple[tuple[Endpoint, ...], tuple[InstanceId, ...]]


class ColdSlotOwnership:
    """
    Claims slots of cold endpoints for one entry process and confirms their ownership.

    A slot has one record, which is written only if it is absent, marked as free, or
    owned by a process that has ended. Records do not expire, so ownership does not
    change while the store is down: owners continue to use their slots, and no other
    entry can claim them.
    """

    def __init__(
        self,
        *,
        owner: SlotOwner,
        store: TableStore,
        slots: ColdSlots,
        departures: Departures,
        clock: Clock,
    ) -> None:
        self._owner = owner
        self._store = store
        self._slots = slots
        self._departures = departures
        self._clock = clock
        self._read_at = Milliseconds(clock.now() - READ_INTERVAL)
        self._claimed: frozenset[ColdSlot] = frozenset()
        self._is_stopping = False
        #: Endpoints and members that ``_preferred`` was computed from.
        self._preference_inputs: _PreferenceInputs = ((), ())
        self._preferred: frozenset[ColdSlot] = frozenset()

    async def step(
        self, endpoints: Sequence[Endpoint], members: Sequence[InstanceId]
    ) -> Result[None, StoreError]:
        """Claim slots and confirm their ownership; must run about once a second."""
        self._slots.tick()
        is_due = self._clock.now() - self._read_at >= READ_INTERVAL
        if self._is_stopping or not (is_due or self._slots.is_suspended):
            return Success(None)
        self._read_at = self._clock.now()
        if self._departures.is_owner_missing:
            self._slots.suspend()
            return Success(None)
        wanted = self._wanted(endpoints, members)
        outcome = await self._claim(wanted)
        if isinstance(outcome, Failure):
            return Failure(outcome.failure())
        self._claimed = frozenset(outcome.unwrap())
        limits = {endpoint.id: endpoint.cold_capacity for endpoint in endpoints}
        self._slots.confirm(
            slot for slot in self._claimed if slot.number < limits.get(slot.endpoint, 0)
        )
        return Success(None)

    async def release(self) -> Result[None, StoreError]:
        """
        Mark the slots of this entry as free for other entries.

        Must be called at a graceful stop, once no request of this entry is running. A
        slot whose last request may still be running is kept; other entries claim it
        once this process has departed, as after a crash.
        """
        self._is_stopping = True
        self._slots.suspend()
        settled = [
            slot for slot in self._claimed if not self._slots.is_used(slot.endpoint)
        ]
        for batch in _batches(sorted(settled)):
            read = await self._store.read([_key(slot) for slot in batch])
            if isinstance(read, Failure):
                return Failure(read.failure())
            own = [item for item in read.unwrap() if _owner(item) == self._owner]
            committed = await self._write(own, _FREE)
            if isinstance(committed, Failure):
                return Failure(committed.failure())
        return Success(None)

    def _wanted(
        self, endpoints: Sequence[Endpoint], members: Sequence[InstanceId]
    ) -> list[ColdSlot]:
        # The preference only reduces conflicts. Entries may have different members; the
        # record in the store decides who owns a slot.
        inputs = (tuple(endpoints), tuple(members))
        if inputs != self._preference_inputs:
            self._preference_inputs = inputs
            self._preferred = self._preferred_slots(endpoints, members)
        return sorted(self._preferred | self._claimed)

    def _preferred_slots(
        self, endpoints: Sequence[Endpoint], members: Sequence[InstanceId]
    ) -> frozenset[ColdSlot]:
        ring = HashRing((*members, self._owner.instance))
        return frozenset(
            slot
            for endpoint in endpoints
            for slot in _slots(endpoint)
            if ring.owner(_key(slot)) == self._owner.instance
        )

    async def _claim(
        self, wanted: Sequence[ColdSlot]
    ) -> Result[list[ColdSlot], StoreError]:
        owned: list[ColdSlot] = []
        for batch in _batches(wanted):
            by_key = {_key(slot): slot for slot in batch}
            read = await self._store.read(list(by_key))
            if isinstance(read, Failure):
                return Failure(read.failure())
            records = read.unwrap()
            claimable = [record for record in records if self._is_claimable(record)]
            taken = [record for record in records if _owner(record) == self._owner]
            written = await self._write(claimable, msgspec.json.encode(self._owner))
            if written == Success(True):
                taken += claimable
            elif claimable:
                # After a lost answer or a conflict the next step reads again.
                self._read_at = Milliseconds(self._clock.now() - READ_INTERVAL)
            owned += [by_key[record.key] for record in taken]
        return Success(owned)

    async def _write(
        self, records: Sequence[Record], value: bytes
    ) -> Result[bool, StoreError]:
        if not records:
            return Success(False)
        transaction = Transaction(
            checks=tuple(
                Check(key=record.key, version=record.version) for record in records
            ),
            puts=tuple(Put(key=record.key, value=value) for record in records),
        )
        outcome = await self._store.commit(transaction)
        return outcome.map(lambda answer: isinstance(answer, Committed))

    def _is_claimable(self, record: Record) -> bool:
        owner = _owner(record)
        if owner is None:
            return True
        return owner != self._owner and self._departures.has_departed(owner)


def _slots(endpoint: Endpoint) -> Iterable[ColdSlot]:
    for number in range(endpoint.cold_capacity):
        yield ColdSlot(endpoint=endpoint.id, number=number)


def _key(slot: ColdSlot) -> str:
    return f"{_KEY_PREFIX}{slot.endpoint}/{slot.number}"


def _owner(record: Record) -> SlotOwner | None:
    if record.value == _FREE:
        return None
    return msgspec.json.decode(record.value, type=SlotOwner)


def _batches(slots: Sequence[ColdSlot]) -> Iterable[Sequence[ColdSlot]]:
    for start in range(0, len(slots), BATCH_SIZE):
        yield slots[start : start + BATCH_SIZE]
