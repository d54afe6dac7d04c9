"""Commands and their arguments."""

from cyclopts import App

import fuchsiaroute

app = App(name="fuchsiaroute", version=fuchsiaroute.__version__)


@app.command
def version() -> None:
    """Print the version of the program."""
    print(fuchsiaroute.__version__)


def main() -> None:
    """Run the command named on the command line."""
    app()
