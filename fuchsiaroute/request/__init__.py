"""Authenticated requests, and the routing decisions on them."""

from fuchsiaroute.request._decision import Candidate, Decision, Exclusion
from fuchsiaroute.request._request import (
    AnyModel,
    ModelChoice,
    NoSession,
    Request,
    SessionChoice,
)

__all__ = [
    "AnyModel",
    "Candidate",
    "Decision",
    "Exclusion",
    "ModelChoice",
    "NoSession",
    "Request",
    "SessionChoice",
]
