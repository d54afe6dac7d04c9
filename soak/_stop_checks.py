"""Checks that answers are completed when an instance is told to stop."""

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.platform.tests.recording_endpoint import Run
from fuchsiaroute.platform.tests.soak_platform import CONTACT, GRACE, LOSS_SLACK
from soak._evidence import Evidence
from soak._record import STORE, CallerRequest

#: Time after the grace period in which a closed connection belongs to the stop.
_AFTER_GRACE = Milliseconds(1_000)
#: Time after SIGTERM until which an instance may take a request that it cannot
#: complete.
_LAST_EXCUSED_REQUEST = Milliseconds(3_000)
#: Time after SIGTERM at which the last sixth of the grace period begins.
_LAST_SIXTH = Milliseconds(GRACE * 5 // 6)


@dataclass(frozen=True, kw_only=True)
class _Cut:
    """A request whose connection was closed around a SIGTERM of its instance."""

    request: CallerRequest
    stopped_at: Milliseconds
    #: Arrivals of the request at endpoints, in order.
    arrivals: Sequence[Run]


def check_stops(evidence: Evidence) -> Iterator[str]:
    """Check that around SIGTERM no request is cut that an endpoint has received."""
    for cut in _cuts(evidence):
        if cut.arrivals or cut.request.status is not None:
            yield _describe(cut)


def check_unread(evidence: Evidence) -> Iterator[str]:
    """Check that around SIGTERM no request is read and then closed unanswered."""
    for cut in _cuts(evidence):
        # A close that the request has crossed reaches its caller at once.
        took = cut.request.ended_at - cut.request.sent_at
        is_passed_on = cut.arrivals or cut.request.status is not None
        if not (is_passed_on or cut.request.is_refused) and took > LOSS_SLACK:
            yield _describe(cut)


def _cuts(evidence: Evidence) -> Iterator[_Cut]:
    """Yield the requests that were cut without an excuse."""
    for request in evidence.record.requests:
        stopped_at = _stop_of(evidence, request)
        if not request.is_closed or request.is_abandoned or stopped_at is None:
            continue
        arrivals = evidence.arrivals_by_request.get(request.request_id, ())
        cut = _Cut(
            request=request,
            stopped_at=stopped_at,
            arrivals=sorted(arrivals, key=lambda run: run.received_at),
        )
        is_excused = any(excuse(cut) for excuse in _EXCUSES)
        if not is_excused and _is_undisturbed(evidence, cut):
            yield cut


def _stop_of(evidence: Evidence, request: CallerRequest) -> Milliseconds | None:
    """Return the SIGTERM of its process to whose stop the end of a request belongs."""
    for instance in evidence.instances:
        if instance.name == request.instance:
            stopped_at = instance.stopped_at.get(request.process_index)
            if stopped_at is not None:
                last = Milliseconds(stopped_at + GRACE + _AFTER_GRACE)
                return stopped_at if stopped_at <= request.ended_at <= last else None
    return None


def _is_undisturbed(evidence: Evidence, cut: _Cut) -> bool:
    """Return whether nothing but planned work has disturbed a request."""
    names = {cut.request.instance, *(run.endpoint for run in cut.arrivals)}
    if cut.request.kind.is_stream:
        # Other requests do not need the store while they run.
        names.add(STORE)
    return evidence.record.disturbances.is_undisturbed(
        names,
        Milliseconds(cut.request.sent_at - CONTACT),
        cut.request.ended_at,
        ignores_planned=True,
    )


def _has_endpoint_broken_off(cut: _Cut) -> bool:
    return bool(cut.arrivals) and cut.arrivals[-1].is_broken_off


def _is_time_over(cut: _Cut) -> bool:
    return cut.request.ended_at >= cut.request.sent_at + cut.request.kind.timeout


def _does_endpoint_still_work(cut: _Cut) -> bool:
    """Return whether the request was sent early and lasted for most of the grace."""
    last_sixth = cut.stopped_at + _LAST_SIXTH
    is_early = cut.request.sent_at <= cut.stopped_at + _LAST_EXCUSED_REQUEST
    return is_early and any(
        not run.is_rejected and (run.ended_at is None or run.ended_at >= last_sixth)
        for run in cut.arrivals
    )


#: Reasons for which an answer may be cut, each sufficient.
_EXCUSES: tuple[Callable[[_Cut], bool], ...] = (
    _has_endpoint_broken_off,
    _is_time_over,
    _does_endpoint_still_work,
)


def _describe(cut: _Cut) -> str:
    request, endpoints = cut.request, [run.endpoint for run in cut.arrivals]
    last_ended = [run.ended_at for run in cut.arrivals if run.ended_at is not None]
    worked = (
        f", worked until {last_ended[-1] - cut.stopped_at:+d} ms" if last_ended else ""
    )
    return (
        f"{request.request_id}: {request.kind.value} at {request.instance}, sent "
        f"{request.sent_at - cut.stopped_at:+d} ms and closed "
        f"{request.ended_at - cut.stopped_at:+d} ms from SIGTERM, status "
        f"{request.status}, endpoints {endpoints}{worked}"
    )
