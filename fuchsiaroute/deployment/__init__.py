"""Model of a deployment's declaration, its endpoints and its roll-out orders."""

from fuchsiaroute.deployment._endpoint import Endpoint
from fuchsiaroute.deployment._model import (
    Deployment,
    EngineModel,
    EngineProfile,
    Limits,
    Organisation,
    RequestKind,
    Route,
    Service,
    ServiceShare,
)
from fuchsiaroute.deployment._orders import RolloutOrder

__all__ = [
    "Deployment",
    "Endpoint",
    "EngineProfile",
    "Limits",
    "Organisation",
    "RequestKind",
    "RolloutOrder",
    "Route",
    "Service",
    "ServiceShare",
    "EngineModel",
]
