"""Decoding of data that other programs write."""

from fuchsiaroute.decoding._decode import (
    DECODER_ERRORS,
    Int64,
    MalformedDataError,
    Number,
    Port,
    decode,
    parse_digits,
)

__all__ = [
    "DECODER_ERRORS",
    "Int64",
    "MalformedDataError",
    "Number",
    "Port",
    "decode",
    "parse_digits",
]
