"""The configuration: accepted, distributed and in force, as typed values."""

from fuchsiaroute.configuration._change import (
    NO_REVISION,
    Accepted,
    AcceptedChange,
    ChangeError,
    ChangeErrorKind,
    NoChange,
    decode_change,
    digest_of,
    encode_change,
)
from fuchsiaroute.configuration._in_force import (
    READY_STATES,
    ConfigurationInForce,
    StoreConfirmation,
)
from fuchsiaroute.configuration._log import ConfigurationLog, accept_first_configuration
from fuchsiaroute.configuration._model import (
    Configuration,
    ConfiguredCall,
    Endpoint,
    FailureDomain,
    Model,
    Organisation,
    Outage,
    Product,
    RequestClassSpec,
    Rollout,
    RolloutState,
    Service,
    Version,
    VersionState,
)
from fuchsiaroute.configuration._poller import (
    ConfigurationPoller,
    ConfigurationSource,
    PollOutcome,
    poll_interval,
)
from fuchsiaroute.configuration._reader import ConfigurationReader, NoSnapshot
from fuchsiaroute.configuration._readiness import (
    FRESH_BOUND,
    OUTAGE_BOUND,
    Readiness,
    Situation,
    readiness_in,
)
from fuchsiaroute.configuration._snapshot import (
    Snapshot,
    SnapshotError,
    make_snapshot,
)

__all__ = [
    "FRESH_BOUND",
    "NO_REVISION",
    "OUTAGE_BOUND",
    "READY_STATES",
    "Accepted",
    "AcceptedChange",
    "ChangeError",
    "ChangeErrorKind",
    "Configuration",
    "ConfigurationLog",
    "ConfigurationPoller",
    "ConfigurationReader",
    "ConfigurationSource",
    "ConfiguredCall",
    "Endpoint",
    "FailureDomain",
    "ConfigurationInForce",
    "Model",
    "NoChange",
    "NoSnapshot",
    "Organisation",
    "Outage",
    "PollOutcome",
    "Product",
    "Readiness",
    "RequestClassSpec",
    "Rollout",
    "RolloutState",
    "Service",
    "Situation",
    "Snapshot",
    "SnapshotError",
    "StoreConfirmation",
    "Version",
    "VersionState",
    "accept_first_configuration",
    "decode_change",
    "digest_of",
    "encode_change",
    "make_snapshot",
    "poll_interval",
    "readiness_in",
]
