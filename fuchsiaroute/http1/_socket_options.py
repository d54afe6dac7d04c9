"""Detection of dead network paths by the kernel."""

import socket

from fuchsiaroute.clock import Milliseconds

#: TCP keepalive: idle time before the first probe, interval between probes, and number
#: of unanswered probes after which the kernel closes the connection. A broken network
#: path is detected within 3 s.
KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2
MILLISECONDS_PER_SECOND = 1_000
#: Time for which sent bytes may stay unacknowledged, and bytes may wait for the peer's
#: receive window, before the kernel closes the connection.
DEAD_PATH_TIMEOUT = Milliseconds(
    (KEEPALIVE_IDLE_SECONDS + KEEPALIVE_INTERVAL_SECONDS * KEEPALIVE_PROBES)
    * MILLISECONDS_PER_SECOND
)
#: Stands for the kernel's own limit, which counts no time in which the peer answers.
_NO_TIMEOUT = Milliseconds(0)
#: Bytes up to which a message fits into the receive window of a receiver that does not
#: read it yet.
MAX_WINDOW_BYTES = 32 * 1024


class DeadPathDetection:
    """Lets the kernel close a connection whose other side has become unreachable."""

    def __init__(self, sock: socket.socket) -> None:
        self._socket = sock
        self._timeout = DEAD_PATH_TIMEOUT
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS
        )
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, DEAD_PATH_TIMEOUT)

    def limit_unacknowledged_time(self, size: int) -> None:
        """
        Set the time after which the kernel closes the connection while sending.

        ``size`` is the number of bytes sent that may not have been read yet. A receiver
        may read a large message late. Its closed receive window would count as a dead
        path; other timeouts limit such a message instead.
        """
        timeout = DEAD_PATH_TIMEOUT if size <= MAX_WINDOW_BYTES else _NO_TIMEOUT
        if timeout != self._timeout:
            self._timeout = timeout
            self._socket.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout
            )
