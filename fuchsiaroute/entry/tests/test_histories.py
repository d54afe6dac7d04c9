"""Random histories of several entries, checked against a single-entry model."""

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
from fuchsiaroute.entry.tests.simulation import REQUEST_TIMEOUT_MS, SHED, Simulation
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
BEHAVIOURS = ("answer", "second", "cut", "silent", "unreachable", "shed")
DURATIONS_MS = (0, 1, 10, 60, 500, 3_000, 20_000)
PERSISTENT_FAULTS = (
    StoreFault.NONE,
    StoreFault.NONE,
    StoreFault.DOWN,
    StoreFault.SLOW,
    StoreFault.ANSWER_LOST,
)
SINGLE_FAULTS = (StoreFault.ANSWER_LOST, StoreFault.LATE, StoreFault.DOWN)
#: Longer than any deadline, backoff or flush after the last rule.
SETTLING_TIME_MS = 60_000
#: Longer than a flush of the ledger.
FLUSHING_TIME_MS = 5_000

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
behaviours = st.sampled_from(BEHAVIOURS)


class EntryHistories(RuleBasedStateMachine):
    issued = Bundle("issued")

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.simulation = self.loop.run_until_complete(self._new_simulation())
        self.non_idempotent = set(NON_IDEMPOTENT)
        self.fresh = 0

    async def _new_simulation(self):
        return Simulation(ENTRIES)

    def run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    def submit(self, entry, name, behaviour):
        async def submit():
            core = self.simulation.cores[entry]
            is_idempotent = name not in self.non_idempotent
            self.simulation.submit(core, name, behaviour, is_idempotent=is_idempotent)
            await self.simulation.clock.advance(0)

        self.run(submit())

    @rule(entry=entries, name=st.sampled_from(NON_IDEMPOTENT), behaviour=behaviours)
    def submit_permit(self, entry, name, behaviour):
        self.submit(entry, name, behaviour)

    @rule(
        first=entries,
        second=entries,
        name=st.sampled_from(NON_IDEMPOTENT),
        behaviour=behaviours,
    )
    def submit_twice_at_once(self, first, second, name, behaviour):
        self.submit(first, name, behaviour)
        self.submit(second, name, behaviour)

    @rule(entry=entries, name=st.sampled_from(IDEMPOTENT), behaviour=behaviours)
    def submit_look_up(self, entry, name, behaviour):
        self.submit(entry, name, behaviour)

    @rule(entry=entries, behaviour=behaviours)
    def submit_fresh_look_up(self, entry, behaviour):
        self.fresh += 1
        self.submit(entry, f"fresh-{self.fresh}", behaviour)

    @rule(entry=entries, name=st.sampled_from(NON_IDEMPOTENT), behaviour=behaviours)
    def submit_and_pause(self, entry, name, behaviour):
        self.submit(entry, name, behaviour)
        self.pause(entry)
        self.advance(REQUEST_TIMEOUT_MS + 1)
        self.resume(entry)

    @rule(entry=entries)
    def kill_in_an_outage(self, entry):
        self.switch_store(StoreFault.DOWN)
        self.submit_fresh_look_up(entry, "answer")
        self.advance(FLUSHING_TIME_MS)
        self.kill(entry)

    @rule(target=issued, entry=entries, behaviour=behaviours)
    def issue(self, entry, behaviour):
        name = self.simulation.cores[entry].claim_table.issue("county-01")
        self.non_idempotent.add(name)
        self.submit(entry, name, behaviour)
        return name

    @rule(entry=entries, name=issued, behaviour=behaviours)
    def submit_issued(self, entry, name, behaviour):
        self.submit(entry, name, behaviour)

    @rule(duration=st.sampled_from(DURATIONS_MS))
    def advance(self, duration):
        self.run(self.simulation.clock.advance(duration))

    @rule(fault=st.sampled_from(PERSISTENT_FAULTS))
    def switch_store(self, fault):
        self.simulation.store.fault = fault

    @rule(faults=st.lists(st.sampled_from(SINGLE_FAULTS), min_size=1, max_size=2))
    def fail_next_calls(self, faults):
        self.simulation.store.injector.queued_faults.extend(faults)

    @rule()
    def land_late_writes(self):
        self.simulation.store.apply_late_writes()

    @rule(entry=entries)
    def pause(self, entry):
        self.simulation.cores[entry].running.clear()

    @rule(entry=entries)
    def resume(self, entry):
        self.simulation.cores[entry].resume()
        self.run(self.simulation.clock.advance(0))

    @rule(entry=entries)
    def kill(self, entry):
        """Kill an entry, unless it has uncopied records, which only two faults lose."""
        core = self.simulation.cores[entry]
        if core.ledger.uncopied == 0:
            self.run(self.simulation.kill(core))

    def teardown(self):
        self.simulation.store.fault = StoreFault.NONE
        self.simulation.store.injector.queued_faults.clear()
        for core in self.simulation.cores:
            core.resume()
        self.run(self.simulation.clock.advance(SETTLING_TIME_MS))
        self.simulation.store.apply_late_writes()
        self.run(self.simulation.clock.advance(SETTLING_TIME_MS))
        try:
            self.check()
        finally:
            for core in self.simulation.cores:
                self.run(core.stop())
            self.loop.close()

    def check(self):
        for name in sorted(self.non_idempotent):
            runs = len(self.simulation.runs[name])
            assert runs <= 1, f"ran {runs} times: {name}"
        for name in sorted(self.non_idempotent):
            self.check_verdicts(name)
        for name, runs in self.simulation.runs.items():
            is_in_time = all(instant <= deadline for instant, deadline in runs)
            assert is_in_time, f"dispatched after the deadline: {name}"
        assert not self.simulation.uncopied_answers, (
            "answered without a copy of the record"
        )
        self.check_ledger()

    def check_verdicts(self, name):
        runs = len(self.simulation.runs[name])
        verdicts = self.simulation.refusals[name]
        is_correct = runs == 0 or Verdict.NOT_RUN not in verdicts
        assert is_correct, f"false NOT_RUN: {name}"
        is_correct = runs == 1 or Verdict.RUN not in verdicts
        assert is_correct, f"false RUN: {name}"
        # Model: a single entry that answers every repeat from memory.
        answers = set(self.simulation.answers[name])
        assert answers <= {f"{name}#1".encode()}, f"different answers: {name}"

    def check_ledger(self):
        records = self.simulation.ledger_records()
        answered = {
            name for name, answers in self.simulation.answers.items() if answers
        }
        missing = answered - set(records)
        assert not missing, f"not billed: {sorted(missing)}"
        billed_twice = {name for name, record in records.items() if record.version > 1}
        assert not billed_twice, f"billed twice: {sorted(billed_twice)}"


