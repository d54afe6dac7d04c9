"""
Messages with changes of the store's tables.

Like all messages, they are arrays; see ``fuchsiaroute.gossip._messages``.
"""

import msgspec


class RelayedRow(msgspec.Struct, array_like=True, frozen=True):
    """A row of the store; ``value`` is None if the row was removed."""

    key: str
    value: bytes | None
    revision: int


class TableUpdate(
    msgspec.Struct, array_like=True, frozen=True, kw_only=True, tag="rows"
):
    """
    Changes of a table, read from the store by one instance.

    Every instance that receives new changes forwards them.
    """

    format: int
    table: str
    #: ``rows`` holds every change of the table in ``after < revision <= until``.
    after: int
    until: int
    rows: list[RelayedRow]
    #: Whether ``rows`` is the whole table of a store that was restored from a copy.
    #: ``after`` equals ``until`` then, so that former versions ignore the update.
    is_whole: bool = False
    #: Whether this answers a ``TableRequest``; it is not forwarded then.
    is_reply: bool = False
    #: Time in milliseconds since the end of the store's latest outage that the sender
    #: knows of; None if it knows of none.
    recovery_age: int | None = None


class PatchedRow(msgspec.Struct, array_like=True, frozen=True):
    """A change of a large row; see ``fuchsiaroute.rowpatch.RowPatch``."""

    key: str
    base: int
    revision: int
    checksum: int
    pieces: list[tuple[int, int] | bytes]


class TablePatch(
    msgspec.Struct, array_like=True, frozen=True, kw_only=True, tag="patches"
):
    """
    A ``TableUpdate`` whose large rows are stated as changes of their former values.

    It is not the whole table, and is sent only while all living members can read it.
    """

    format: int
    table: str
    after: int
    until: int
    rows: list[RelayedRow]
    #: Those of one row follow each other, in the order of their revisions.
    patches: list[PatchedRow]
    is_reply: bool = False
    recovery_age: int | None = None


class MessagePart(
    msgspec.Struct, array_like=True, frozen=True, kw_only=True, tag="part"
):
    """Part of an encoded message that is too large for a datagram."""

    format: int
    #: Number that all parts of the message have in common.
    message: int
    index: int
    count: int
    data: bytes


class TableRequest(
    msgspec.Struct, array_like=True, frozen=True, kw_only=True, tag="rows-wanted"
):
    """Asks for the changes of a table that the store does not deliver to the sender."""

    format: int
    table: str
    #: Position up to which the sender holds all changes.
    after: int
    #: Whether the answer must hold rows, as a patch did not fit the sender's.
    is_plain: bool = False
