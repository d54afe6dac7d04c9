"""Decoding of malformed data."""

import msgspec
import pytest

from fuchsiaroute.decoding import MalformedDataError, decode, parse_digits


class _Row(msgspec.Struct):
    count: int = 0
    text: str = ""


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"[]",
        b'{"text": "\xff"}',
        b'{"count": ' + b"9" * 5_000 + b"}",
        b'{"skipped": ' + b"[" * 5_000 + b"]" * 5_000 + b"}",
    ],
)
def test_malformed_data_raises_one_type_of_error(data: bytes) -> None:
    with pytest.raises(MalformedDataError):
        decode(msgspec.json.Decoder(_Row), data)


@pytest.mark.parametrize(
    ("text", "number"),
    [
        ("80", 80),
        (b"0080", 80),
        ("9" * 18, 10**18 - 1),
        ("9" * 19, None),
        (b"9" * 5_000, None),
        ("", None),
        ("-1", None),
        ("+1", None),
        ("1_000", None),
        ("\u00b2", None),
        ("\u0663", None),
    ],
)
def test_digits(text: str | bytes, number: int | None) -> None:
    assert parse_digits(text) == number
