"""Chooses the entries that a caller is advised to use."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from enum import Enum

from fuchsiaroute.balancing import rendezvous_hash
from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.gateway import Advice, AdvisedEntry
from fuchsiaroute.ids import FailureDomainId, InstanceId

#: Time for which a caller may use an advice.
ADVICE_LIFETIME = Milliseconds(5_000)
#: Entries in one advice: a caller needs a few as fallbacks.
ADVICE_SIZE = 4


class EntryState(Enum):
    """Whether callers should use an entry."""

    HEALTHY = "healthy"
    #: No recent answer; advised only if too few healthy entries are left.
    SUSPECT = "suspect"
    #: Completing requests before it stops; never advised.
    LEAVING = "leaving"


@dataclass(frozen=True, kw_only=True)
class CandidateEntry:
    """An entry that may be advised to callers."""

    instance: InstanceId
    #: Base URL for callers.
    url: str
    failure_domain: FailureDomainId
    state: EntryState = EntryState.HEALTHY
    #: Whether it is the entry that gives the advice.
    is_self: bool = False


class EntryAdvice:
    """
    Advises entries in an order that depends on the caller.

    Implements ``AdviceSource``. The order is a rendezvous hash of the caller and the
    entries: callers are spread over the entries, and a caller keeps its entry when
    other entries change.
    """

    def __init__(self) -> None:
        self._entries: tuple[CandidateEntry, ...] = ()
        self._outages: frozenset[FailureDomainId] = frozenset()

    @property
    def entries(self) -> tuple[CandidateEntry, ...]:
        """Return all entries, advised or not."""
        return self._entries

    def update(self, entries: Iterable[CandidateEntry]) -> None:
        """Replace the entries; they include the one that gives the advice."""
        self._entries = tuple(entries)

    def withdraw(self, instance: InstanceId) -> None:
        """Stop advising ``instance``, which is about to stop."""
        self._entries = tuple(
            replace(entry, state=EntryState.LEAVING)
            if entry.instance == instance
            else entry
            for entry in self._entries
        )

    def update_outages(self, domains: Iterable[FailureDomainId]) -> None:
        """Replace the failure domains for which operators declared an outage."""
        self._outages = frozenset(domains)

    def advise(self, *, caller: str, failure_domain: str) -> Advice:
        """Return advice for ``caller``, preferring ``failure_domain`` if not empty."""
        usable = [
            entry for entry in self._entries if entry.state is not EntryState.LEAVING
        ]

        def order(entry: CandidateEntry) -> tuple[bool, bool, bool, int]:
            return (
                entry.state is not EntryState.HEALTHY,
                entry.failure_domain in self._outages,
                entry.failure_domain != failure_domain,
                -rendezvous_hash(caller, entry.instance),
            )

        chosen = _with_other_domain(sorted(usable, key=order))
        return Advice(
            entries=tuple(
                AdvisedEntry(url=entry.url, failure_domain=entry.failure_domain)
                for entry in chosen
            ),
            lifetime=ADVICE_LIFETIME,
        )


def _with_other_domain(ordered: Sequence[CandidateEntry]) -> Sequence[CandidateEntry]:
    """Return the first entries, with one of a second failure domain if there is one."""
    chosen = list(ordered[:ADVICE_SIZE])
    domains = {entry.failure_domain for entry in chosen}
    others = [item for item in ordered if item.failure_domain not in domains]
    if len(domains) == 1 and others and len(chosen) == ADVICE_SIZE:
        chosen[-1] = others[0]
    return chosen
