import dataclasses
import errno
import io
import json
import logging
import os
import select
import subprocess
import sys
from pathlib import Path

import pytest
from eliot import prettyprint

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.ids import (
    ChangeId,
    EndpointId,
    FencingNumber,
    InstanceId,
    ModelId,
    OrganisationId,
    ProductId,
    RequestClass,
    RequestId,
    Revision,
    VersionId,
)
from fuchsiaroute.logs import (
    AnswerEnded,
    AttemptFinished,
    ChangeSubmitted,
    ConfigurationApplied,
    InstanceStateChanged,
    LinesLeftOut,
    PlacementDecided,
    RequestBilled,
    RequestRefused,
    StopUnwritten,
    TaskFailed,
    log_event,
    open_log,
    route_decided,
)
from fuchsiaroute.request import Candidate, Decision, Exclusion, Request
from fuchsiaroute.settings import StandardError
from fuchsiaroute.store import OrderKind
from fuchsiaroute.verdict import RefusalReason, Verdict

REQUEST = Request(
    id=RequestId("r-1"),
    organisation=OrganisationId("county-01"),
    product=ProductId("permit-desk"),
    request_class=RequestClass("stand-lookup"),
    pin="secret-pin",
    deadline=Milliseconds(1),
)
DECISION = Decision(
    revision=Revision(7),
    versions=(VersionId("sapling-1"),),
    candidates=(
        Candidate(
            version=VersionId("sapling-1"),
            model=ModelId("sapling"),
            exclusion=Exclusion.NONE,
            cost=1,
            quality=0.9,
        ),
        Candidate(
            version=VersionId("timber-4"),
            model=ModelId("timber"),
            exclusion=Exclusion.NOT_PERMITTED,
            cost=2,
            quality=0.9,
        ),
    ),
)
ENDPOINT = EndpointId("e-1")
TIMEOUT_SECONDS = 30
EVENTS = [
    route_decided(REQUEST, DECISION),
    AttemptFinished(
        request=REQUEST.id,
        attempt=1,
        endpoint=ENDPOINT,
        verdict=Verdict.RUN,
        outcome="answered",
        duration_ms=Milliseconds(3),
    ),
    AnswerEnded(
        request=REQUEST.id,
        organisation=REQUEST.organisation,
        endpoint=ENDPOINT,
        version=VersionId("sapling-1"),
        answer_bytes=3,
        duration_ms=Milliseconds(2),
        is_whole=True,
    ),
    RequestBilled(
        request=REQUEST.id,
        organisation=REQUEST.organisation,
        versions=(VersionId("sapling-1"),),
        cost_microunits=4,
    ),
    RequestRefused(
        reason=RefusalReason.TOO_LARGE, verdict=Verdict.NOT_RUN, message="too large"
    ),
    PlacementDecided(
        endpoint=ENDPOINT,
        order=OrderKind.LOAD_VERSION,
        version=VersionId("sapling-1"),
        fencing=FencingNumber(3),
        outcome="confirmed",
        reason="rollout",
    ),
    ConfigurationApplied(revision=Revision(7)),
    ChangeSubmitted(
        change=ChangeId("c"), author="ops", base=Revision(6), outcome="accepted"
    ),
    InstanceStateChanged(instance=InstanceId("entry-1"), state="ready"),
    TaskFailed(task="ledger", error="KeyError: 'a'"),
    LinesLeftOut(lines=2, reason="No space left on device"),
    StopUnwritten(what="ledger", records=3, waited_ms=Milliseconds(10)),
]


def logged_line(tmp_path, event):
    path = tmp_path / "log"
    with open_log(path):
        log_event(event)
    (line,) = path.read_text().splitlines()
    return line


@pytest.mark.parametrize("event", EVENTS, ids=lambda event: event.message_type)
def test_event_is_one_line_that_eliot_reads(tmp_path, event):
    line = logged_line(tmp_path, event)
    decoded = json.loads(line)
    assert decoded["message_type"] == event.message_type
    names = {field.name for field in dataclasses.fields(event)}
    assert names <= decoded.keys()
    assert event.message_type in prettyprint.pretty_format(decoded)


