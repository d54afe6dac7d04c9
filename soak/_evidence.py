"""The record of a run as the checks read it."""

from collections import defaultdict
from collections.abc import Callable, Iterator, Sequence

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.platform.tests.recording_endpoint import Run
from fuchsiaroute.platform.tests.soak_platform import CONTACT
from soak._instances import Instance
from soak._record import STORE, CallerRequest, Record

Check = Callable[["Evidence"], Iterator[str]]


class Evidence:
    """The record of a run, with the endpoint runs indexed by request."""

    def __init__(
        self, record: Record, runs: Sequence[Run], instances: Sequence[Instance]
    ) -> None:
        self.record = record
        self.runs = runs
        self.instances = instances
        self.requests = {item.request_id: item for item in record.requests}
        self.runs_by_request: dict[str, list[Run]] = defaultdict(list)
        #: Runs and rejections.
        self.arrivals_by_request: dict[str, list[Run]] = defaultdict(list)
        for run in runs:
            self.arrivals_by_request[run.request_id].append(run)
            if not run.is_rejected:
                self.runs_by_request[run.request_id].append(run)

    def was_undisturbed(self, request: CallerRequest, until: Milliseconds) -> bool:
        """
        Return whether the request's instance and the store were undisturbed.

        The time checked begins CONTACT before the request was sent and ends at
        ``until``.
        """
        begin = Milliseconds(request.sent_at - CONTACT)
        names = (request.instance, STORE)
        return self.record.disturbances.is_undisturbed(names, begin, until)
