"""The long-running commands: an entry, and the stand-ins around it."""

import asyncio
import sys
from pathlib import Path

from returns.result import Failure, Success

from fuchsiaroute.clock import Milliseconds, SystemClock
from fuchsiaroute.serving import HttpServer, serve
from fuchsiaroute.settings import load

EXIT_SETTINGS = 2


def run_entry(path: Path) -> None:
    """Serve with the settings in ``path``; exit with 2 if they have faults."""
    match load(path):
        case Success(settings):
            asyncio.run(serve(settings))
        case Failure(faults):
            for fault in faults:
                print(fault, file=sys.stderr)
            sys.exit(EXIT_SETTINGS)


def run_stand_in_platform(*, host: str, port: int) -> None:
    """Serve the stand-in for the platform's services."""
    from fuchsiaroute.standin import build_platform_app

    asyncio.run(_serve_app(build_platform_app(), host=host, port=port))


def run_stand_in_endpoint(
    *, host: str, port: int, first_token: int, between_tokens: int
) -> None:
    """Serve the stand-in for a model engine or a plain service."""
    from fuchsiaroute.standin import EngineBehaviour, StandInEndpoint

    behaviour = EngineBehaviour(
        first_token=Milliseconds(first_token),
        between_tokens=Milliseconds(between_tokens),
    )
    endpoint = StandInEndpoint(clock=SystemClock(), behaviour=behaviour)
    asyncio.run(_serve_app(endpoint.build_app(), host=host, port=port))


async def _serve_app(app: object, *, host: str, port: int) -> None:
    server = HttpServer(app=app, host=host, port=port)  # type: ignore[arg-type]
    await server.start()
    print(server.url, flush=True)
    await asyncio.Event().wait()
