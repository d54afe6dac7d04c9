"""Configures the output of eliot and of libraries that use ``logging``."""

import io
import logging
import os
import sys
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from typing import IO

import eliot
from eliot.stdlib import EliotHandler

from fuchsiaroute.logs._events import LinesLeftOut
from fuchsiaroute.logs._output import LogOutput
from fuchsiaroute.logs._write import log_event
from fuchsiaroute.settings import LogTarget, StandardError

#: Loggers that write a line with the URL of each request at level INFO.
LOGGERS_LIMITED_TO_WARNINGS = ("httpx", "httpcore", "hpack", "uvicorn.access")


@contextmanager
def open_log(target: LogTarget) -> Iterator[None]:
    """
    Write events to ``target`` while the context is open.

    Warnings that libraries write through ``logging`` go there as well. A file is
    opened for appending. Raises ``OSError`` if it cannot be opened, but not if a write
    fails later.
    """
    for name in LOGGERS_LIMITED_TO_WARNINGS:
        logging.getLogger(name).setLevel(logging.WARNING)
    with ExitStack() as stack:
        output = stack.enter_context(_open_output(target))
        stack.enter_context(_destination(output))
        stack.enter_context(_library_warnings())
        yield


@contextmanager
def _open_output(target: LogTarget) -> Iterator[LogOutput | IO[str]]:
    if target is StandardError.TOKEN:
        try:
            descriptor = sys.stderr.fileno()
        except io.UnsupportedOperation:
            # Replaced by an object in memory, to which writing cannot block.
            yield sys.stderr
            return
        was_blocking = os.get_blocking(descriptor)
        os.set_blocking(descriptor, False)
        try:
            yield LogOutput(descriptor, on_recovered=_report_dropped_lines)
        finally:
            os.set_blocking(descriptor, was_blocking)
    else:
        with target.open("ab", buffering=0) as file:
            os.set_blocking(file.fileno(), False)
            yield LogOutput(file.fileno(), on_recovered=_report_dropped_lines)


def _report_dropped_lines(lines: int, reason: str) -> None:
    log_event(LinesLeftOut(lines=lines, reason=reason))


@contextmanager
def _destination(output: LogOutput | IO[str]) -> Iterator[None]:
    destination = eliot.FileDestination(file=output)
    eliot.add_destinations(destination)
    try:
        yield
    finally:
        if isinstance(output, LogOutput):
            output.finish()
        eliot.remove_destination(destination)


@contextmanager
def _library_warnings() -> Iterator[None]:
    handler = EliotHandler(level=logging.WARNING)
    root = logging.getLogger()
    root.addHandler(handler)
    try:
        yield
    finally:
        root.removeHandler(handler)
