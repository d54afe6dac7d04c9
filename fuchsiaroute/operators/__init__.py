"""HTTP interface for operators, on an address that is not open to callers."""

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
from fuchsiaroute.operators._configuration_log_changes import (
    ConfigurationLogChanges,
)
from fuchsiaroute.operators._explain import explain
from fuchsiaroute.operators._interfaces import ChangeLog, EntryView
from fuchsiaroute.operators._messages import (
    ChangeOutcome,
    ChangeReply,
    ConfigurationReply,
    EndpointStatus,
    EntryStatus,
    Explanation,
    ExplanationRequest,
    OperatorError,
    SubmittedChange,
)

__all__ = [
    "ChangeLog",
    "ChangeOutcome",
    "ChangeReply",
    "ClientError",
    "ClientErrorKind",
    "ConfigurationLogChanges",
    "ConfigurationReply",
    "EndpointStatus",
    "EntryStatus",
    "EntryView",
    "Explanation",
    "ExplanationRequest",
    "OperatorClient",
    "OperatorError",
    "OperatorKey",
    "OperatorKeys",
    "SubmittedChange",
    "build_operators_app",
    "explain",
    "load_keys",
]
