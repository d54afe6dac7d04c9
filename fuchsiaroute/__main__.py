"""Entry point of ``python -m fuchsiaroute``."""

import _signal  # type: ignore[import-not-found]
import sys

#: Command that starts an instance on the users' platform.
NODE_COMMAND = "node"


def main() -> None:
    """Start an instance directly, or run the command line."""
    if sys.argv[1:2] == [NODE_COMMAND]:
        # The default action of SIGHUP ends the process; the node handles it later. The
        # public signal module takes longer to import than the rest of this one.
        _signal.signal(_signal.SIGHUP, _signal.SIG_IGN)
        # The libraries of the command line would add to the memory and the start-up
        # time of an instance.
        from fuchsiaroute._tls_import import block_tls_import

        block_tls_import()
        from fuchsiaroute.node import run_node
        from fuchsiaroute.platform import NodeSettingsError

        try:
            run_node(*sys.argv[2:3])
        except (NodeSettingsError, OSError) as error:
            sys.exit(f"fuchsiaroute: {error}")
        return
    from fuchsiaroute.cli import main as run_command_line

    run_command_line()


if __name__ == "__main__":
    main()
