"""
Values of the rows in which roll-outs are kept.

Other builds read and write the same rows: fields may be added with a default, and an
unknown field or state is left out.
"""

import msgspec

from fuchsiaroute.clock import Milliseconds
from fuchsiaroute.decoding import Int64, MalformedDataError, decode
from fuchsiaroute.ids import ServiceId, VersionId
from fuchsiaroute.staging._outcomes import Outcome
from fuchsiaroute.staging._records import Progress, RolloutRecord


class _StoredRecord(msgspec.Struct):
    target: str
    order: Int64
    progress: str
    started: Int64
    attempt: Int64 = 0


class _StoredOutcome(msgspec.Struct):
    order: Int64
    progress: str
    attempt: Int64 = 0


class _StoredOutcomes(msgspec.Struct):
    versions: dict[str, _StoredOutcome]


_RECORD_DECODER = msgspec.json.Decoder(_StoredRecord)
_OUTCOMES_DECODER = msgspec.json.Decoder(_StoredOutcomes)


def encode_record(record: RolloutRecord) -> bytes:
    """Return the value of a record's row."""
    return msgspec.json.encode(
        _StoredRecord(
            target=record.target,
            order=record.order,
            progress=record.progress.name,
            started=record.started,
            attempt=record.attempt,
        )
    )


def decode_record(service: ServiceId, value: bytes) -> RolloutRecord | None:
    """Decode the value of a record's row; None if it cannot be decoded."""
    try:
        found = decode(_RECORD_DECODER, value)
        progress = Progress[found.progress]
    except (MalformedDataError, KeyError):
        return None
    return RolloutRecord(
        service=service,
        target=VersionId(found.target),
        order=found.order,
        progress=progress,
        started=Milliseconds(found.started),
        attempt=found.attempt,
    )


def encode_outcomes(outcomes: dict[VersionId, Outcome]) -> bytes:
    """Return the value of the row with the outcomes of a service."""
    versions = {
        str(version): _StoredOutcome(
            order=item.order, progress=item.progress.name, attempt=item.attempt
        )
        for version, item in outcomes.items()
    }
    return msgspec.json.encode(_StoredOutcomes(versions=versions))


def decode_outcomes(value: bytes, *, era: int) -> dict[VersionId, Outcome] | None:
    """
    Decode the outcomes of a service, read in ``era`` of the store.

    Returns None if the value cannot be decoded.
    """
    try:
        found = decode(_OUTCOMES_DECODER, value)
    except MalformedDataError:
        return None
    return {
        VersionId(version): Outcome(
            order=item.order,
            progress=Progress[item.progress],
            attempt=item.attempt,
            stored_era=era,
        )
        for version, item in found.versions.items()
        if item.progress in Progress.__members__
    }
