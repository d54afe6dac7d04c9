"""Rows that this build and 877afde read and write in turn, in an upgrade."""

from dataclasses import replace

import msgspec

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.ids import ServiceId, VersionId
from fuchsiaroute.staging import Outcome, Progress, RolloutRecord
from fuchsiaroute.staging._codec import (
    decode_outcomes,
    decode_record,
    encode_outcomes,
    encode_record,
)

SERVICE = ServiceId("s")


class _FormerRecord(msgspec.Struct):
    """The record as build 877afde reads and writes it."""

    target: str
    order: int
    progress: str
    started: int


RECORD = RolloutRecord(
    service=SERVICE,
    target=VersionId("v2"),
    order=9,
    progress=Progress.ROLLED_BACK,
    started=Milliseconds(500),
    attempt=2,
)
FORMER = _FormerRecord(target="v2", order=9, progress="ROLLED_BACK", started=500)


def test_former_build_reads_records_of_this_one() -> None:
    value = encode_record(RECORD)
    assert msgspec.json.decode(value, type=_FormerRecord) == FORMER


def test_this_build_reads_records_of_the_former_one() -> None:
    found = decode_record(SERVICE, msgspec.json.encode(FORMER))
    assert found == replace(RECORD, attempt=0)


def test_outcomes() -> None:
    outcomes = {
        VersionId("v1"): Outcome(order=3, progress=Progress.COMPLETED),
        VersionId("v2"): Outcome(order=9, progress=Progress.ROLLED_BACK, attempt=1),
    }
    assert decode_outcomes(encode_outcomes(outcomes), era=4) == outcomes


def test_outcome_of_a_later_build_is_left_out() -> None:
    value = (
        b'{"versions": {"v1": {"order": 3, "progress": "HELD", "since": 5},'
        b'"v2": {"order": 9, "progress": "COMPLETED"}}}'
    )
    assert decode_outcomes(value, era=0) == {
        VersionId("v2"): Outcome(order=9, progress=Progress.COMPLETED)
    }