def test_histories():
    run_state_machine_as_test(EntryHistories, settings=SETTINGS)


# Each mutation disables one safeguard; some history must then fail a check.


def without_checks(transaction):
    def unchecked(*arguments):
        return replace(transaction(*arguments), checks=())

    return unchecked


def take_over_open_claim(write, record):
    """Treat a claim without a recorded outcome as one's own."""
    write.existing = decode_claim(record.value)
    is_ended = write.existing.outcome is not None
    write.settle(ClaimWriteState.THEIRS if is_ended else ClaimWriteState.OURS)


def assume_ours(write):
    write.settle(ClaimWriteState.OURS)


def refuse_as_not_run(retry_after):
    return SHED


async def refuse_unchecked(table, request, refusal):
    return refusal


def treat_every_issued_id_as_own(issuer, organisation, request):
    is_issued = request.startswith(ISSUED_PREFIX)
    return IssuedIdState.OWN if is_issued else IssuedIdState.CALLER_CHOSEN


def allow_every_dispatch(step, request):
    return Success(None)


async def append_without_copy(ledger, record):
    ledger._pending.setdefault(record.key, _PendingRecord(record=record))


def release_everything(ledger):
    return ledger._last_batch


def take_nothing(holder, origin):
    return ()


class AlwaysMissingDict(OrderedDict):
    def get(self, key, default=None):
        return default


#: Failures when two entries both treat the claim of a request as their own.
DUPLICATE_RUN = r"ran \d+ times|false NOT_RUN"

MUTATIONS = {
    "claims are written only if absent": (
        _group_commit,
        "_transaction",
        without_checks(_group_commit._transaction),
        DUPLICATE_RUN,
    ),
    "a claim is never taken over": (
        ClaimWrite,
        "settle_from",
        take_over_open_claim,
        DUPLICATE_RUN,
    ),
    "a claim is held only if the store confirms it": (
        ClaimWrite,
        "mark_unresolved",
        assume_ours,
        DUPLICATE_RUN,
    ),
    "tokens differ between incarnations": (
        _claim_table,
        "ClaimToken",
        lambda token: "token",
        DUPLICATE_RUN,
    ),
    "an entry finds its own claims again": (
        _claim_table,
        "OrderedDict",
        AlwaysMissingDict,
        DUPLICATE_RUN,
    ),
    "issued ids belong to one incarnation": (
        IdIssuer,
        "classify",
        treat_every_issued_id_as_own,
        DUPLICATE_RUN,
    ),
    "an unresolved claim is not refused as NOT_RUN": (
        _claim_table,
        "refuse_unresolved",
        refuse_as_not_run,
        "false NOT_RUN",
    ),
    "a NOT_RUN refusal closes the id first": (
        ClaimTable,
        "confirm_refusal",
        refuse_unchecked,
        "false NOT_RUN",
    ),
    "the deadline is checked right before dispatch": (
        ClaimTableStep,
        "check_dispatch",
        allow_every_dispatch,
        "dispatched after the deadline",
    ),
    "ledger records are written only if absent": (
        _ledger,
        "_transaction",
        without_checks(_ledger._transaction),
        "billed twice",
    ),
    "an answer waits for the copy of its record": (
        Ledger,
        "append",
        append_without_copy,
        "answered without a copy",
    ),
    "copies are kept until the store has the record": (
        Ledger,
        "_flushed_through",
        release_everything,
        "not billed",
    ),
    "a peer takes over the copies of a dead entry": (
        CopyHolder,
        "take",
        take_nothing,
        "not billed",
    ),
}


@pytest.mark.parametrize("safeguard", MUTATIONS)
def test_histories_fail_without(monkeypatch, safeguard):
    owner, name, replacement, failure = MUTATIONS[safeguard]
    monkeypatch.setattr(owner, name, replacement)
    with pytest.raises(AssertionError, match=failure):
        run_state_machine_as_test(EntryHistories, settings=MUTATION_SETTINGS)
