"""Library with which operators declare, validate and edit a configuration."""

from fuchsiaroute.declaration._builder import (
    Deployment,
    call,
    request_class,
    version,
)
from fuchsiaroute.declaration._canonical import decode, encode
from fuchsiaroute.declaration._difference import (
    Difference,
    DifferenceKind,
    difference,
)
from fuchsiaroute.declaration._edits import (
    begin_outage,
    end_outage,
    set_version_state,
    start_rollout,
)
from fuchsiaroute.declaration._exceptions import DeclarationError
from fuchsiaroute.declaration._faults import Fault, Severity, has_errors
from fuchsiaroute.declaration._keys import key_digest
from fuchsiaroute.declaration._reach_rules import find_ineffective
from fuchsiaroute.declaration._structure import parse
from fuchsiaroute.declaration._validate import validate

__all__ = [
    "find_ineffective",
    "DeclarationError",
    "Deployment",
    "Difference",
    "DifferenceKind",
    "Fault",
    "Severity",
    "begin_outage",
    "call",
    "decode",
    "difference",
    "encode",
    "end_outage",
    "has_errors",
    "key_digest",
    "parse",
    "request_class",
    "set_version_state",
    "start_rollout",
    "validate",
    "version",
]
