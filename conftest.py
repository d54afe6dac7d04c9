"""Fixtures for all tests."""

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
