from collections import Counter
from dataclasses import replace

import pytest

from fuchsiaroute.advice import ADVICE_SIZE, CandidateEntry, EntryAdvice, EntryState
from fuchsiaroute.ids import FailureDomainId, InstanceId

DOMAINS = [FailureDomainId(f"lakes-{zone}") for zone in "abc"]
ENTRIES = [
    CandidateEntry(
        instance=InstanceId(f"entry-{number}"),
        url=f"http://127.0.0.1:{9000 + number}",
        failure_domain=DOMAINS[number % 3],
    )
    for number in range(8)
]


def advice_of(entries: list[CandidateEntry]) -> EntryAdvice:
    advice = EntryAdvice()
    advice.update(entries)
    return advice


def first(advice: EntryAdvice, caller: str, domain: str = "") -> str:
    return advice.advise(caller=caller, failure_domain=domain).entries[0].url


def test_callers_are_spread_over_the_entries() -> None:
    advice = advice_of(ENTRIES)
    counts = Counter(first(advice, f"10.0.{n // 250}.{n % 250}") for n in range(4_000))
    assert len(counts) == len(ENTRIES)
    assert max(counts.values()) <= 1.3 * 4_000 / len(ENTRIES)


def test_every_entry_gives_a_caller_the_same_advice() -> None:
    backwards = advice_of(ENTRIES[::-1])
    assert advice_of(ENTRIES).advise(
        caller="10.0.0.1", failure_domain=""
    ) == backwards.advise(caller="10.0.0.1", failure_domain="")


def test_callers_failure_domain_comes_first_with_another_as_fallback() -> None:
    advised = advice_of(ENTRIES).advise(caller="c", failure_domain=DOMAINS[1])
    domains = [entry.failure_domain for entry in advised.entries]
    assert domains[0] == DOMAINS[1]
    assert set(domains) > {DOMAINS[1]}
    assert len(domains) == ADVICE_SIZE


@pytest.mark.parametrize(
    ("state", "is_advised"),
    [
        (EntryState.HEALTHY, True),
        (EntryState.SUSPECT, False),
        (EntryState.LEAVING, False),
    ],
)
def test_unhealthy_entries_are_not_advised_while_others_are_healthy(
    state: EntryState, is_advised: bool
) -> None:
    changed = [replace(ENTRIES[0], state=state), *ENTRIES[1:]]
    advice = advice_of(changed)
    seen = {
        entry.url
        for caller in range(200)
        for entry in advice.advise(caller=str(caller), failure_domain="").entries
    }
    assert (ENTRIES[0].url in seen) is is_advised


def test_suspect_entries_are_a_last_resort_and_leaving_ones_are_never_advised() -> None:
    suspect = [replace(entry, state=EntryState.SUSPECT) for entry in ENTRIES[:2]]
    assert len(advice_of(suspect).advise(caller="c", failure_domain="").entries) == 2
    leaving = [replace(entry, state=EntryState.LEAVING) for entry in ENTRIES[:2]]
    assert advice_of(leaving).advise(caller="c", failure_domain="").entries == ()


def test_entries_in_a_domain_with_an_outage_come_last() -> None:
    advice = advice_of(ENTRIES)
    advice.update_outages([DOMAINS[0]])
    firsts = {first(advice, str(caller), DOMAINS[0]) for caller in range(100)}
    affected = {entry.url for entry in ENTRIES if entry.failure_domain == DOMAINS[0]}
    assert not firsts & affected


def test_withdrawn_entry_is_not_advised() -> None:
    advice = advice_of(ENTRIES)
    advice.withdraw(ENTRIES[3].instance)
    seen = {
        entry.url
        for caller in range(200)
        for entry in advice.advise(caller=str(caller), failure_domain="").entries
    }
    assert seen == {entry.url for entry in ENTRIES} - {ENTRIES[3].url}
