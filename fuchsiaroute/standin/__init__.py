"""Stand-ins for the systems around the router: engines, services, platform."""

from fuchsiaroute.standin._engine import EngineBehaviour, StandInEndpoint

__all__ = ["EngineBehaviour", "StandInEndpoint"]
