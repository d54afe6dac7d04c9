"""What a caller's connection is owed, and why the server closes it."""

from enum import Enum


class ConnectionState(Enum):
    """What a caller's connection is owed, from nothing to a whole response."""

    #: Nothing: no request has arrived since the last response was sent.
    IDLE = "idle"
    #: Bytes of a response whose handler has ended are still unsent.
    SENDING = "sending"
    #: A request has arrived in part.
    RECEIVING = "receiving"
    #: A request has been read, and its handler runs or has not started yet.
    ANSWERING = "answering"


class CloseReason(Enum):
    """Why the server closed a caller's connection that the caller had kept open."""

    #: No request for longer than the idle timeout.
    IDLE = "idle"
    #: A request was rejected before it had arrived as a whole.
    REJECTED = "rejected"
    #: A response that had begun could not be completed.
    RESPONSE_ABORTED = "response-aborted"
    #: The memory for all clients was used up, and this one held most for longest.
    MEMORY = "memory"
    #: The number of connections had reached its limit.
    CONNECTIONS = "connections"
    #: The caller had not read any of its response for too long.
    UNREAD = "unread"
