"""Both example deployments on embedded stand-ins, in one process on one loop."""

from fuchsiaroute.demo._report import DeploymentReport, format_report
from fuchsiaroute.demo._run import run_deployment

__all__ = ["DeploymentReport", "format_report", "run_deployment"]
