"""A configuration together with the change that put it in force."""

from dataclasses import dataclass

from returns.result import Failure, Result, Success

from fuchsiaroute.configuration._change import AcceptedChange, body_digest
from fuchsiaroute.configuration._codec import decode_body
from fuchsiaroute.configuration._model import Configuration


@dataclass(frozen=True, kw_only=True)
class Snapshot:
    """An accepted configuration, decoded and in the encoded form sent to peers."""

    change: AcceptedChange
    configuration: Configuration
    #: Canonical JSON of the configuration.
    body: bytes


@dataclass(frozen=True, kw_only=True)
class SnapshotError:
    """Error of a body that does not match its change or cannot be decoded."""

    message: str


def make_snapshot(
    change: AcceptedChange, body: bytes
) -> Result[Snapshot, SnapshotError]:
    """Return the snapshot of ``body`` if its digest is the one in ``change``."""
    if body_digest(body) != change.digest:
        message = f"the body of revision {change.revision} has an unexpected digest"
        return Failure(SnapshotError(message=message))
    match decode_body(body):
        case Success(configuration):
            snapshot = Snapshot(change=change, configuration=configuration, body=body)
            return Success(snapshot)
        case Failure(message):
            return Failure(SnapshotError(message=message))
        case _:
            return Failure(SnapshotError(message="the body cannot be decoded"))
