"""Fixtures for all tests."""

import asyncio
from collections.abc import Iterator
from typing import Any

import eliot
import pytest


@pytest.fixture(scope="session", autouse=True)
def discard_log_lines() -> Iterator[None]:
    """Keep eliot from buffering lines and writing them to the first log opened."""

    def discard(line: dict[str, Any]) -> None:
        pass

    eliot.add_destinations(discard)
    yield
    eliot.remove_destination(discard)


@pytest.fixture(scope="session", autouse=True)
def ignore_writers_of_closed_loops() -> Iterator[None]:
    """
    Keep the finalizer of a stream writer from raising once its loop is closed.

    Python 3.11 reports that error while it formats a traceback, and formatting parses
    source lines. If the collector runs inside another parse, such as hypothesis's, that
    one ends with a SystemError; later versions of Python check the loop as well.
    """
    finalize = asyncio.StreamWriter.__del__

    def finalize_if_open(writer: asyncio.StreamWriter) -> None:
        if not writer._loop.is_closed():  # type: ignore[attr-defined]
            finalize(writer)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(asyncio.StreamWriter, "__del__", finalize_if_open)
        yield
