"""Configures the output of eliot and of libraries that use ``logging``."""

import logging
import sys
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from typing import IO

import eliot
from eliot.stdlib import EliotHandler

from fuchsiaroute.settings import LogTarget, StandardError

#: Loggers that write a line with the URL of each request at level INFO.
LOGGERS_LIMITED_TO_WARNINGS = ("httpx", "httpcore", "hpack", "uvicorn.access")


@contextmanager
def open_log(target: LogTarget) -> Iterator[None]:
    """
    Write events to ``target`` while the context is open.

    Warnings that libraries write through ``logging`` go there as well. A file is
    opened for appending and line-buffered. Raises ``OSError`` if it cannot be opened.
    """
    for name in LOGGERS_LIMITED_TO_WARNINGS:
        logging.getLogger(name).setLevel(logging.WARNING)
    with ExitStack() as stack:
        stream = sys.stderr
        if target is not StandardError.TOKEN:
            file = target.open("a", encoding="utf-8", buffering=1)
            stream = stack.enter_context(file)
        stack.enter_context(_destination(stream))
        stack.enter_context(_library_warnings())
        yield


@contextmanager
def _destination(stream: IO[str]) -> Iterator[None]:
    destination = eliot.FileDestination(file=stream)
    eliot.add_destinations(destination)
    try:
        yield
    finally:
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
