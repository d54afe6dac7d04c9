import pytest

from fuchsiaroute.endpoints import EndpointEvent as Event, EndpointState as State
from fuchsiaroute.lifecycle import TRANSITIONS, next_state

CASES = [
    (State.COLD, Event.FIRST_ANSWER, State.WARMING),
    (State.COLD, Event.WARMED_UP, State.WARM),
    (State.COLD, Event.RECOVERED, State.COLD),
    (State.WARMING, Event.WARMED_UP, State.WARM),
    (State.WARMING, Event.RESTARTED, State.COLD),
    (State.WARM, Event.FIRST_ANSWER, State.WARM),
    (State.WARM, Event.FOUND_COLD, State.COLD),
    (State.WARM, Event.RESTARTED, State.COLD),
    (State.WARM, Event.FAILED_REPEATEDLY, State.SUSPECT),
    (State.SUSPECT, Event.RECOVERED, State.WARM),
    (State.SUSPECT, Event.RESTARTED, State.COLD),
    (State.SUSPECT, Event.OUTAGE_DECLARED, State.OUT),
    (State.LEAVING, Event.WARMED_UP, State.LEAVING),
    (State.LEAVING, Event.LISTED_LIVE, State.COLD),
    (State.LEAVING, Event.OUTAGE_DECLARED, State.OUT),
    (State.OUT, Event.LISTED_LEAVING, State.OUT),
    (State.OUT, Event.RECOVERED, State.OUT),
    (State.OUT, Event.OUTAGE_ENDED, State.COLD),
]


@pytest.mark.parametrize(("state", "event", "expected"), CASES)
def test_transitions(state: State, event: Event, expected: State) -> None:
    assert next_state(state, event) is expected


def test_only_outage_ended_leaves_the_out_state() -> None:
    leaving_out = [
        event for event in Event if next_state(State.OUT, event) is not State.OUT
    ]
    assert leaving_out == [Event.OUTAGE_ENDED]


def test_every_state_has_transitions() -> None:
    assert set(TRANSITIONS) == set(State)
