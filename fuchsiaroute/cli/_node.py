"""Commands of an instance on the users' platform."""

from pathlib import Path

from fuchsiaroute.cli._exit import ExitCode
from fuchsiaroute.cli._output import print_error
from fuchsiaroute.platform import NodeSettingsError, load_node_settings


def node(settings: Path | None = None) -> ExitCode:
    """
    Serve callers as one instance until SIGTERM or SIGINT.

    Parameters
    ----------
    settings
        The settings file that the platform writes; by default the one named by the
        environment.

    """
    from fuchsiaroute.node import run_node

    try:
        run_node(str(settings) if settings is not None else None)
    except NodeSettingsError as error:
        print_error(error)
        return ExitCode.FAULTY_INPUT
    except OSError as error:
        # For example, an address is in use.
        print_error(error)
        return ExitCode.REFUSED
    return ExitCode.OK


def check_node(settings: Path) -> ExitCode:
    """
    Check a settings file that the platform writes, and print the main values.

    Parameters
    ----------
    settings
        The file.

    """
    try:
        loaded = load_node_settings(str(settings))
    except NodeSettingsError as error:
        print_error(error)
        return ExitCode.FAULTY_INPUT
    print(f"instance {loaded.instance} in {loaded.failure_domain}")
    print(f"callers {loaded.frontend}, readiness {loaded.readiness}")
    print(f"directory {loaded.directory}, store {loaded.store}")
    return ExitCode.OK
