"""Commands that compare a declaration with the configuration and apply it."""

from pathlib import Path

from returns.result import Failure, Success

from fuchsiaroute.cli._connection import (
    EntryOptions,
    report_client_error,
    run_with_client,
)
from fuchsiaroute.cli._editing import new_change_id, report_change
from fuchsiaroute.cli._exit import ExitCode
from fuchsiaroute.cli._files import read_declaration
from fuchsiaroute.cli._output import print_errors
from fuchsiaroute.cli._plan import print_differences
from fuchsiaroute.configuration import Configuration
from fuchsiaroute.declaration import difference, validate
from fuchsiaroute.ids import ChangeId, Revision
from fuchsiaroute.operators import ConfigurationReply, OperatorClient, SubmittedChange


def plan(declaration: Path, *, options: EntryOptions, json: bool = False) -> ExitCode:
    """
    Show how a declaration differs from the configuration in force.

    Parameters
    ----------
    declaration
        JSON of a declaration; "-" for the standard input.
    json
        Print the differences as JSON.

    """

    async def command(client: OperatorClient, declared: Configuration) -> ExitCode:
        match await client.in_force():
            case Failure(error):
                return report_client_error(error)
            case Success(current):
                _print_plan(current, declared, json=json)
                return ExitCode.OK
        raise AssertionError("a Result is a Success or a Failure")

    match read_declaration(declaration):
        case Failure(faults):
            print_errors(faults)
            return ExitCode.FAULTY_INPUT
        case Success(declared):
            return run_with_client(options, lambda client: command(client, declared))
    raise AssertionError("a Result is a Success or a Failure")


def apply(
    declaration: Path,
    *,
    options: EntryOptions,
    summary: str = "apply",
    change_id: str = "",
    base: int = -1,
    json: bool = False,
) -> ExitCode:
    """
    Put a declaration in force.

    Parameters
    ----------
    declaration
        JSON of a declaration; "-" for the standard input.
    summary
        Description of the change for other operators.
    change_id
        Id of an earlier attempt whose outcome is unknown; needs its --base as well.
    base
        Revision that the declaration is based on; by default the one in force.
    json
        Print the outcome as JSON.

    """

    async def command(client: OperatorClient, declared: Configuration) -> ExitCode:
        revision = Revision(base)
        if base < 0:
            match await client.in_force():
                case Failure(error):
                    return report_client_error(error)
                case Success(current):
                    revision = current.revision
                    if not json:
                        _print_plan(current, declared, json=False)
        change = SubmittedChange(
            change=ChangeId(change_id) if change_id else new_change_id(),
            base=revision,
            summary=summary,
            configuration=declared,
        )
        result = await client.submit(change)
        return report_change(result, change.change, json=json)

    match read_declaration(declaration):
        case Failure(faults):
            print_errors(faults)
            return ExitCode.FAULTY_INPUT
        case Success(declared):
            print_errors(validate(declared))
            return run_with_client(options, lambda client: command(client, declared))
    raise AssertionError("a Result is a Success or a Failure")


def _print_plan(
    current: ConfigurationReply, declared: Configuration, *, json: bool
) -> None:
    differences = difference(current.configuration, declared)
    print_differences(
        differences, f"revision {current.revision} is in force", json=json
    )
