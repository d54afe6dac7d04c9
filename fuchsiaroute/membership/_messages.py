"""What entries tell each other about entries."""

from dataclasses import dataclass

from fuchsiaroute.ids import FailureDomainId, Incarnation, InstanceId


@dataclass(frozen=True, kw_only=True)
class Announcement:
    """What an entry says of itself."""

    instance: InstanceId
    #: Unix time of the process's start in milliseconds; a restart has a higher one.
    incarnation: Incarnation
    #: Grows with each announcement of one incarnation.
    sequence: int
    is_leaving: bool
    #: ``host:port`` for peers, by IP number.
    address: str
    failure_domain: FailureDomainId


@dataclass(frozen=True, kw_only=True)
class Report:
    """What an entry observed of another one."""

    observer: InstanceId
    observer_incarnation: Incarnation
    subject: InstanceId
    subject_incarnation: Incarnation
    is_reachable: bool
    #: Grows with each report of one incarnation of the observer.
    sequence: int


#: News that entries pass on until all have it.
MembershipUpdate = Announcement | Report
#: Names what a piece of news is about; newer news replaces older.
UpdateKey = tuple[InstanceId, InstanceId]


def update_key(news: MembershipUpdate) -> UpdateKey:
    """Return the key under which ``news`` replaces what was known before."""
    if isinstance(news, Announcement):
        return (news.instance, news.instance)
    return (news.observer, news.subject)


def update_order(news: MembershipUpdate) -> tuple[Incarnation, int]:
    """Return what orders news under one key; the higher is the newer."""
    if isinstance(news, Announcement):
        return (news.incarnation, news.sequence)
    return (news.observer_incarnation, news.sequence)
