"""The process of one instance: its components, startup and shutdown."""

from fuchsiaroute.node._run import run_node

__all__ = ["run_node"]
