"""The request path of an entry, from a caller to an endpoint and back."""

from fuchsiaroute.entry._admit import GatedAdmitStep
from fuchsiaroute.entry._attempt import BalancedAttemptStep, DispatchCheck
from fuchsiaroute.entry._background import BackgroundTasks, ConfigurationPoll
from fuchsiaroute.entry._bill import LedgerBillStep
from fuchsiaroute.entry._call import (
    Answer,
    AttemptRecord,
    Bill,
    Call,
    ModelTarget,
    NoVersion,
    ServiceTarget,
)
from fuchsiaroute.entry._claim import ClaimTableStep
from fuchsiaroute.entry._current import NO_REVISION, CurrentConfiguration
from fuchsiaroute.entry._endpoint_maintenance import (
    EndpointMaintenance,
    EntriesListener,
)
from fuchsiaroute.entry._metered_bill import MeteredBillStep
from fuchsiaroute.entry._observed import (
    CallHandler,
    ObservedBillStep,
    ObservedPipeline,
)
from fuchsiaroute.entry._pipeline import Pipeline
from fuchsiaroute.entry._rating_poll import RatingPoll, RolloutPauser
from fuchsiaroute.entry._rollout_pauser import StoredRolloutPauser
from fuchsiaroute.entry._route import VersionRouteStep
from fuchsiaroute.entry._status_poll import StatusPoll
from fuchsiaroute.entry._steps import (
    AdmitStep,
    Attempt,
    AttemptStep,
    BillStep,
    ClaimStep,
    RouteStep,
    RoutingResult,
    Steps,
)

__all__ = [
    "NO_REVISION",
    "AdmitStep",
    "Answer",
    "Attempt",
    "AttemptRecord",
    "AttemptStep",
    "BackgroundTasks",
    "BalancedAttemptStep",
    "Bill",
    "BillStep",
    "Call",
    "CallHandler",
    "ClaimStep",
    "ClaimTableStep",
    "ConfigurationPoll",
    "CurrentConfiguration",
    "DispatchCheck",
    "EndpointMaintenance",
    "EntriesListener",
    "GatedAdmitStep",
    "LedgerBillStep",
    "MeteredBillStep",
    "ModelTarget",
    "NoVersion",
    "ObservedBillStep",
    "ObservedPipeline",
    "Pipeline",
    "RatingPoll",
    "RolloutPauser",
    "RouteStep",
    "RoutingResult",
    "ServiceTarget",
    "StatusPoll",
    "Steps",
    "StoredRolloutPauser",
    "VersionRouteStep",
]
