"""Which part of its room a request may use while others wait at any instance."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from fuchsiaroute.contention._fleet_demand import ServiceDemand, combined
from fuchsiaroute.ids import OrganisationId

#: Part of its backlog limit that a request may use while others go first. The rest is
#: for those, wherever they wait; an engine with less than that takes any request, so
#: none stands idle for them.
YIELDING_SHARE = 0.5
FULL_SHARE = 1.0


class Reason(Enum):
    """Why a request may use a part of its room only."""

    #: No other request goes first.
    NONE = "none"
    #: More urgent requests wait at another instance.
    MORE_URGENT = "more-urgent"
    #: The organisation has more than its fair share, and others wait.
    OVER_SHARE = "over-share"


@dataclass(frozen=True)
class RoomShare:
    """A part of a request's backlog limit, and why."""

    share: float
    reason: Reason


_FULL = RoomShare(FULL_SHARE, Reason.NONE)


def room_share(
    *,
    priority: int,
    organisation: OrganisationId,
    own_running: Mapping[OrganisationId, int],
    others: ServiceDemand,
) -> RoomShare:
    """
    Return the part of its room that a request may use now.

    Answers two loads: a burst of less urgent requests at some instances while more
    urgent ones wait at others; and an organisation that sends many times its usual,
    over few or many instances. Each instance orders what it holds itself; this makes it
    leave room for what waits elsewhere. Shares are max-min fair over all instances: an
    organisation yields if it has more requests running than an equal division of the
    running ones among the organisations that have any running or waiting.
    """
    if not others.waiting:
        return _FULL
    if others.is_any_waiting_above(priority):
        return RoomShare(YIELDING_SHARE, Reason.MORE_URGENT)
    waiting = others.waiting_organisations(priority) - {organisation}
    if not waiting:
        return _FULL
    running = combined(own_running, others.running)
    fair = fair_share(running, waiting | {organisation})
    if running[organisation] > fair and any(running[item] < fair for item in waiting):
        return RoomShare(YIELDING_SHARE, Reason.OVER_SHARE)
    return _FULL


def fair_share(
    running: Mapping[OrganisationId, int],
    contending: frozenset[OrganisationId],
) -> float:
    """
    Return the max-min fair number of running requests of a contending organisation.

    Organisations that do not contend keep what they have if it is less than an equal
    share; what they leave is divided among the others.
    """
    room = float(sum(running.values()))
    sharers = len(contending)
    others = sorted(count for name, count in running.items() if name not in contending)
    for index, count in enumerate(others):
        equal = room / (sharers + len(others) - index)
        if count >= equal:
            return equal
        room -= count
    return room / sharers if sharers else room
