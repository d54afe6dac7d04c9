"""A configuration together with the change that put it in force."""

from dataclasses import dataclass

from returns.result import Failure, Result, Success

from fuchsiaroute.configuration._change import AcceptedChange, digest_of
from fuchsiaroute.configuration._codec import decode_body
from fuchsiaroute.configuration._model import Configuration


@dataclass(frozen=True, kw_only=True)
class Snapshot:
    """One accepted configuration, decoded and as bytes for peers."""

    change: AcceptedChange
    configuration: Configuration
    #: Canonical JSON of the configuration.
    body: bytes


@dataclass(frozen=True, kw_only=True)
class SnapshotError:
    """Bytes that are not the configuration that they should be."""

    message: str


def make_snapshot(
    change: AcceptedChange, body: bytes
) -> Result[Snapshot, SnapshotError]:
    """Return the snapshot of ``body`` if its hash is the one in ``change``."""
    if digest_of(body) != change.digest:
        message = f"body of revision {change.revision} has another digest"
        return Failure(SnapshotError(message=message))
    match decode_body(body):
        case Success(configuration):
            snapshot = Snapshot(change=change, configuration=configuration, body=body)
            return Success(snapshot)
        case Failure(message):
            return Failure(SnapshotError(message=message))
        case _:
            return Failure(SnapshotError(message="the body cannot be decoded"))
