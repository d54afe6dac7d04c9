"""Entry point of ``python -m fuchsiaroute``."""

import signal
import sys

#: The command that starts an instance on the users' platform.
NODE_COMMAND = "node"


def main() -> None:
    """Start an instance, or hand over to the command line."""
    if sys.argv[1:2] == [NODE_COMMAND]:
        # An instance pays for its memory and its start, so it does without the
        # libraries of the command line.
        from fuchsiaroute._tls_import import block_tls_import

        block_tls_import()
        # Until the program handles it, the signal would end the process.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
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
