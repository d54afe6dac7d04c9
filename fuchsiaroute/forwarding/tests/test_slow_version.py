"""A version whose answers begin late and whose streams are slow, at one instance."""

import asyncio
from random import Random
from types import SimpleNamespace
from typing import Any

import pytest

from fuchsiaroute.clock import ManualClock, Milliseconds
from fuchsiaroute.contention import backlog_limits
from fuchsiaroute.deployment import RequestKind, RolloutOrder
from fuchsiaroute.draining import Drain
from fuchsiaroute.forwarding import (
    AttemptRunner,
    Counters,
    LatencyEstimator,
    SpeedComparison,
    StopAdmission,
)
from fuchsiaroute.forwarding._endpoint_client import OpenResponse
from fuchsiaroute.ids import ModelId, ServiceId, VersionId
from fuchsiaroute.linelog import LineLog
from fuchsiaroute.quarantine import Quarantine, SubjectKey
from fuchsiaroute.staging import Progress, RolloutRecord, RolloutTracker

SERVICE = ServiceId("s")
MODEL = ModelId("m")
OLD, NEW = VersionId("v1"), VersionId("v2")
ORDER = RolloutOrder(
    service=SERVICE, target=NEW, duration=Milliseconds(24_000), revision=9
)
#: One of so many requests goes to the target.
TARGET_EVERY = 12
REQUESTS = 240
START, GAP = 120.0, 22.0


async def _never_refused(endpoint: object) -> bool:
    return False


class Instance:
    """An attempt runner whose endpoints answer as told."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        log = LineLog(clock=self.clock, instance="i", write=len)
        self.tracker = RolloutTracker(
            orders={SERVICE: ORDER},
            store_now=self.clock.now,
            clock=self.clock,
            log=log,
            session_pause=Milliseconds(5_000),
            canary_share=0.15,
        )
        self.tracker.apply_record(
            RolloutRecord(
                service=SERVICE,
                target=NEW,
                order=ORDER.revision,
                progress=Progress.RUNNING,
                started=self.clock.now(),
            ),
            source="test",
        )
        self._response: Any = None
        unused: dict[str, Any] = dict.fromkeys(("pool", "on_session", "new_budget"))
        parts: Any = {"queue": self, "client": self}
        self.runner = AttemptRunner(
            **unused,
            **parts,
            tracker=self.tracker,
            latencies=LatencyEstimator(),
            speeds=SpeedComparison(tracker=self.tracker, clock=self.clock),
            counters=Counters(),
            clock=self.clock,
            log=log,
            is_stopping=lambda: False,
            quarantine=Quarantine(clock=self.clock, random=Random(1), log=log),
            limits=lambda: backlog_limits(()),
            is_refused=_never_refused,
            admission=StopAdmission(
                Drain(clock=self.clock, longest=lambda route: None), clock=self.clock
            ),
        )
        # The pool is not part of the test.
        self.runner._estimates.demand = lambda *_, **__: SimpleNamespace(work=0.0)  # type: ignore[assignment,method-assign,return-value]
        self.runner._estimates.head_timeout = lambda *_, **__: Milliseconds(9_000)  # type: ignore[method-assign]

    async def reserve(self, *_: Any, **__: Any) -> Any:
        return self._response.reservation

    async def send(self, *_: Any, **__: Any) -> Any:
        return self._response

    def answer(self, version: VersionId, *, start: float, gap: float) -> None:
        reservation: Any = SimpleNamespace(
            endpoint=SimpleNamespace(id=f"e-{version}", version=version),
            backlog=0.0,
            is_cold=False,
            reserved_at=self.clock.now(),
            record_duration=lambda _: None,
        )
        unused: dict[str, Any] = dict.fromkeys(("connection", "connections"))
        head: Any = SimpleNamespace(status=200, headers=[])
        fields: Any = SimpleNamespace(confidence=1.0, unreadable=())
        response = self._response = OpenResponse(
            **unused,
            head=head,
            fields=fields,
            reservation=reservation,
            model=MODEL,
            time_to_first_byte=Milliseconds(round(start)),
        )
        call: Any = SimpleNamespace(
            route=SimpleNamespace(
                name="r",
                kind=RequestKind.STREAMING,
                latency_target=2_000,
                is_repeatable=True,
            ),
            fields=SimpleNamespace(prompt_tokens=500, prompt=()),
            key=SubjectKey(-1),
            subjects=frozenset({SubjectKey(-1)}),
            service=SERVICE,
            session=None,
            priority=1,
            excluded=set(),
            sent_to=[],
            deadline=self.clock.now() + 8_000,
            inbound=SimpleNamespace(arrived_at=self.clock.now()),
            as_request=lambda: None,
            remaining=lambda clock: Milliseconds(8_000),
        )
        result = asyncio.run(self.runner.attempt(call, model=MODEL))
        assert isinstance(result, OpenResponse)
        self.clock.tick(Milliseconds(round(start)))
        self.runner.record_pace(call, response, gap)


@pytest.mark.parametrize(
    ("start_factor", "gap_factor", "is_suspended"),
    [(1.0, 1.0, False), (2.5, 4.0, True), (0.8, 1.0, False), (1.0, 3.0, True)],
)
def test_version_by_the_speed_of_its_answers(
    start_factor: float, gap_factor: float, is_suspended: bool
) -> None:
    """Guards against a version that is several times slower and is kept."""
    random = Random(1)
    instance = Instance()
    for number in range(REQUESTS):
        is_target = number % TARGET_EVERY == 0
        noise = random.lognormvariate(0.0, 0.4)
        instance.answer(
            NEW if is_target else OLD,
            start=START * noise * (start_factor if is_target else 1.0),
            gap=GAP * noise * (gap_factor if is_target else 1.0),
        )
    assert instance.tracker.is_suspended(SERVICE, ORDER.revision) is is_suspended
