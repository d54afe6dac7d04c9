"""Long-running commands: an entry, and stand-ins for what it depends on."""

import asyncio
from pathlib import Path

from returns.result import Failure, Success

from fuchsiaroute.cli._exit import ExitCode
from fuchsiaroute.cli._output import print_error, print_errors
from fuchsiaroute.clock import Milliseconds, SystemClock
from fuchsiaroute.serving import HttpServer, serve as serve_entry
from fuchsiaroute.settings import SecretError, load


def serve(settings: Path) -> ExitCode:
    """
    Serve callers as one entry until SIGTERM or SIGINT.

    Parameters
    ----------
    settings
        INI file with the entry's settings.

    """
    match load(settings):
        case Failure(faults):
            print_errors(f"{settings}: {fault}" for fault in faults)
            return ExitCode.FAULTY_INPUT
        case Success(loaded):
            try:
                asyncio.run(serve_entry(loaded))
            except SecretError as error:
                print_error(error)
                return ExitCode.FAULTY_INPUT
            except OSError as error:
                # For example, an address is in use or the log file cannot be opened.
                print_error(error)
                return ExitCode.REFUSED
    return ExitCode.OK


def platform(*, host: str = "127.0.0.1", port: int = 9000) -> None:
    """Serve a stand-in for the platform's services, in memory."""
    from fuchsiaroute.standin import build_platform_app

    asyncio.run(_serve_app(build_platform_app(), host=host, port=port))


def endpoint(
    *,
    host: str = "127.0.0.1",
    port: int = 9101,
    first_token: int = 20,
    between_tokens: int = 2,
) -> None:
    """Serve a stand-in for a model engine or a plain service; times in ms."""
    from fuchsiaroute.standin import EngineBehaviour, StandInEndpoint

    behaviour = EngineBehaviour(
        time_to_first_token=Milliseconds(first_token),
        time_between_tokens=Milliseconds(between_tokens),
    )
    standin = StandInEndpoint(clock=SystemClock(), behaviour=behaviour)
    asyncio.run(_serve_app(standin.build_app(), host=host, port=port))


async def _serve_app(app: object, *, host: str, port: int) -> None:
    server = HttpServer(app=app, host=host, port=port)  # type: ignore[arg-type]
    await server.start()
    print(server.url, flush=True)
    await asyncio.Event().wait()