def test_route_decision_logs_the_rule_of_each_excluded_version(tmp_path):
    decoded = json.loads(logged_line(tmp_path, EVENTS[0]))
    assert decoded["versions"] == ["sapling-1"]
    assert decoded["excluded"] == {"timber-4": "not-permitted"}
    assert "secret-pin" not in json.dumps(decoded)


def test_event_after_closing_the_log_is_not_written(tmp_path):
    path = tmp_path / "log"
    with open_log(path):
        log_event(EVENTS[0])
    log_event(EVENTS[1])
    assert len(path.read_text().splitlines()) == 1


def test_standard_error_is_a_target(monkeypatch):
    stream = io.StringIO()
    monkeypatch.setattr("sys.stderr", stream)
    with open_log(StandardError.TOKEN):
        log_event(EVENTS[0])
    assert json.loads(stream.getvalue())["message_type"] == "route:decided"


@pytest.mark.parametrize("name", ["httpx", "httpcore", "uvicorn.access"])
def test_libraries_write_no_line_per_request(tmp_path, name):
    with open_log(tmp_path / "log"):
        assert not logging.getLogger(name).isEnabledFor(logging.INFO)


def test_warning_of_a_library_is_logged(tmp_path):
    with open_log(tmp_path / "log"):
        logging.getLogger("uvicorn.error").warning("connection lost")
    assert "connection lost" in (tmp_path / "log").read_text()


def test_unread_standard_error_does_not_hold_up_the_process():
    """A reader of the log that stops reading held up every answer of the entry."""
    program = (
        "import sys\n"
        "from fuchsiaroute.logs import InstanceStateChanged, log_event, open_log\n"
        "from fuchsiaroute.settings import StandardError\n"
        "with open_log(StandardError.TOKEN):\n"
        "    for number in range(10_000):\n"
        "        log_event(InstanceStateChanged(instance=str(number), state='x'))\n"
        "    print('serving', flush=True)\n"
        "    sys.stdin.readline()\n"
        "    log_event(InstanceStateChanged(instance='last', state='x'))\n"
    )
    with subprocess.Popen(
        [sys.executable, "-c", program],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    ) as process:
        try:
            readable, _, _ = select.select([process.stdout], [], [], TIMEOUT_SECONDS)
            assert readable
            _, errors = process.communicate(b"\n", timeout=TIMEOUT_SECONDS)
        finally:
            process.kill()
    lines = [json.loads(line) for line in errors.splitlines()]
    states = [line for line in lines if line["message_type"] == "instance:state"]
    (report,) = [line for line in lines if line["message_type"] == "log:lines-left-out"]
    assert report["lines"] == 10_001 - len(states)
    assert process.returncode == 0


@pytest.mark.parametrize("error_number", [errno.ENOSPC, errno.EPIPE, errno.EIO])
def test_lines_that_cannot_be_written_follow_once_the_output_works(
    tmp_path, monkeypatch, error_number
):
    """Lines were lost, without a trace, while the disk was full."""

    def fail(descriptor, data):
        raise OSError(error_number, os.strerror(error_number))

    path = tmp_path / "log"
    with open_log(path):
        with monkeypatch.context() as patch:
            patch.setattr("os.write", fail)
            log_event(EVENTS[0])
        log_event(EVENTS[1])
    types = [json.loads(line)["message_type"] for line in path.read_text().splitlines()]
    assert types[:2] == ["route:decided", EVENTS[1].message_type]
    report = json.loads(path.read_text().splitlines()[2])
    assert (report["message_type"], report["lines"]) == ("log:lines-left-out", 0)
    assert report["reason"] == os.strerror(error_number)


def test_full_disk_does_not_fail_the_end_of_the_process():
    """Closing the log raised the error of a write, after all requests had ended."""
    with open_log(Path("/dev/full")):
        log_event(EVENTS[0])
