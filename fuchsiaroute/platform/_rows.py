"""Rows of the platform's store, and their encoding."""

import base64
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Any

import msgspec

from fuchsiaroute.store import (
    MAX_VERSION,
    Put,
    Record,
    StorePosition,
    store_position,
)


class Table(Enum):
    """Tables of the store."""

    #: Written by operators: the deployment, roll-outs, evacuations.
    ORDERS = "op"
    #: Announcements of endpoints.
    ENDPOINTS = "servers"
    #: Read by operators: the state of each roll-out.
    STATUS = "status"
    #: Instances of the router, by name.
    INSTANCES = "instances"
    #: Records of roll-outs, by service.
    ROLLOUTS = "rollouts"
    #: What the latest roll-out of each version came to, by service.
    ROLLOUT_OUTCOMES = "rollout-outcomes"
    #: Prompt parts that no endpoint gets, by the hash of their id.
    QUARANTINE = "quarantine"


@dataclass(frozen=True, kw_only=True)
class Row:
    """A row of a table; ``value`` is None if the row has been removed."""

    key: str
    value: bytes | None
    #: Position of the latest write of the row.
    revision: StorePosition


@dataclass(frozen=True, kw_only=True)
class Rows:
    """All rows of a table, or those that changed, at one position of the store."""

    rows: tuple[Row, ...]
    revision: StorePosition


@dataclass(frozen=True)
class HistoryGone:
    """
    The store does not have the requested changes; the table must be read again.

    It has discarded them, or it was restored from a copy since the requested position.
    """


class WireRow(msgspec.Struct):
    """A row in a response."""

    Key: str
    Table: str = ""
    # Base64 of the value; absent in the row of a removed key.
    Value: str = ""
    # Revision of the row, not a version of its format.
    SchemaVersion: int = 0
    Deleted: bool = False


class StoreResponse(msgspec.Struct):
    """The body of a response, and the era that its head states."""

    Rows: list[WireRow] = []
    HasMore: bool = False
    # Latest revision of the store.
    SchemaVersion: int = 0
    # The store's monotonic clock.
    NowMs: float = 0.0
    # Not part of the body.
    era: int = 0

    def position(self, version: int) -> StorePosition:
        """Return the position of a version in the era of the response."""
        return store_position(self.era, version)

    @property
    def is_in_range(self) -> bool:
        """Return whether all versions are possible ones."""
        versions = [self.SchemaVersion, *(row.SchemaVersion for row in self.Rows)]
        return all(0 <= version <= MAX_VERSION for version in versions)


RESPONSE_DECODER = msgspec.json.Decoder(StoreResponse)


def row_key(table: Table, key: str) -> str:
    """Return the key of a row as used in ``fuchsiaroute.store`` types."""
    return f"{table.value}/{key}"


def row_address(key: str) -> dict[str, Any]:
    """Return the fields that name a row in a transaction."""
    table, _, name = key.partition("/")
    return {"Table": table, "part": "", "Key": name}


def wire_put(put: Put) -> dict[str, Any]:
    """Return a write in a transaction."""
    return {**row_address(put.key), "Value": base64.b64encode(put.value).decode()}


def decode_rows(wire_rows: Iterable[WireRow], era: int) -> tuple[Row, ...]:
    """Decode the rows of a response of an era."""
    rows = []
    for row in wire_rows:
        value: bytes | None = None
        if not row.Deleted:
            try:
                value = base64.b64decode(row.Value, validate=True)
            except ValueError:
                # The decoder of the row rejects the empty value and logs the key.
                value = b""
        position = store_position(era, row.SchemaVersion)
        rows.append(Row(key=row.Key, value=value, revision=position))
    return tuple(rows)


def as_record(key: str, row: Row | None) -> Record:
    """Return a row as a record; an absent one has version 0."""
    if row is None or row.value is None:
        return Record(key=key, value=b"", version=0)
    return Record(key=key, value=row.value, version=row.revision)
