"""The share of sessions on the target version over the duration of a roll-out."""

from dataclasses import dataclass

from fuchsiaroute.clock import Milliseconds

#: Part of the permitted exposure that the first stage uses. The rest is left for
#: retries, which count as exposure too, and for the later stages until a fault is
#: detected.
CANARY_PART = 0.8
#: Time from the start of a roll-out until the first sessions move. By then, every
#: instance has received the sessions that the others serve.
FIRST_MOVE_DELAY = Milliseconds(1_000)


@dataclass(frozen=True)
class Stage:
    """A share of sessions from a point of the duration on."""

    #: Part of the duration after which the stage starts.
    start: float
    #: Share of sessions on the target version.
    share: float


#: Stages after the canary. Sessions on a base version may move only after half of the
#: duration. A target that fails only under load is detected in the first of these
#: stages, which is therefore small and long enough for the sequential test. The last
#: stage leaves time for requests in flight to end.
GROWTH = (Stage(0.52, 0.3), Stage(0.62, 0.6), Stage(0.70, 1.0))
#: Part of the duration after which a roll-out completes even if base versions still
#: have requests in flight.
MAX_COMPLETION_PART = 0.93


def share_of_sessions(
    elapsed: Milliseconds, duration: Milliseconds, *, canary_share: float
) -> float:
    """
    Return the share of sessions on the target version.

    ``canary_share`` is the maximum share of requests that a bad version may receive.
    """
    if elapsed < FIRST_MOVE_DELAY:
        return 0.0
    index = stage_index(elapsed, duration)
    return GROWTH[index - 1].share if index else CANARY_PART * canary_share


def stage_index(elapsed: Milliseconds, duration: Milliseconds) -> int:
    """Return the index of the current stage; the canary has index 0."""
    part = elapsed / max(duration, 1)
    return sum(part >= stage.start for stage in GROWTH)


def must_keep_sessions(elapsed: Milliseconds, duration: Milliseconds) -> bool:
    """Return whether sessions on a base version must keep it."""
    return elapsed < GROWTH[0].start * duration


def may_complete(
    elapsed: Milliseconds, duration: Milliseconds, *, base_version_load: int
) -> bool:
    """
    Return whether the endpoints of the base versions may be stopped.

    ``old_version_load`` is the number of requests in flight at them.
    """
    part = elapsed / max(duration, 1)
    # Load reports lag: other instances may have sent requests that are not counted yet.
    settled_after = GROWTH[-1].start * duration + FIRST_MOVE_DELAY
    if elapsed < settled_after:
        return False
    return base_version_load == 0 or part >= MAX_COMPLETION_PART
