"""An entry: the path of requests from callers to endpoints."""

from fuchsiaroute.entry._admit import InFlightLimit
from fuchsiaroute.entry._attempt import LeastInFlightAttempt
from fuchsiaroute.entry._background import ConfigurationPoll
from fuchsiaroute.entry._bill import StoredLedger
from fuchsiaroute.entry._call import (
    Answer,
    AttemptRecord,
    Bill,
    Call,
    ModelTarget,
    NoVersion,
    ServiceTarget,
)
from fuchsiaroute.entry._claim import StoredClaims
from fuchsiaroute.entry._current import NO_REVISION, CurrentConfiguration
from fuchsiaroute.entry._pipeline import Pipeline
from fuchsiaroute.entry._route import DeclaredQualityRoute
from fuchsiaroute.entry._steps import (
    AdmitStep,
    Attempt,
    AttemptStep,
    BillStep,
    ClaimStep,
    Routed,
    RouteStep,
    Steps,
)

__all__ = [
    "NO_REVISION",
    "AdmitStep",
    "Answer",
    "Attempt",
    "AttemptRecord",
    "AttemptStep",
    "Bill",
    "BillStep",
    "Call",
    "ClaimStep",
    "ConfigurationPoll",
    "CurrentConfiguration",
    "DeclaredQualityRoute",
    "InFlightLimit",
    "LeastInFlightAttempt",
    "ModelTarget",
    "NoVersion",
    "Pipeline",
    "RouteStep",
    "Routed",
    "ServiceTarget",
    "Steps",
    "StoredClaims",
    "StoredLedger",
]
