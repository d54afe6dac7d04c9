"""The interface to operators, on an address that is not open to callers."""

from fuchsiaroute.operators._app import build_operators_app
from fuchsiaroute.operators._authentication import (
    OperatorKey,
    OperatorKeys,
    load_keys,
)
from fuchsiaroute.operators._client import (
    ClientError,
    ClientErrorKind,
    OperatorClient,
)
from fuchsiaroute.operators._explain import explain
from fuchsiaroute.operators._interfaces import ChangeLog, EntryView
from fuchsiaroute.operators._logged_changes import LoggedChanges
from fuchsiaroute.operators._messages import (
    ChangeOutcome,
    ChangeReply,
    EndpointStatus,
    EntryStatus,
    Explanation,
    InForce,
    OperatorError,
    Question,
    SubmittedChange,
)

__all__ = [
    "ChangeLog",
    "ChangeOutcome",
    "ChangeReply",
    "ClientError",
    "ClientErrorKind",
    "EndpointStatus",
    "EntryStatus",
    "EntryView",
    "Explanation",
    "InForce",
    "LoggedChanges",
    "OperatorClient",
    "OperatorError",
    "OperatorKey",
    "OperatorKeys",
    "Question",
    "SubmittedChange",
    "build_operators_app",
    "explain",
    "load_keys",
]
