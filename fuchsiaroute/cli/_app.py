"""Commands and their arguments."""

import sys
from pathlib import Path

from cyclopts import App

import fuchsiaroute

app = App(name="fuchsiaroute", version=fuchsiaroute.__version__)


@app.command
def version() -> None:
    """Print the version of the program."""
    print(fuchsiaroute.__version__)


@app.command
def demo() -> None:
    """Serve both example deployments on embedded stand-ins and print the totals."""
    # Imported here because the other commands need neither servers nor examples.
    from fuchsiaroute.cli._demo import run_demo

    sys.exit(0 if run_demo() else 1)


@app.command
def serve(settings: Path) -> None:
    """Serve callers as one entry, with the settings in an INI file."""
    from fuchsiaroute.cli._serve import run_entry

    run_entry(settings)


standin = App(name="standin", help="Stand-ins for systems outside the router.")
app.command(standin)


@standin.command
def platform(*, host: str = "127.0.0.1", port: int = 9000) -> None:
    """Serve a stand-in for the platform's services, in memory."""
    from fuchsiaroute.cli._serve import run_stand_in_platform

    run_stand_in_platform(host=host, port=port)


@standin.command
def endpoint(
    *,
    host: str = "127.0.0.1",
    port: int = 9101,
    first_token: int = 20,
    between_tokens: int = 2,
) -> None:
    """Serve a stand-in for a model engine or a plain service; times in ms."""
    from fuchsiaroute.cli._serve import run_stand_in_endpoint

    run_stand_in_endpoint(
        host=host,
        port=port,
        first_token=first_token,
        between_tokens=between_tokens,
    )


def main() -> None:
    """Run the command named on the command line."""
    app()
