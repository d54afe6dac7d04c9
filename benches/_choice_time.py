"""Processor time of one choice among endpoints, by their number."""

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

VERSIONS = 35
ORGANISATIONS = 10
CHOICES = 5_000
NANOSECONDS_PER_MICROSECOND = 1_000
WARMED_UP = Milliseconds(60_000)
DEADLINE = Milliseconds(30_000)


def choice_microseconds(endpoints: int) -> float:
    """Return the mean time of a choice and its outcome, in microseconds."""
    declared = declare_large(
        endpoints=endpoints, versions=VERSIONS, organisations=ORGANISATIONS
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
    clock.tick(WARMED_UP)
    request = Request(
        id=RequestId("r"),
        organisation=OrganisationId("organisation-0"),
        product=ProductId("permit-desk"),
        request_class=RequestClass("stand-lookup"),
        deadline=Milliseconds(clock.wall() + DEADLINE),
    )
    started = time.thread_time_ns()
    for number in range(CHOICES):
        version = VersionId(f"model-{number % VERSIONS}-v1")
        reservation = chooser.choose(request, version).unwrap()
        chooser.release(reservation, Outcome.ANSWERED)
    spent = time.thread_time_ns() - started
    return spent / CHOICES / NANOSECONDS_PER_MICROSECOND
