"""Several entry cores over one store, with pauses, deaths and lost answers."""

import asyncio
import random
from collections import defaultdict

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
from fuchsiaroute.idempotency import ClaimBook
from fuchsiaroute.request import Decision, Request
from fuchsiaroute.store import MemoryTableStore, StoreClient, StoreFunction
from fuchsiaroute.verdict import Refusal, RefusalReason, Verdict

ORGANISATION = "county-01"
#: Time from a submission until its deadline.
TIME_ALLOWED = 4_000
SERVICE_TIME = 50
#: An entry that has been up so long holds copies again; a failed copy is tried again
#: after half of it.
KNOWN_AFTER = 1_000
SHED = Refusal(reason=RefusalReason.OVERLOADED, verdict=Verdict.NOT_RUN, message="shed")


class PausableClock(Clock):
    """The world's clock as a process sees it whose timers stop while it is paused."""

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
    """The world's store, whose answers wait while the process is paused."""

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


class PeerInWorld:
    """The first other entry that runs, as the holder of copies."""

    def __init__(self, world, origin):
        self._world = world
        self._origin = origin

    def find(self):
        others = (core for core in self._world.cores if core.origin != self._origin)
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
        for core in self._world.cores:
            core.held_copies.release(self._origin, through)


class Core:
    """One incarnation of an entry; the fake steps are its own methods."""

    def __init__(self, world, number, incarnation):
        self.world = world
        self.number = number
        self.origin = Origin(instance=f"entry-{number}", incarnation=incarnation)
        #: Since when it runs without a pause.
        self.up_since = world.clock.now()
        self.running = asyncio.Event()
        self.running.set()
        self.held_copies = CopyHolder()
        self.peer = PeerInWorld(world, self.origin)
        self.tasks = []
        clock = PausableClock(world.clock, self.running)
        rng = random.Random(f"{self.origin}")
        client = StoreClient(
            PausableStore(world.store, self.running), clock=clock, rng=rng
        )
        self.book = ClaimBook(
            store=client.view(StoreFunction.CLAIMS),
            clock=clock,
            instance=self.origin.instance,
            incarnation=incarnation,
            rng=rng,
            secret=f"{self.origin}".encode(),
        )
        self.ledger = Ledger(
            store=client.view(StoreFunction.LEDGER), clock=clock, copies=self.peer
        )
        self.clock = clock
        self.pipeline = Pipeline(
            steps=Steps(
                admit=self,
                claim=ClaimTableStep(table=self.book, clock=clock),
                route=self,
                attempt=self,
                bill=LedgerBillStep(
                    ledger=self.ledger, clock=clock, instance=self.origin.instance
                ),
            )
        )
        self.start(self.book.run())
        self.start(self.ledger.run())

    @property
    def is_paused(self):
        return not self.running.is_set()

    def resume(self):
        if self.is_paused:
            self.up_since = self.world.clock.now()
        self.running.set()

    def start(self, work):
        self.tasks.append(asyncio.ensure_future(work))

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def admit(self, request):
        is_shed = self.world.fates[request.id] == "shed"
        return Failure(SHED) if is_shed else Success(None)

    def release(self, request):
        """Give back nothing: admission is unlimited here."""

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
        return await self.world.endpoint(self, call, version)


class Simulation:
    """Entries, store and endpoint, and what callers and the endpoint have seen."""

    def __init__(self, count):
        self.clock = ManualClock()
        self.store = MemoryTableStore(clock=self.clock)
        self.cores = []
        self.fates = {}
        #: Instants and deadlines of the runs of each id.
        self.runs = defaultdict(list)
        self.answers = defaultdict(list)
        self.refusals = defaultdict(list)
        self.exposed = []
        self.incarnations = 0
        for number in range(count):
            self.cores.append(self.new_core(number))

    def new_core(self, number):
        self.incarnations += 1
        return Core(self, number, self.incarnations)

    def submit(self, core, name, fate, *, is_idempotent):
        request = Request(
            id=name,
            organisation=ORGANISATION,
            product="permit-desk",
            request_class="permit-draft",
            is_idempotent=is_idempotent,
            deadline=self.clock.wall() + TIME_ALLOWED,
        )
        self.fates[name] = fate
        call = Call(request=request, target=ModelTarget(), body=fate.encode())
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
            # A kept answer is not billed again, so it has no new record to copy.
            self._note_exposure(core, name)
        self.answers[name].append(body)

    def _note_exposure(self, core, name):
        """Note an answer whose record only its own entry has, though a peer was up."""
        waiting = core.ledger._waiting.get(f"ledger/{ORGANISATION}/{name}")
        peer = core.peer.find()
        if peer is None or self.clock.now() - peer.up_since < KNOWN_AFTER:
            return
        if waiting is not None and waiting.copied_to == NO_HOLDER:
            self.exposed.append(name)

    async def endpoint(self, core, call, version):
        """Run a call at the endpoint, as its fate has it."""
        fate, name = call.body.decode(), call.request.id
        if fate == "unreachable" or (fate, version) == ("second", "v"):
            await core.clock.sleep(SERVICE_TIME)
            return Failure(_failed(Verdict.NOT_RUN))
        self.runs[name].append((self.clock.wall(), call.request.deadline))
        number = len(self.runs[name])
        await core.clock.sleep(SERVICE_TIME)
        if fate == "silent":
            return Failure(_failed(Verdict.MAY_HAVE_RUN))
        return Success(
            Attempt(
                endpoint="e",
                status=200,
                content_type="text/plain",
                chunks=_chunks(f"{name}#{number}".encode(), is_cut=fate == "cut"),
            )
        )

    async def kill(self, core, *, adopt=True):
        """End a process at once; a peer adopts its copies, a new one starts."""
        await core.stop()
        self.cores.remove(core)
        for peer in self.cores:
            for batch in peer.held_copies.take(core.origin) if adopt else ():
                peer.ledger.adopt(batch)
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


async def _chunks(body, *, is_cut):
    yield body
    if is_cut:
        raise BrokenAnswerError("cut")
