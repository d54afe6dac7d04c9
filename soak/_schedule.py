"""What goes wrong and when, drawn from a seed."""

from dataclasses import asdict, dataclass
from enum import Enum
from random import Random

from fuchsiaroute.clock import Milliseconds


class FaultKind(Enum):
    """Disturbances and planned work."""

    PAUSE = "pause"
    KILL = "kill"
    KILL_ALL = "kill-all"
    STOP = "stop"
    STOP_IN_TURN = "stop-in-turn"
    RELOAD = "reload"
    CLOCK_STEP = "clock-step"
    CALLER_LINK = "caller-link"
    STORE_LINK = "store-link"
    ENDPOINT_LINK = "endpoint-link"
    STORE = "store"
    STORE_FORGETS = "store-forgets"
    ENDPOINT_CRASH = "endpoint-crash"
    ENDPOINT_LEAVES = "endpoint-leaves"
    ENDPOINT_COLD = "endpoint-cold"
    ENDPOINT_SICK = "endpoint-sick"
    ROUTES = "routes"
    REVOKE = "revoke"
    EVACUATE = "evacuate"
    ROLLOUT = "rollout"
    BURST = "burst"


#: Variants by kind, each as likely as the others.
VARIANTS: dict[FaultKind, tuple[str, ...]] = {
    FaultKind.CLOCK_STEP: ("-5000", "5000", "3600000"),
    FaultKind.CALLER_LINK: ("delayed", "cut-to", "cut-from", "reset", "silenced"),
    FaultKind.STORE_LINK: (
        "delayed",
        "cut-to",
        "cut-from",
        "cut-both",
        "refusing",
        "reset",
        "silenced",
    ),
    FaultKind.ENDPOINT_LINK: ("delayed", "cut-to", "cut-from", "reset", "silenced"),
    FaultKind.STORE: ("down", "silent", "slow", "loses-answers", "late"),
    FaultKind.ENDPOINT_SICK: (
        "failing",
        "losing-answers",
        "cutting",
        "garbling",
        "slow",
    ),
    FaultKind.ROLLOUT: ("good", "bad"),
}
#: At most one of these a schedule: each takes most of it, or leaves nothing to see.
_RARE = (FaultKind.ROLLOUT, FaultKind.KILL_ALL, FaultKind.STOP_IN_TURN)
_SHORTEST, _LONGEST = Milliseconds(200), Milliseconds(4_000)
#: Time before the first fault, in which everything starts to serve.
LEAD = Milliseconds(1_000)
#: Faults a second of a schedule.
RATE = 1.5
#: Share of faults that come as a series, and the most of one series.
_SERIES_SHARE, _SERIES_MOST = 0.25, 4


@dataclass(frozen=True, kw_only=True)
class Fault:
    """One disturbance; ``target`` picks what it strikes, modulo how many there are."""

    at: Milliseconds
    kind: FaultKind
    target: int
    lasts: Milliseconds
    variant: str = ""

    def __str__(self) -> str:
        values = asdict(self) | {"kind": self.kind.value}
        return " ".join(f"{name}={value}" for name, value in values.items())


def draw_schedule(
    seed: int, *, length: Milliseconds, rate: float = RATE
) -> tuple[Fault, ...]:
    """
    Return the faults of a seed within ``length`` milliseconds, in order.

    ``rate`` is their number a second.
    Series of one kind overlap themselves and others. Each fault has ended at
    ``length``. Equal arguments give equal schedules.
    """
    random = Random(f"schedule:{seed}")
    kinds = [kind for kind in FaultKind if kind not in _RARE]
    found: list[Fault] = []
    for kind in _RARE:
        if random.random() < 1 / 3:
            found.append(_draw(random, kind, LEAD, length))
    while len(found) < rate * length / 1_000:
        kind = random.choice(kinds)
        count = (
            random.randint(2, _SERIES_MOST) if random.random() < _SERIES_SHARE else 1
        )
        first = _draw(random, kind, LEAD, length)
        found.append(first)
        for _ in range(count - 1):
            later = Milliseconds(first.at + random.randint(0, first.lasts))
            found.append(_draw(random, kind, later, length))
    return tuple(sorted(found, key=lambda fault: fault.at))


def _draw(
    random: Random, kind: FaultKind, begin: Milliseconds, end: Milliseconds
) -> Fault:
    last = max(begin, Milliseconds(end - _SHORTEST))
    at = random.randint(begin, last)
    lasts = min(random.randint(_SHORTEST, _LONGEST), end - at)
    return Fault(
        at=Milliseconds(at),
        kind=kind,
        target=random.randrange(1_000),
        lasts=Milliseconds(max(lasts, 0)),
        variant=random.choice(VARIANTS.get(kind, ("",))),
    )
