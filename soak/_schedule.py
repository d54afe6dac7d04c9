"""Fault schedules drawn from a seed."""

from dataclasses import asdict, dataclass
from enum import Enum
from random import Random

from fuchsiaroute.clock import Milliseconds


class FaultKind(Enum):
    """Injected faults and planned operations."""

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
    #: The store comes back from a copy, and operators and endpoints write again.
    RESTORE = "restore"
    ENDPOINT_SAYS_LEAVING = "endpoint-says-leaving"
    ENDPOINT_PAUSES = "endpoint-pauses"
    #: Some instances stop at overlapping times.
    STOP_SERIES = "stop-series"
    #: Another writer puts a row into the store that cannot be read.
    FOREIGN_ROW = "foreign-row"
    #: An endpoint refuses an earlier request once more before other answers.
    ENDPOINT_REPEATS = "endpoint-repeats"


#: Variants by kind, drawn with equal probability.
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
    FaultKind.STOP_SERIES: (
        "at-once",
        "staggered",
        "reloaded",
        "repeated",
        "just-started",
        "store-away",
        "reconfigured",
    ),
    FaultKind.FOREIGN_ROW: (
        "nested-endpoint",
        "endpoint-without-port",
        "endpoint-with-long-port",
        "nested-rollout",
    ),
    FaultKind.ENDPOINT_REPEATS: ("named", "unnamed"),
}
#: Kinds that occur at most once per schedule: a roll-out and stops in turn last for
#: most of it, and killing all instances hides the effects of other faults.
_AT_MOST_ONCE = (FaultKind.ROLLOUT, FaultKind.KILL_ALL, FaultKind.STOP_IN_TURN)
#: Kinds that are drawn separately, at the given rate a second, so that the schedules of
#: seeds that once failed keep all their faults; one entry for each generation of kinds.
_ADDED_RATES: tuple[dict[FaultKind, float], ...] = (
    {
        FaultKind.RESTORE: 0.1,
        FaultKind.ENDPOINT_SAYS_LEAVING: 0.1,
        FaultKind.ENDPOINT_PAUSES: 0.15,
    },
    {FaultKind.STOP_SERIES: 0.1},
    {FaultKind.FOREIGN_ROW: 0.15, FaultKind.ENDPOINT_REPEATS: 0.15},
)
_ADDED_KINDS = frozenset(kind for rates in _ADDED_RATES for kind in rates)
LAST_GENERATION = len(_ADDED_RATES)
_MIN_DURATION, _MAX_DURATION = Milliseconds(200), Milliseconds(4_000)
#: Time before the first fault, in which all instances start to serve, and after the
#: last request.
SETTLE_TIME = Milliseconds(1_000)
FAULTS_PER_SECOND = 1.5
#: Share of faults drawn as a series of one kind, and the maximum length of a series.
_SERIES_SHARE, _MAX_SERIES_LENGTH = 0.25, 4


@dataclass(frozen=True, kw_only=True)
class Fault:
    """One fault; ``target`` modulo the number of candidates selects the target."""

    at: Milliseconds
    kind: FaultKind
    target: int
    lasts: Milliseconds
    variant: str = ""

    def __str__(self) -> str:
        values = asdict(self) | {"kind": self.kind.value}
        return " ".join(f"{name}={value}" for name, value in values.items())


def draw_schedule(
    seed: int,
    *,
    length: Milliseconds,
    rate: float = FAULTS_PER_SECOND,
    generation: int = LAST_GENERATION,
) -> tuple[Fault, ...]:
    """
    Return the faults of a seed, ordered by start time.

    ``length`` is the schedule's duration in milliseconds, by which every fault has
    ended; ``rate`` is the number of faults per second. Faults overlap, also those of
    one series. Equal arguments give equal schedules. Those of an earlier ``generation``
    are without the kinds that were added after it.
    """
    random = Random(f"schedule:{seed}")
    kinds = [
        kind
        for kind in FaultKind
        if kind not in _AT_MOST_ONCE and kind not in _ADDED_KINDS
    ]
    found: list[Fault] = []
    for kind in _AT_MOST_ONCE:
        if random.random() < 1 / 3:
            found.append(_draw(random, kind, SETTLE_TIME, length))
    while len(found) < rate * length / 1_000:
        kind = random.choice(kinds)
        count = (
            random.randint(2, _MAX_SERIES_LENGTH)
            if random.random() < _SERIES_SHARE
            else 1
        )
        first = _draw(random, kind, SETTLE_TIME, length)
        found.append(first)
        for _ in range(count - 1):
            later = Milliseconds(first.at + random.randint(0, first.lasts))
            found.append(_draw(random, kind, later, length))
    for added in range(generation):
        found += _draw_added(seed, added, length)
    return tuple(sorted(found, key=lambda fault: fault.at))


def _draw_added(seed: int, generation: int, length: Milliseconds) -> list[Fault]:
    random = Random(f"added:{seed}" if generation == 0 else f"{generation}:{seed}")
    return [
        _draw(random, kind, SETTLE_TIME, length)
        for kind, rate in _ADDED_RATES[generation].items()
        for _ in range(round(rate * length / 1_000 + random.random() - 0.5))
    ]


def _draw(
    random: Random, kind: FaultKind, begin: Milliseconds, end: Milliseconds
) -> Fault:
    last = max(begin, Milliseconds(end - _MIN_DURATION))
    at = random.randint(begin, last)
    lasts = min(random.randint(_MIN_DURATION, _MAX_DURATION), end - at)
    return Fault(
        at=Milliseconds(at),
        kind=kind,
        target=random.randrange(1_000),
        lasts=Milliseconds(max(lasts, 0)),
        variant=random.choice(VARIANTS.get(kind, ("",))),
    )
