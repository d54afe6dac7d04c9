"""Which connection of a listener is closed when there are too many."""

from collections.abc import Iterable
from typing import Protocol, TypeVar

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.http1._connection_state import ConnectionState


class LimitedConnection(Protocol):
    """A connection that counts towards the limit of its listener."""

    @property
    def state(self) -> ConnectionState:
        """Return what the caller is owed."""
        ...

    @property
    def last_activity(self) -> Milliseconds:
        """Return when bytes last arrived or a response last ended."""
        ...


_Connection = TypeVar("_Connection", bound=LimitedConnection)

#: States of connections that are closed in favour of others, in that order.
_CLOSED_FOR_OTHERS = {ConnectionState.IDLE: 0, ConnectionState.RECEIVING: 1}


def connection_to_close(
    newest: _Connection, connections: Iterable[_Connection]
) -> _Connection:
    """
    Return the connection to close as there are too many.

    That is the one which has been idle for longest, or has received nothing for
    longest, and ``newest`` itself only if all others have a request in progress.
    """
    others = [
        item
        for item in connections
        if item is not newest and item.state in _CLOSED_FOR_OTHERS
    ]
    return min(
        others,
        key=lambda item: (_CLOSED_FOR_OTHERS[item.state], item.last_activity),
        default=newest,
    )
