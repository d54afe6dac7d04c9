"""Validation of a whole configuration."""

from collections.abc import Callable, Iterator

from fuchsiaroute.configuration import Configuration
from fuchsiaroute.declaration._endpoint_rules import check_endpoints
from fuchsiaroute.declaration._faults import Fault
from fuchsiaroute.declaration._identity_rules import check_identities
from fuchsiaroute.declaration._range_rules import check_ranges
from fuchsiaroute.declaration._reference_rules import check_references
from fuchsiaroute.declaration._rollout_rules import check_rollouts
from fuchsiaroute.declaration._service_rules import check_service_levels

RULES: tuple[Callable[[Configuration], Iterator[Fault]], ...] = (
    check_identities,
    check_references,
    check_ranges,
    check_endpoints,
    check_rollouts,
    check_service_levels,
)


def validate(configuration: Configuration) -> tuple[Fault, ...]:
    """Return every fault of ``configuration``, errors and warnings."""
    return tuple(fault for rule in RULES for fault in rule(configuration))
