"""Processor time of choosing an endpoint, by the number of endpoints."""

import time
from random import Random

from benches._large_declaration import declare_large
from fuchsiaroute.balancing import EndpointChooser
from fuchsiaroute.clock import ManualClock, Milliseconds
from fuchsiaroute.endpoints import Outcome, Warmth, WarmthFact
from fuchsiaroute.ids import (
    Incarnation,
    InstanceId,
    OrganisationId,
    ProductId,
    RequestClass,
    RequestId,
    VersionId,
)
from fuchsiaroute.request import Request

VERSION_COUNT = 35
ORGANISATION_COUNT = 10
CHOICE_COUNT = 5_000
NANOSECONDS_PER_MICROSECOND = 1_000
WARM_UP_TIME = Milliseconds(60_000)
DEADLINE = Milliseconds(30_000)


def choice_microseconds(endpoints: int) -> float:
    """Return the mean time to choose and release an endpoint, in microseconds."""
    declared = declare_large(
        endpoints=endpoints, versions=VERSION_COUNT, organisations=ORGANISATION_COUNT
    )
    clock = ManualClock()
    chooser = EndpointChooser(
        entry=InstanceId("entry-0"), clock=clock, random=Random(1)
    )
    chooser.update_configuration(declared)
    warmth = Warmth(incarnation=Incarnation(1), is_warm=True)
    chooser.merge_warmth(
        WarmthFact(endpoint=item.id, warmth=warmth) for item in declared.endpoints
    )
    clock.tick(WARM_UP_TIME)
    request = Request(
        id=RequestId("r"),
        organisation=OrganisationId("organisation-0"),
        product=ProductId("permit-desk"),
        request_class=RequestClass("stand-lookup"),
        deadline=Milliseconds(clock.wall() + DEADLINE),
    )
    started = time.thread_time_ns()
    for number in range(CHOICE_COUNT):
        version = VersionId(f"model-{number % VERSION_COUNT}-v1")
        reservation = chooser.choose(request, version).unwrap()
        chooser.release(reservation, Outcome.ANSWERED)
    spent = time.thread_time_ns() - started
    return spent / CHOICE_COUNT / NANOSECONDS_PER_MICROSECOND
