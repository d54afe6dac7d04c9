"""Starts an instance from the compiled package that ``deploy/build`` puts here."""

import _signal

# The default action of SIGHUP ends the process; the node handles it later. This comes
# before all imports, which take most of the start-up time, and uses the module that is
# part of the interpreter.
_signal.signal(_signal.SIGHUP, _signal.SIG_IGN)

from fuchsiaroute.__main__ import main  # noqa: E402

if __name__ == "__main__":
    main()
