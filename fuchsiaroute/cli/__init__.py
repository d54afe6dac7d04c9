"""The command line."""

from fuchsiaroute.cli._app import main

__all__ = ["main"]
