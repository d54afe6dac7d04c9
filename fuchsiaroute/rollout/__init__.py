"""Roll-outs: sticky assignment by a stable hash, and the state transitions."""

from fuchsiaroute.hashing import UnitKey, unit_fraction
from fuchsiaroute.rollout._assignment import is_assigned_to_target, unit_key
from fuchsiaroute.rollout._transitions import (
    RolloutAction,
    RolloutError,
    RolloutErrorKind,
    apply_action,
)

__all__ = [
    "RolloutAction",
    "RolloutError",
    "RolloutErrorKind",
    "UnitKey",
    "apply_action",
    "is_assigned_to_target",
    "unit_fraction",
    "unit_key",
]
