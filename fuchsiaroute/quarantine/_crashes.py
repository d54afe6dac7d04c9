"""Crashes of endpoints under requests, and what they are evidence against."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import NewType

import xxhash

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.ids import EndpointId

#: Hash of what may be the cause of crashes, equal at all instances: the id of a prompt
#: part (not negative), or all that endpoints see of a request (negative).
SubjectKey = NewType("SubjectKey", int)
#: Random number of a crash under one request; equal for all its subjects.
CrashId = NewType("CrashId", int)

#: Time within which crashes of several endpoints count as one: they have a cause in
#: common, such as the loss of a failure domain, that is no prompt.
COMMON_CAUSE_TIME = Milliseconds(200)
#: Time within which crashes of one endpoint count as one, as several instances report
#: them with delays. A worker takes some seconds to start again.
RESTART_TIME = Milliseconds(1_500)
#: The same for crashes under copies of one request, which few instances report.
REPORT_DELAY = Milliseconds(500)


@dataclass(frozen=True, kw_only=True)
class CrashReport:
    """A crash of an endpoint under a request, as evidence against one subject."""

    id: CrashId
    subject: SubjectKey
    endpoint: EndpointId
    #: Monotonic time at which the crash was noticed.
    at: Milliseconds
    #: Whether the request was sent after a crash under it was known. A cause in common
    #: would have ended both endpoints before that.
    follows_crash: bool = False


def is_request(subject: SubjectKey) -> bool:
    """Return whether a key is that of a request, not of a prompt part."""
    return subject < 0


def part_keys(parts: Iterable[str]) -> frozenset[SubjectKey]:
    """Return the keys of prompt parts, given by their ids."""
    return frozenset(
        SubjectKey(xxhash.xxh3_64_intdigest(part.encode())) for part in parts
    )


def request_key(
    *, method: bytes, host: str, target: bytes, caller: str, body: bytes
) -> SubjectKey:
    """
    Return the key of requests that an endpoint cannot tell from each other.

    ``target`` is the path with its query, and ``caller`` the name that endpoints get of
    the caller, empty for none.
    """
    digest = xxhash.xxh3_64()
    for value in (method, host.encode(), target, caller.encode(), body):
        digest.update(len(value).to_bytes(8))
        digest.update(value)
    return SubjectKey(-1 - (digest.intdigest() >> 1))


def is_same_crash(one: CrashReport, other: CrashReport) -> bool:
    """Return whether two reports, of different requests, are of one crash."""
    return one.endpoint == other.endpoint and abs(one.at - other.at) < RESTART_TIME


def independent_crashes(reports: Iterable[CrashReport]) -> int:
    """Return the crashes under requests with a part that have no known common cause."""
    count = 0
    counted_at: Milliseconds | None = None
    by_endpoint: dict[EndpointId, Milliseconds] = {}
    for report in sorted(reports, key=lambda item: item.at):
        former = by_endpoint.get(report.endpoint)
        by_endpoint[report.endpoint] = report.at
        if former is not None and report.at - former < RESTART_TIME:
            continue
        if counted_at is not None and report.at - counted_at < COMMON_CAUSE_TIME:
            continue
        counted_at = report.at
        count += 1
    return count


def independent_request_crashes(reports: Iterable[CrashReport]) -> int:
    """Return the crashes under copies of one request with no known common cause."""
    count = 0
    counted_at: Milliseconds | None = None
    by_endpoint: dict[EndpointId, Milliseconds] = {}
    for report in sorted(reports, key=lambda item: item.at):
        former = by_endpoint.get(report.endpoint)
        if former is not None and report.at - former < REPORT_DELAY:
            continue
        by_endpoint[report.endpoint] = report.at
        is_close = counted_at is not None and report.at - counted_at < COMMON_CAUSE_TIME
        if is_close and not report.follows_crash:
            continue
        counted_at = report.at
        count += 1
    return count
