"""Selects the versions that may serve a request, by permission, quality and cost."""

from fuchsiaroute.routing._chooser import (
    CheapestChooser,
    Option,
    OrderedOptions,
    VersionChooser,
)
from fuchsiaroute.routing._cost import expected_cost
from fuchsiaroute.routing._dispatch_check import check_dispatch
from fuchsiaroute.routing._estimate import (
    Estimate,
    PriorEstimates,
    QualityEstimates,
)
from fuchsiaroute.routing._plan import make_plan
from fuchsiaroute.routing._rules import WorkKind, find_exclusion
from fuchsiaroute.routing._version_router import NO_LIMIT, VersionRouter
from fuchsiaroute.routing._view import ConfigurationView

__all__ = [
    "NO_LIMIT",
    "CheapestChooser",
    "ConfigurationView",
    "Estimate",
    "Option",
    "OrderedOptions",
    "PriorEstimates",
    "QualityEstimates",
    "VersionChooser",
    "VersionRouter",
    "WorkKind",
    "check_dispatch",
    "expected_cost",
    "find_exclusion",
    "make_plan",
]
