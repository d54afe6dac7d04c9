"""Seeded histories of several entries against a naive single-entry model."""

import asyncio
from collections import OrderedDict
from dataclasses import replace

import pytest
from hypothesis import HealthCheck, Phase, settings, strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    rule,
    run_state_machine_as_test,
)
from returns.result import Success

from fuchsiaroute.billing import CopyHolder, Ledger, _ledger
from fuchsiaroute.billing._ledger import _PendingRecord
from fuchsiaroute.entry import ClaimTableStep
from fuchsiaroute.entry.tests.simulation import SHED, TIME_ALLOWED, Simulation
from fuchsiaroute.idempotency import (
    ClaimTable,
    IdIssuer,
    IssuedIdState,
    _claim_table,
    _group_commit,
)
from fuchsiaroute.idempotency._group_commit import ClaimWrite, ClaimWriteState
from fuchsiaroute.idempotency._issued_ids import ISSUED_PREFIX
from fuchsiaroute.idempotency._record import decode_claim
from fuchsiaroute.store import StoreFault
from fuchsiaroute.verdict import Verdict

ENTRIES = 3
NON_IDEMPOTENT = ("permit-1", "permit-2", "permit-3")
IDEMPOTENT = ("look-up-1", "look-up-2")
FATES = ("answer", "second", "cut", "silent", "unreachable", "shed")
DURATIONS = (0, 1, 10, 60, 500, 3_000, 20_000)
LASTING_FAULTS = (
    StoreFault.NONE,
    StoreFault.NONE,
    StoreFault.DOWN,
    StoreFault.SLOW,
    StoreFault.ANSWER_LOST,
)
SINGLE_FAULTS = (StoreFault.ANSWER_LOST, StoreFault.LATE, StoreFault.DOWN)
#: Long enough for every deadline, backoff and flush after the last rule.
SETTLING_TIME = 60_000
#: Long enough for a flush of the ledger.
FLUSHING_TIME = 5_000

SETTINGS = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=60,
    stateful_step_count=30,
    suppress_health_check=list(HealthCheck),
)
MUTATION_SETTINGS = settings(
    SETTINGS, max_examples=300, phases=(Phase.generate,), report_multiple_bugs=False
)

entries = st.integers(0, ENTRIES - 1)
fates = st.sampled_from(FATES)


class Histories(RuleBasedStateMachine):
    issued = Bundle("issued")

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.world = self.loop.run_until_complete(self._new_world())
        self.unrepeatable = set(NON_IDEMPOTENT)
        self.fresh = 0

    async def _new_world(self):
        return Simulation(ENTRIES)

    def run(self, work):
        return self.loop.run_until_complete(work)

    def submit(self, entry, name, fate):
        async def submit():
            core = self.world.cores[entry]
            is_idempotent = name not in self.unrepeatable
            self.world.submit(core, name, fate, is_idempotent=is_idempotent)
            await self.world.clock.advance(0)

        self.run(submit())

    @rule(entry=entries, name=st.sampled_from(NON_IDEMPOTENT), fate=fates)
    def submit_permit(self, entry, name, fate):
        self.submit(entry, name, fate)

    @rule(
        first=entries,
        second=entries,
        name=st.sampled_from(NON_IDEMPOTENT),
        fate=fates,
    )
    def submit_twice_at_once(self, first, second, name, fate):
        self.submit(first, name, fate)
        self.submit(second, name, fate)

    @rule(entry=entries, name=st.sampled_from(IDEMPOTENT), fate=fates)
    def submit_look_up(self, entry, name, fate):
        self.submit(entry, name, fate)

    @rule(entry=entries, fate=fates)
    def submit_fresh_look_up(self, entry, fate):
        self.fresh += 1
        self.submit(entry, f"fresh-{self.fresh}", fate)

    @rule(entry=entries, name=st.sampled_from(NON_IDEMPOTENT), fate=fates)
    def submit_and_pause(self, entry, name, fate):
        self.submit(entry, name, fate)
        self.pause(entry)
        self.advance(TIME_ALLOWED + 1)
        self.resume(entry)

    @rule(entry=entries)
    def kill_in_an_outage(self, entry):
        self.switch_store(StoreFault.DOWN)
        self.submit_fresh_look_up(entry, "answer")
        self.advance(FLUSHING_TIME)
        self.kill(entry)

    @rule(target=issued, entry=entries, fate=fates)
    def issue(self, entry, fate):
        name = self.world.cores[entry].book.issue("county-01")
        self.unrepeatable.add(name)
        self.submit(entry, name, fate)
        return name

    @rule(entry=entries, name=issued, fate=fates)
    def submit_issued(self, entry, name, fate):
        self.submit(entry, name, fate)

    @rule(duration=st.sampled_from(DURATIONS))
    def advance(self, duration):
        self.run(self.world.clock.advance(duration))

    @rule(fault=st.sampled_from(LASTING_FAULTS))
    def switch_store(self, fault):
        self.world.store.fault = fault

    @rule(faults=st.lists(st.sampled_from(SINGLE_FAULTS), min_size=1, max_size=2))
    def fail_next_calls(self, faults):
        self.world.store.injector.queued_faults.extend(faults)

    @rule()
    def land_late_writes(self):
        self.world.store.apply_late_writes()

    @rule(entry=entries)
    def pause(self, entry):
        self.world.cores[entry].running.clear()

    @rule(entry=entries)
    def resume(self, entry):
        self.world.cores[entry].resume()
        self.run(self.world.clock.advance(0))

    @rule(entry=entries)
    def kill(self, entry):
        """End an entry, unless its records have no copy: that needs a second fault."""
        core = self.world.cores[entry]
        if core.ledger.uncopied == 0:
            self.run(self.world.kill(core))

    def teardown(self):
        self.world.store.fault = StoreFault.NONE
        self.world.store.injector.queued_faults.clear()
        for core in self.world.cores:
            core.resume()
        self.run(self.world.clock.advance(SETTLING_TIME))
        self.world.store.apply_late_writes()
        self.run(self.world.clock.advance(SETTLING_TIME))
        try:
            self.check()
        finally:
            for core in self.world.cores:
                self.run(core.stop())
            self.loop.close()

    def check(self):
        for name in sorted(self.unrepeatable):
            runs = len(self.world.runs[name])
            assert runs <= 1, f"ran {runs} times: {name}"
        for name in sorted(self.unrepeatable):
            self.check_verdicts(name)
        for name, runs in self.world.runs.items():
            is_in_time = all(instant <= deadline for instant, deadline in runs)
            assert is_in_time, f"dispatched after the deadline: {name}"
        assert not self.world.exposed, "answered with no copy of the record"
        self.check_ledger()

    def check_verdicts(self, name):
        runs = len(self.world.runs[name])
        verdicts = self.world.refusals[name]
        is_true = runs == 0 or Verdict.NOT_RUN not in verdicts
        assert is_true, f"an untrue NOT_RUN: {name}"
        is_true = runs == 1 or Verdict.RUN not in verdicts
        assert is_true, f"an untrue RUN: {name}"
        # The naive model: one entry that answers every repeat from its memory.
        answers = set(self.world.answers[name])
        assert answers <= {f"{name}#1".encode()}, f"unlike answers: {name}"

    def check_ledger(self):
        records = self.world.ledger_records()
        answered = {name for name, answers in self.world.answers.items() if answers}
        missing = answered - set(records)
        assert not missing, f"not billed: {sorted(missing)}"
        twice = {name for name, record in records.items() if record.version > 1}
        assert not twice, f"billed twice: {sorted(twice)}"


