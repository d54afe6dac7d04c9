"""Ledger records as stored in the table service and copied to peers."""

from urllib.parse import quote

import msgspec

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.ids import (
    EndpointId,
    InstanceId,
    OrganisationId,
    ProductId,
    RequestClass,
    RequestId,
    VersionId,
)

LEDGER_KEY_PREFIX = "ledger/"


class AttemptCost(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The cost of one attempt of a request."""

    #: Empty for a plain service.
    version: VersionId
    endpoint: EndpointId
    #: Cost in micro-units of the deployment's currency.
    cost: int


class LedgerRecord(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The bill of one request: all of its attempts, retries and escalations."""

    organisation: OrganisationId
    request: RequestId
    product: ProductId
    request_class: RequestClass
    attempts: tuple[AttemptCost, ...]
    #: The entry that answered.
    instance: InstanceId
    #: Unix time of the answer's end in milliseconds.
    ended_at: Milliseconds

    @property
    def cost(self) -> int:
        """Return the cost of all attempts in micro-units."""
        return sum(attempt.cost for attempt in self.attempts)

    @property
    def key(self) -> str:
        """Return the key under which the request is billed; one record per key."""
        organisation = quote(self.organisation, safe="")
        return f"{LEDGER_KEY_PREFIX}{organisation}/{self.request}"


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(LedgerRecord)
_BATCH_DECODER = msgspec.msgpack.Decoder(tuple[LedgerRecord, ...])


def encode_record(record: LedgerRecord) -> bytes:
    """Return ``record`` as stored in the table service."""
    return _ENCODER.encode(record)


def decode_record(encoded: bytes) -> LedgerRecord:
    """Return the record in ``encoded``; raises ``msgspec.MsgspecError``."""
    return _DECODER.decode(encoded)


def encode_batch(records: tuple[LedgerRecord, ...]) -> bytes:
    """Return ``records`` as copied to peers."""
    return _ENCODER.encode(records)


def decode_batch(encoded: bytes) -> tuple[LedgerRecord, ...]:
    """Return the records in ``encoded``; raises ``msgspec.MsgspecError``."""
    return _BATCH_DECODER.decode(encoded)
