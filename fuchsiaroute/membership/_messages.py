"""Membership updates that entries exchange in heartbeats."""

from dataclasses import dataclass

from fuchsiaroute.ids import FailureDomainId, Incarnation, InstanceId


@dataclass(frozen=True, kw_only=True)
class Announcement:
    """Address of an entry, and whether it leaves, as announced by the entry itself."""

    instance: InstanceId
    #: Unix time of the process's start in milliseconds; higher after a restart.
    incarnation: Incarnation
    #: Increases with each announcement of one incarnation.
    sequence: int
    is_leaving: bool
    #: ``host:port`` for peers, by IP number.
    address: str
    failure_domain: FailureDomainId


@dataclass(frozen=True, kw_only=True)
class Report:
    """Whether the subject answers the heartbeats of the observer."""

    observer: InstanceId
    observer_incarnation: Incarnation
    subject: InstanceId
    subject_incarnation: Incarnation
    is_reachable: bool
    #: Increases with each report of one incarnation of the observer.
    sequence: int


#: Entries forward an update until all have received it.
MembershipUpdate = Announcement | Report
#: Of two updates under one key, the newer one replaces the older one.
UpdateKey = tuple[InstanceId, InstanceId]


def update_key(update: MembershipUpdate) -> UpdateKey:
    """Return the entry that sent ``update`` and the entry that it describes."""
    if isinstance(update, Announcement):
        return (update.instance, update.instance)
    return (update.observer, update.subject)


def update_order(update: MembershipUpdate) -> tuple[Incarnation, int]:
    """Return a value that is higher for the newer one of two updates under one key."""
    if isinstance(update, Announcement):
        return (update.incarnation, update.sequence)
    return (update.observer_incarnation, update.sequence)
