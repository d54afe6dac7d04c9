"""
Registers the commands.

The module of a command is imported only when the command runs, which keeps the
memory of a serving process low.
"""

import os
import sys

from cyclopts import App, CycloptsError

import fuchsiaroute
from fuchsiaroute.cli._exit import ExitCode
from fuchsiaroute.cli._import_stubs import leave_out_unused_imports

_EPILOGUE = """
Exit codes: 0 done, valid or permitted; 1 refused or no answer; 2 faulty arguments,
settings or declaration; 3 a change may be in force (repeat it with its change id).
"""

app = App(
    name="fuchsiaroute",
    help="Model-aware router for versions and cascades.",
    help_epilogue=_EPILOGUE,
    version=fuchsiaroute.__version__,
)
outage = App(name="outage", help="Take a failure domain out of service and return it.")
rollout = App(name="rollout", help="Move a model to another version in stages.")
standin = App(name="standin", help="Stand-ins for systems that the router depends on.")

_COMMANDS = (
    (app, "serve", "_serve:serve", "Serve callers as one entry."),
    (app, "node", "_node:node", "Serve callers on the users' platform."),
    (app, "check-node", "_node:check_node", "Check a settings file of the platform."),
    (app, "demo", "_demo:demo", "Serve both example deployments on stand-ins."),
    (app, "check", "_check:check", "Check a settings file or a declaration."),
    (app, "plan", "_apply:plan", "Compare a declaration with what is in force."),
    (app, "apply", "_apply:apply", "Put a declaration in force."),
    (app, "status", "_status:status", "Show entries and what is in force on them."),
    (app, "explain", "_explain:explain", "Show how a request would be routed."),
    (app, "withdraw", "_edits:withdraw", "Stop routing requests to a version."),
    (app, "reinstate", "_edits:reinstate", "Route requests to a version again."),
    (outage, "begin", "_edits:outage_begin", "Take a failure domain out of service."),
    (outage, "end", "_edits:outage_end", "Return a failure domain to service."),
    (rollout, "start", "_edits:rollout_start", "Start a roll-out."),
    (rollout, "advance", "_edits:rollout_advance", "Advance to the next stage."),
    (rollout, "pause", "_edits:rollout_pause", "Assign no new sessions to the target."),
    (rollout, "resume", "_edits:rollout_resume", "Continue after a pause."),
    (
        rollout,
        "abort",
        "_edits:rollout_abort",
        "Stop all requests to the target for good.",
    ),
    (standin, "platform", "_serve:platform", "Stand in for the platform."),
    (standin, "endpoint", "_serve:endpoint", "Stand in for an endpoint."),
)

for _group in (outage, rollout, standin):
    app.command(_group)
for _app, _name, _target, _help in _COMMANDS:
    _app.command(f"fuchsiaroute.cli.{_target}", name=_name, help=_help)


@app.command
def version() -> None:
    """Print the version of the program."""
    print(fuchsiaroute.__version__)


def main() -> None:
    """Run the command named on the command line and exit with its code."""
    leave_out_unused_imports()
    try:
        code = app(sys.argv[1:], exit_on_error=False, result_action="return_value")
        sys.stdout.flush()
    except CycloptsError:
        sys.exit(ExitCode.FAULTY_INPUT)
    except BrokenPipeError:
        # The reader of the output, such as head, has closed the pipe. Replacing the
        # descriptor keeps the interpreter's flush at exit from failing again.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        sys.exit(ExitCode.OK)
    sys.exit(code or ExitCode.OK)
