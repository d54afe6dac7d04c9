"""Which connection makes room for a new one."""

from dataclasses import dataclass

import pytest

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.http1 import ConnectionState
from fuchsiaroute.http1._connection_limit import connection_to_close

IDLE, RECEIVING = ConnectionState.IDLE, ConnectionState.RECEIVING
SENDING, ANSWERING = ConnectionState.SENDING, ConnectionState.ANSWERING


@dataclass(frozen=True)
class Connection:
    name: str
    state: ConnectionState
    last_activity: Milliseconds = Milliseconds(0)


NEWEST = Connection("newest", IDLE, Milliseconds(9))


@pytest.mark.parametrize(
    ("others", "closed"),
    [
        ([(IDLE, 5), (IDLE, 3)], "1"),
        # An idle connection goes before a request that arrives, however slowly.
        ([(RECEIVING, 1), (IDLE, 5)], "1"),
        # Many partial requests do not keep newcomers out.
        ([(RECEIVING, 4), (RECEIVING, 2)], "1"),
        # Neither a request in progress nor a ready answer is given up.
        ([(ANSWERING, 1), (SENDING, 1)], "newest"),
        ([], "newest"),
    ],
)
def test_least_active_connection_is_closed(
    others: list[tuple[ConnectionState, int]], closed: str
) -> None:
    connections = [
        Connection(str(index), state, Milliseconds(at))
        for index, (state, at) in enumerate(others)
    ]
    found = connection_to_close(NEWEST, [*connections, NEWEST])
    assert found.name == closed
