"""How the share of a new version grows over the time that operators allow."""

from dataclasses import dataclass

from fuchsiaroute.clock import Milliseconds

#: Part of the allowed exposure that the first stage uses; the rest is left for
#: repeats, which count as well, and for the stages after it until a fault shows.
CANARY_PART = 0.6
#: Time from the start of a roll-out until the first sessions move. Every instance has
#: then heard which sessions the others serve.
FIRST_MOVE_DELAY = Milliseconds(1_000)


@dataclass(frozen=True)
class Stage:
    """A share that holds from a part of the duration on."""

    #: Part of the duration at which it begins.
    begins: float
    #: Share of sessions on the new version.
    share: float


#: Sessions on the old version may move only after half of the duration. A version
#: that is bad only under load shows at the second stage, so it is small and long
#: enough to judge; the last stage leaves time for requests in flight to end.
GROWTH = (Stage(0.52, 0.3), Stage(0.62, 0.6), Stage(0.70, 1.0))
#: Part of the duration after which completion waits for requests at the old version
#: no longer.
LATEST_COMPLETION = 0.93


def share_of_sessions(
    elapsed: Milliseconds, duration: Milliseconds, *, canary_share: float
) -> float:
    """
    Return the share of sessions on the new version.

    ``canary_share`` is the greatest share of requests that a bad version may get.
    """
    if elapsed < FIRST_MOVE_DELAY:
        return 0.0
    share = CANARY_PART * canary_share
    part = elapsed / max(duration, 1)
    for stage in GROWTH:
        if part >= stage.begins:
            share = stage.share
    return share


def must_keep_sessions(elapsed: Milliseconds, duration: Milliseconds) -> bool:
    """Return whether sessions on the old version have to stay there."""
    return elapsed < GROWTH[0].begins * duration


def may_complete(
    elapsed: Milliseconds, duration: Milliseconds, *, old_version_load: int
) -> bool:
    """Return whether the old version's endpoints may be stopped."""
    part = elapsed / max(duration, 1)
    # Requests that other instances have just sent show up a moment later.
    settled = GROWTH[-1].begins * duration + FIRST_MOVE_DELAY
    if elapsed < settled:
        return False
    return old_version_load == 0 or part >= LATEST_COMPLETION
