"""State machine of an endpoint; each entry runs its own."""

from enum import Enum


class EndpointState(Enum):
    """State of an endpoint in its life cycle."""

    #: Has not answered in this incarnation, or turned cold again.
    COLD = "cold"
    #: Has answered, but cannot handle its full capacity yet.
    WARMING = "warming"
    #: Can handle its full capacity.
    WARM = "warm"
    #: Failed or timed out repeatedly; gets single trial requests only.
    SUSPECT = "suspect"
    #: Finishes its running requests and gets no new ones.
    LEAVING = "leaving"
    #: In a failure domain for which operators have declared an outage.
    OUT = "out"


class EndpointEvent(Enum):
    """Input of the state machine."""

    FIRST_ANSWER = "first-answer"
    WARMED_UP = "warmed-up"
    FOUND_COLD = "found-cold"
    RESTARTED = "restarted"
    FAILED_REPEATEDLY = "failed-repeatedly"
    #: A trial succeeded and the endpoint's latest warmth fact is warm.
    RECOVERED = "recovered"
    LISTED_LEAVING = "listed-leaving"
    LISTED_LIVE = "listed-live"
    OUTAGE_DECLARED = "outage-declared"
    OUTAGE_ENDED = "outage-ended"


_State, _Event = EndpointState, EndpointEvent

#: Transitions shared by the states cold, warming, warm and suspect.
_FROM_SERVING = {
    _Event.RESTARTED: _State.COLD,
    _Event.FOUND_COLD: _State.COLD,
    _Event.WARMED_UP: _State.WARM,
    _Event.FAILED_REPEATEDLY: _State.SUSPECT,
    _Event.LISTED_LEAVING: _State.LEAVING,
    _Event.OUTAGE_DECLARED: _State.OUT,
}

#: Transitions by state and event; an event that a state does not list has no effect.
#: An endpoint that returns from leaving or from an outage is cold, regardless of its
#: earlier state, so that its load ramps up.
TRANSITIONS: dict[EndpointState, dict[EndpointEvent, EndpointState]] = {
    _State.COLD: {**_FROM_SERVING, _Event.FIRST_ANSWER: _State.WARMING},
    _State.WARMING: _FROM_SERVING,
    _State.WARM: _FROM_SERVING,
    _State.SUSPECT: {**_FROM_SERVING, _Event.RECOVERED: _State.WARM},
    _State.LEAVING: {
        _Event.OUTAGE_DECLARED: _State.OUT,
        _Event.LISTED_LIVE: _State.COLD,
    },
    _State.OUT: {_Event.OUTAGE_ENDED: _State.COLD},
}


def next_state(state: EndpointState, event: EndpointEvent) -> EndpointState:
    """Return the state that follows ``state`` after ``event``."""
    return TRANSITIONS[state].get(event, state)
