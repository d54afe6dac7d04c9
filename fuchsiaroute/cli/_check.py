"""Command that checks settings files and declarations."""

from pathlib import Path

from returns.result import Failure, Result, Success

from fuchsiaroute.cli._exit import ExitCode
from fuchsiaroute.cli._files import read_declaration
from fuchsiaroute.cli._output import print_error, print_errors, print_json
from fuchsiaroute.cli._plan import print_differences
from fuchsiaroute.declaration import Fault, difference, find_ineffective, validate
from fuchsiaroute.settings import SettingsFault, load

SETTINGS_SUFFIX = ".ini"

AnyFault = Fault | SettingsFault


def check(path: Path, *, against: Path | None = None, json: bool = False) -> ExitCode:
    """
    Check a settings file or a declaration and report where each fault is.

    Entries of a declaration that can never match, and limits that contradict each
    other, are reported as warnings. Nothing is sent.

    Parameters
    ----------
    path
        A settings file with a name that ends in ".ini", or the JSON of a declaration;
        "-" reads a declaration from the standard input.
    against
        Another declaration; what differs from it is shown too. To compare with the
        configuration in force, use the command plan.
    json
        Print the faults as JSON.

    """
    result = (
        _check_settings(path)
        if path.suffix == SETTINGS_SUFFIX
        else _check_declaration(path)
    )
    match result:
        case Success(warnings):
            code = _report(path, warnings, ExitCode.OK, json=json)
            return code if against is None else _compare(path, against, json=json)
        case Failure(faults):
            return _report(path, faults, ExitCode.FAULTY_INPUT, json=json)
    raise AssertionError("a Result is a Success or a Failure")


def _check_settings(path: Path) -> Result[tuple[AnyFault, ...], tuple[AnyFault, ...]]:
    match load(path):
        case Success(_):
            return Success(())
        case Failure(faults):
            return Failure(faults)
    raise AssertionError("a Result is a Success or a Failure")


def _check_declaration(
    path: Path,
) -> Result[tuple[AnyFault, ...], tuple[AnyFault, ...]]:
    match read_declaration(path):
        case Success(configuration):
            return Success((*validate(configuration), *find_ineffective(configuration)))
        case Failure(faults):
            return Failure(faults)
    raise AssertionError("a Result is a Success or a Failure")


def _compare(path: Path, against: Path, *, json: bool) -> ExitCode:
    """Show what differs between two declarations, the first of which is valid."""
    match read_declaration(against), read_declaration(path):
        case Success(before), Success(after):
            print_differences(difference(before, after), f"from {against}", json=json)
            return ExitCode.OK
        case Failure(faults), _:
            print_errors(f"{against}: {fault}" for fault in faults)
            return ExitCode.FAULTY_INPUT
    raise AssertionError("the declaration that was checked can be read")


def _report(
    path: Path, faults: tuple[AnyFault, ...], code: ExitCode, *, json: bool
) -> ExitCode:
    if json:
        print_json(faults)
    else:
        print_errors(f"{path}: {fault}" for fault in faults)
        if code is ExitCode.OK:
            print(f"{path}: no errors")
        else:
            print_error(f"{path}: {len(faults)} faults")
    return code
