"""The configuration that is in force, as typed values."""

from fuchsiaroute.configuration._model import (
    Configuration,
    ConfiguredCall,
    Endpoint,
    FailureDomain,
    Model,
    Organisation,
    Outage,
    Product,
    RequestClassSpec,
    Rollout,
    RolloutState,
    Service,
    Version,
    VersionState,
)

__all__ = [
    "Configuration",
    "ConfiguredCall",
    "Endpoint",
    "FailureDomain",
    "Model",
    "Organisation",
    "Outage",
    "Product",
    "RequestClassSpec",
    "Rollout",
    "RolloutState",
    "Service",
    "Version",
    "VersionState",
]
