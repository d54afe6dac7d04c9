"""A simulation of several entries on one store, with pauses, kills and faults."""

import asyncio
from collections import defaultdict
from random import Random

from returns.result import Failure, Success

from fuchsiaroute.billing import NO_HOLDER, CopyHolder, Ledger, Origin, decode_record
from fuchsiaroute.clock import Clock, ManualClock
from fuchsiaroute.dispatch import BrokenAnswerError
from fuchsiaroute.entry import (
    Attempt,
    Call,
    ClaimTableStep,
    LedgerBillStep,
    ModelTarget,
    Pipeline,
    RoutingResult,
    Steps,
)
from fuchsiaroute.idempotency import ClaimTable
from fuchsiaroute.request import Decision, Request
from fuchsiaroute.store import MemoryTableStore, StoreClient, StoreFunction
from fuchsiaroute.verdict import Refusal, RefusalReason, Verdict

ORGANISATION = "county-01"
#: Time from the submission of a request to its deadline.
REQUEST_TIMEOUT_MS = 4_000
SERVICE_TIME_MS = 50
#: Time after a start or pause from which an entry holds copies for others; a failed
#: copy is retried after half of it.
COPIES_EXPECTED_AFTER_MS = 1_000
SHED = Refusal(reason=RefusalReason.OVERLOADED, verdict=Verdict.NOT_RUN, message="shed")


class PausableClock(Clock):
    """The simulation's clock for a process, whose timers wait while it is paused."""

    def __init__(self, clock, running):
        self._clock = clock
        self._running = running

    def now(self):
        return self._clock.now()

    def wall(self):
        return self._clock.wall()

    async def sleep(self, duration):
        await self._clock.sleep(duration)
        await self._running.wait()


class PausableStore:
    """The simulation's store for a process; answers wait while it is paused."""

    def __init__(self, store, running):
        self._store = store
        self._running = running

    async def read(self, keys):
        answer = await self._store.read(keys)
        await self._running.wait()
        return answer

    async def commit(self, transaction):
        answer = await self._store.commit(transaction)
        await self._running.wait()
        return answer


class FirstRunningPeer:
    """Copies records to the first other entry that is not paused."""

    def __init__(self, simulation, origin):
        self._simulation = simulation
        self._origin = origin

    def find(self):
        others = (
            core for core in self._simulation.cores if core.origin != self._origin
        )
        return next((core for core in others if not core.is_paused), None)

    def holder(self):
        peer = self.find()
        return f"{peer.origin.instance}/{peer.origin.incarnation}" if peer else ""

    async def hold(self, batch, records):
        peer = self.find()
        if peer is None:
            return False
        return peer.held_copies.hold(self._origin, batch, records)

    async def release(self, through):
        for core in self._simulation.cores:
            core.held_copies.release(self._origin, through)


class EntryCore:
    """One incarnation of an entry, which also implements the fake steps."""

    def __init__(self, simulation, number, incarnation):
        self.simulation = simulation
        self.number = number
        self.origin = Origin(instance=f"entry-{number}", incarnation=incarnation)
        #: Instant of its start or of the end of its last pause.
        self.up_since = simulation.clock.now()
        self.running = asyncio.Event()
        self.running.set()
        self.held_copies = CopyHolder()
        self.peer = FirstRunningPeer(simulation, self.origin)
        self.tasks = []
        clock = PausableClock(simulation.clock, self.running)
        random = Random(f"{self.origin}")
        client = StoreClient(
            PausableStore(simulation.store, self.running), clock=clock, random=random
        )
        self.claim_table = ClaimTable(
            store=client.view(StoreFunction.CLAIMS),
            clock=clock,
            instance=self.origin.instance,
            incarnation=incarnation,
            random=random,
            secret=f"{self.origin}".encode(),
        )
        self.ledger = Ledger(
            store=client.view(StoreFunction.LEDGER), clock=clock, copies=self.peer
        )
        self.clock = clock
        self.pipeline = Pipeline(
            steps=Steps(
                admit=self,
                claim=ClaimTableStep(table=self.claim_table, clock=clock),
                route=self,
                attempt=self,
                bill=LedgerBillStep(
                    ledger=self.ledger, clock=clock, instance=self.origin.instance
                ),
            )
        )
        self.start(self.claim_table.run())
        self.start(self.ledger.run())

    @property
    def is_paused(self):
        return not self.running.is_set()

    def resume(self):
        if self.is_paused:
            self.up_since = self.simulation.clock.now()
        self.running.set()

    def start(self, coroutine):
        self.tasks.append(asyncio.ensure_future(coroutine))

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def admit(self, request):
        is_shed = self.simulation.behaviours[request.id] == "shed"
        return Failure(SHED) if is_shed else Success(None)

    def release(self, request):
        """Do nothing: admission is unlimited here."""

    async def decide(self, call):
        versions = ("v", "w") if call.body == b"second" else ("v",)
        decision = Decision(revision=1, versions=versions, candidates=())
        return Success(RoutingResult(decision=decision))

    def check_dispatch(self, request, version):
        return Success(None)

    def should_escalate(self, request, version, answer):
        return False

    def cost(self, version, answer_bytes):
        return answer_bytes

    async def attempt(self, call, version):
        return await self.simulation.endpoint(self, call, version)


