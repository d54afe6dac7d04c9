"""Stand-ins for systems outside the router, for demonstrations and tests."""

from fuchsiaroute.standin._platform import StandInPlatform, build_platform_app

__all__ = ["StandInPlatform", "build_platform_app"]
