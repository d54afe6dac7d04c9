"""Commands and their arguments."""

import sys

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


def main() -> None:
    """Run the command named on the command line."""
    app()
