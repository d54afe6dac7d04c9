"""An entry: the path of requests from callers to endpoints."""

from fuchsiaroute.entry._admit import GatedAdmission
from fuchsiaroute.entry._attempt import BalancedAttempt, DispatchCheck
from fuchsiaroute.entry._background import Background, ConfigurationPoll
from fuchsiaroute.entry._bill import LedgerBills
from fuchsiaroute.entry._call import (
    Answer,
    AttemptRecord,
    Bill,
    Call,
    ModelTarget,
    NoVersion,
    ServiceTarget,
)
from fuchsiaroute.entry._claim import BookClaims
from fuchsiaroute.entry._current import NO_REVISION, CurrentConfiguration
from fuchsiaroute.entry._endpoint_upkeep import EndpointUpkeep, EntriesListener
from fuchsiaroute.entry._metered_bill import MeteredBill
from fuchsiaroute.entry._observed import (
    CallHandler,
    ObservedBill,
    ObservedPipeline,
)
from fuchsiaroute.entry._pipeline import Pipeline
from fuchsiaroute.entry._rating_poll import RatingPoll, RolloutPauser
from fuchsiaroute.entry._rollout_pauser import StoredRolloutPauser
from fuchsiaroute.entry._route import VersionRoute
from fuchsiaroute.entry._status_poll import StatusPoll
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
    "BalancedAttempt",
    "DispatchCheck",
    "EndpointUpkeep",
    "EntriesListener",
    "GatedAdmission",
    "NO_REVISION",
    "AdmitStep",
    "Answer",
    "Attempt",
    "AttemptRecord",
    "AttemptStep",
    "Background",
    "Bill",
    "BillStep",
    "BookClaims",
    "Call",
    "CallHandler",
    "ClaimStep",
    "ConfigurationPoll",
    "CurrentConfiguration",
    "LedgerBills",
    "MeteredBill",
    "ModelTarget",
    "NoVersion",
    "ObservedBill",
    "ObservedPipeline",
    "Pipeline",
    "RatingPoll",
    "RolloutPauser",
    "RouteStep",
    "Routed",
    "ServiceTarget",
    "StatusPoll",
    "Steps",
    "StoredRolloutPauser",
    "VersionRoute",
]
