"""Output of commands: text for people, one JSON value for scripts."""

import sys
from collections.abc import Iterable, Sequence

import msgspec


def print_json(value: object) -> None:
    """Print ``value`` as indented JSON on the standard output."""
    encoded = msgspec.json.format(msgspec.json.encode(value), indent=2)
    print(encoded.decode())


def print_error(message: object) -> None:
    """Print ``message`` on the standard error stream."""
    print(f"fuchsiaroute: {message}", file=sys.stderr)


def print_errors(messages: Iterable[object]) -> None:
    """Print each message on a line of its own on the standard error stream."""
    for message in messages:
        print_error(message)


def print_table(head: Sequence[str], rows: Iterable[Sequence[object]]) -> None:
    """Print ``rows`` under ``head`` in aligned columns."""
    lines = [tuple(head), *(tuple(str(cell) for cell in row) for row in rows)]
    widths = [max(len(line[column]) for line in lines) for column in range(len(head))]
    for line in lines:
        cells = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        print("  ".join(cells).rstrip())
