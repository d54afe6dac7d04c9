"""Crashes of endpoints under requests that had received no part of an answer."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import NewType

import xxhash

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.ids import EndpointId

#: Hash of a prompt part's id; equal at all instances.
PartKey = NewType("PartKey", int)
#: Hash of what endpoints see of a request; equal at all instances.
RequestKey = NewType("RequestKey", int)
#: Random number of a crash under one request; equal for all parts of its prompt.
CrashId = NewType("CrashId", int)

#: Time within which crashes of several endpoints count as one: they have a cause in
#: common, such as the loss of a failure domain, that is no prompt.
COMMON_CAUSE_TIME = Milliseconds(200)
#: Time within which crashes of one endpoint count as one, as several instances report
#: them with delays. A worker takes some seconds to start again.
RESTART_TIME = Milliseconds(1_500)


@dataclass(frozen=True, kw_only=True)
class CrashReport:
    """A crash of an endpoint under a request with a prompt part."""

    id: CrashId
    part: PartKey
    endpoint: EndpointId
    #: Monotonic time at which the crash was noticed.
    at: Milliseconds


def part_keys(parts: Iterable[str]) -> frozenset[PartKey]:
    """Return the keys of prompt parts, given by their ids."""
    return frozenset(PartKey(xxhash.xxh3_64_intdigest(part.encode())) for part in parts)


def request_key(
    *, method: bytes, host: str, target: bytes, caller: str, body: bytes
) -> RequestKey:
    """
    Return the key of requests that an endpoint cannot tell from each other.

    ``target`` is the path with its query, and ``caller`` the name that endpoints get of
    the caller, empty for none.
    """
    digest = xxhash.xxh3_64()
    for value in (method, host.encode(), target, caller.encode(), body):
        digest.update(len(value).to_bytes(8))
        digest.update(value)
    return RequestKey(digest.intdigest())


def is_same_crash(one: CrashReport, other: CrashReport) -> bool:
    """Return whether two reports, of different requests, are of one crash."""
    return one.endpoint == other.endpoint and abs(one.at - other.at) < RESTART_TIME


def independent_crashes(reports: Iterable[CrashReport]) -> int:
    """Return the number of crashes that have no cause in common that is known."""
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