class Simulation:
    """Entries, a store and an endpoint, with all runs, answers and refusals."""

    def __init__(self, count):
        self.clock = ManualClock()
        self.store = MemoryTableStore(clock=self.clock)
        self.cores = []
        self.behaviours = {}
        #: Start times and deadlines of the runs, by request id.
        self.runs = defaultdict(list)
        self.answers = defaultdict(list)
        self.refusals = defaultdict(list)
        self.uncopied_answers = []
        self.incarnations = 0
        for number in range(count):
            self.cores.append(self.new_core(number))

    def new_core(self, number):
        self.incarnations += 1
        return EntryCore(self, number, self.incarnations)

    def submit(self, core, name, behaviour, *, is_idempotent):
        request = Request(
            id=name,
            organisation=ORGANISATION,
            product="permit-desk",
            request_class="permit-draft",
            is_idempotent=is_idempotent,
            deadline=self.clock.wall() + REQUEST_TIMEOUT_MS,
        )
        self.behaviours[name] = behaviour
        call = Call(request=request, target=ModelTarget(), body=behaviour.encode())
        core.start(self._handle(core, call))

    async def _handle(self, core, call):
        name = call.request.id
        result = await core.pipeline.handle(call)
        if isinstance(result, Failure):
            self.refusals[name].append(result.failure().verdict)
            return
        try:
            body = b"".join([chunk async for chunk in result.unwrap().chunks])
        except BrokenAnswerError:
            return
        if body not in self.answers[name]:
            # A stored answer is not billed again, so it has no new record to copy.
            self._record_uncopied(core, name)
        self.answers[name].append(body)

    def _record_uncopied(self, core, name):
        """Record an answer whose ledger record has no copy though a peer is running."""
        pending = core.ledger._pending.get(f"ledger/{ORGANISATION}/{name}")
        peer = core.peer.find()
        if peer is None or self.clock.now() - peer.up_since < COPIES_EXPECTED_AFTER_MS:
            return
        if pending is not None and pending.copied_to == NO_HOLDER:
            self.uncopied_answers.append(name)

    async def endpoint(self, core, call, version):
        """Run a call at the endpoint with the behaviour named in its body."""
        behaviour, name = call.body.decode(), call.request.id
        if behaviour == "unreachable" or (behaviour, version) == ("second", "v"):
            await core.clock.sleep(SERVICE_TIME_MS)
            return Failure(_failed(Verdict.NOT_RUN))
        self.runs[name].append((self.clock.wall(), call.request.deadline))
        number = len(self.runs[name])
        await core.clock.sleep(SERVICE_TIME_MS)
        if behaviour == "silent":
            return Failure(_failed(Verdict.MAY_HAVE_RUN))
        return Success(
            Attempt(
                endpoint="e",
                status=200,
                content_type="text/plain",
                chunks=_chunks(
                    f"{name}#{number}".encode(), is_truncated=behaviour == "cut"
                ),
            )
        )

    async def kill(self, core, *, recovers_copies=True):
        """Kill an entry; peers take over its copies, and a new incarnation starts."""
        await core.stop()
        self.cores.remove(core)
        for peer in self.cores:
            for batch in peer.held_copies.take(core.origin) if recovers_copies else ():
                peer.ledger.recover_batch(batch)
        self.cores.insert(core.number, self.new_core(core.number))

    def ledger_records(self):
        return {
            decode_record(record.value).request: record
            for key, record in self.store._records.items()
            if key.startswith("ledger/")
        }


def _failed(verdict):
    return Refusal(
        reason=RefusalReason.ENDPOINT_FAILED, verdict=verdict, message="failed"
    )


async def _chunks(body, *, is_truncated):
    yield body
    if is_truncated:
        raise BrokenAnswerError("cut")
