"""Permission and version choice."""

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
from fuchsiaroute.routing._rules import Rule, version_rule
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
    "Rule",
    "VersionChooser",
    "VersionRouter",
    "check_dispatch",
    "expected_cost",
    "make_plan",
    "version_rule",
]
