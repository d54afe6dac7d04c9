"""Command that checks settings files and declarations."""

from pathlib import Path

from returns.result import Failure, Result, Success

from fuchsiaroute.cli._exit import ExitCode
from fuchsiaroute.cli._files import read_declaration
from fuchsiaroute.cli._output import print_error, print_errors, print_json
from fuchsiaroute.declaration import Fault, validate
from fuchsiaroute.settings import SettingsFault, load

SETTINGS_SUFFIX = ".ini"

AnyFault = Fault | SettingsFault


def check(path: Path, *, json: bool = False) -> ExitCode:
    """
    Check a settings file or a declaration and report where each fault is.

    Parameters
    ----------
    path
        A settings file with a name that ends in ".ini", or the JSON of a declaration;
        "-" reads a declaration from the standard input.
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
            return _report(path, warnings, ExitCode.OK, json=json)
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
            return Success(validate(configuration))
        case Failure(faults):
            return Failure(faults)
    raise AssertionError("a Result is a Success or a Failure")


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
