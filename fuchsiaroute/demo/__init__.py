"""Runs an example deployment with embedded stand-ins in one event loop."""

from fuchsiaroute.demo._report import DeploymentReport, format_report
from fuchsiaroute.demo._run import run_deployment

__all__ = ["DeploymentReport", "format_report", "run_deployment"]
