"""Loopback networks, so that runs on one machine do not use the same addresses."""

import socket

#: Values of N for the loopback networks 127.0.N.0/24; each run uses one.
_NETWORKS = range(10, 250)
#: Port bound on a network while a run uses it, to keep other runs off.
_CLAIM_PORT = 17_341


def claim_network() -> tuple[socket.socket, int]:
    """Return a socket and the network it reserves until the socket is closed."""
    for network in _NETWORKS:
        claim = socket.socket()
        try:
            claim.bind((f"127.0.{network}.254", _CLAIM_PORT))
        except OSError:
            # Another run has reserved this network.
            claim.close()
        else:
            return claim, network
    raise RuntimeError("all loopback networks are in use by other runs")
