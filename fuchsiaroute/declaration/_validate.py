"""Validation of a configuration by all rules."""

from collections.abc import Callable, Iterator

from fuchsiaroute.configuration import Configuration
from fuchsiaroute.declaration._availability_rules import check_availability
from fuchsiaroute.declaration._endpoint_rules import check_endpoints
from fuchsiaroute.declaration._faults import Fault
from fuchsiaroute.declaration._identity_rules import check_identities
from fuchsiaroute.declaration._range_rules import check_ranges
from fuchsiaroute.declaration._reference_rules import check_references
from fuchsiaroute.declaration._rollout_rules import check_rollouts

_RULES: tuple[Callable[[Configuration], Iterator[Fault]], ...] = (
    check_identities,
    check_references,
    check_ranges,
    check_endpoints,
    check_rollouts,
    check_availability,
)


def validate(configuration: Configuration) -> tuple[Fault, ...]:
    """Return the errors and warnings of ``configuration``."""
    return tuple(fault for rule in _RULES for fault in rule(configuration))
