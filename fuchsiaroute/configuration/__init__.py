"""Typed configuration model, its acceptance in the store and its distribution."""

from fuchsiaroute.configuration._change import (
    NO_REVISION,
    Accepted,
    AcceptedChange,
    ChangeError,
    ChangeErrorKind,
    NoChange,
    body_digest,
    decode_change,
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
    MAX_CONFIRMATION_AGE,
    MAX_CONFIRMATION_AGE_IN_OUTAGE,
    Readiness,
    ReadinessInputs,
    evaluate_readiness,
)
from fuchsiaroute.configuration._snapshot import (
    Snapshot,
    SnapshotError,
    make_snapshot,
)

__all__ = [
    "MAX_CONFIRMATION_AGE",
    "MAX_CONFIRMATION_AGE_IN_OUTAGE",
    "NO_REVISION",
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
    "ReadinessInputs",
    "Snapshot",
    "SnapshotError",
    "StoreConfirmation",
    "Version",
    "VersionState",
    "accept_first_configuration",
    "decode_change",
    "body_digest",
    "encode_change",
    "make_snapshot",
    "poll_interval",
    "evaluate_readiness",
]