def test_histories():
    run_state_machine_as_test(Histories, settings=SETTINGS)


# Each mutation switches one safeguard off; the histories must then fail.


def without_checks(transaction):
    def unchecked(*arguments):
        return replace(transaction(*arguments), checks=())

    return unchecked


def take_over_unfinished(write, record):
    """Take a claim whose holder has not recorded an outcome for one's own."""
    write.existing = decode_claim(record.value)
    is_ended = write.existing.outcome is not None
    write.settle(ClaimWriteState.THEIRS if is_ended else ClaimWriteState.OURS)


def assume_ours(write):
    write.settle(ClaimWriteState.OURS)


def say_not_run(retry_after):
    return SHED


async def refuse_unchecked(book, request, refusal):
    return refusal


def own_every_issued_id(issuer, organisation, request):
    is_issued = request.startswith(ISSUED_PREFIX)
    return IssuedIdState.OWN if is_issued else IssuedIdState.CALLER_CHOSEN


def dispatch_late(step, request):
    return Success(None)


async def append_without_copy(ledger, record):
    ledger._pending.setdefault(record.key, _PendingRecord(record=record))


def release_everything(ledger):
    return ledger._last_batch


def hand_over_nothing(holder, origin):
    return ()


class ForgetfulDict(OrderedDict):
    def get(self, key, default=None):
        return default


#: Two entries that each believe that the request is theirs.
DOUBLED = r"ran \d+ times|an untrue NOT_RUN"

MUTATIONS = {
    "claims are put only if absent": (
        _group_commit,
        "_transaction",
        without_checks(_group_commit._transaction),
        DOUBLED,
    ),
    "a claim is never taken over": (
        ClaimWrite,
        "settle_from",
        take_over_unfinished,
        DOUBLED,
    ),
    "a claim is held only if the store says so": (
        ClaimWrite,
        "mark_unresolved",
        assume_ours,
        DOUBLED,
    ),
    "tokens differ between incarnations": (
        _claim_table,
        "ClaimToken",
        lambda token: "token",
        DOUBLED,
    ),
    "an entry remembers its own claims": (
        _claim_table,
        "OrderedDict",
        ForgetfulDict,
        DOUBLED,
    ),
    "issued ids belong to one incarnation": (
        IdIssuer,
        "classify",
        own_every_issued_id,
        DOUBLED,
    ),
    "an unresolved claim is no NOT_RUN": (
        _claim_table,
        "refuse_unresolved",
        say_not_run,
        "an untrue NOT_RUN",
    ),
    "a refusal closes the id first": (
        ClaimTable,
        "confirm_refusal",
        refuse_unchecked,
        "an untrue NOT_RUN",
    ),
    "the deadline is checked right before dispatch": (
        ClaimTableStep,
        "check_dispatch",
        dispatch_late,
        "dispatched after the deadline",
    ),
    "ledger records are put only if absent": (
        _ledger,
        "_transaction",
        without_checks(_ledger._transaction),
        "billed twice",
    ),
    "an answer waits for the copy of its record": (
        Ledger,
        "append",
        append_without_copy,
        "answered with no copy",
    ),
    "copies are kept until the store has the record": (
        Ledger,
        "_flushed_through",
        release_everything,
        "not billed",
    ),
    "a peer adopts the copies of a dead entry": (
        CopyHolder,
        "take",
        hand_over_nothing,
        "not billed",
    ),
}


@pytest.mark.parametrize("safeguard", MUTATIONS)
def test_histories_fail_without(monkeypatch, safeguard):
    owner, name, replacement, failure = MUTATIONS[safeguard]
    monkeypatch.setattr(owner, name, replacement)
    with pytest.raises(AssertionError, match=failure):
        run_state_machine_as_test(Histories, settings=MUTATION_SETTINGS)
