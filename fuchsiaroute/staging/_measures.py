"""What is compared between target and base versions, and the classes of its counts."""

from enum import Enum

from fuchsiaroute.ids import RequestClass

_SEPARATOR = ":"


class Measure(Enum):
    """A property of answers; the sequential test is run on each one separately."""

    #: Whether the answer is complete and no failure.
    ANSWER = "answer"
    #: Time from the send of the request to the first byte of the response.
    START = "start"
    #: Time between two events of a stream.
    PACE = "pace"


_SPEEDS = {item.value: item for item in (Measure.START, Measure.PACE)}


def speed_class(route: str, measure: Measure, *, stage: int) -> RequestClass:
    """
    Return the class of the slow answers of a route.

    Stages are classes of their own, because the share of slow answers can change with
    the load at the same time as the target's share of requests.
    """
    return RequestClass(_SEPARATOR.join((route, measure.value, str(stage))))


def parse_class(request_class: RequestClass) -> tuple[str, Measure]:
    """Return the route and the measure of a class; most classes count answers."""
    parts = request_class.rsplit(_SEPARATOR, 2)
    if len(parts) == 3 and parts[1] in _SPEEDS and parts[2].isdigit():
        return parts[0], _SPEEDS[parts[1]]
    return request_class, Measure.ANSWER
