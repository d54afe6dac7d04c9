"""Decoders whose errors on malformed data are all of one type."""

from typing import Annotated, Protocol, TypeVar

import msgspec

MAX_PORT = 65_535
#: Digits of the longest number that is read: it fits into 64 bits. ``int`` raises an
#: error for numbers of more than 4,300 digits.
MAX_DIGITS = 18
_MAX_INT64 = 2**63 - 1
#: Limit of a number with a fraction. Sums and products of a few such numbers are finite
#: and can be rounded to an integer.
_MAX_NUMBER = 1e15

#: An integer that every encoder can write again.
Int64 = Annotated[int, msgspec.Meta(ge=-_MAX_INT64, le=_MAX_INT64)]
#: A number with a fraction that arithmetic cannot turn into an infinite one.
Number = Annotated[float, msgspec.Meta(ge=-_MAX_NUMBER, le=_MAX_NUMBER)]
#: A port; 0 stands for none.
Port = Annotated[int, msgspec.Meta(ge=0, le=MAX_PORT)]

#: What msgspec's decoders raise: ``RecursionError`` for nested data, also in a field
#: that they skip, and ``ValueError`` for some numbers and texts.
DECODER_ERRORS = (msgspec.MsgspecError, ValueError, RecursionError)

_T = TypeVar("_T", covariant=True)


class MalformedDataError(ValueError):
    """Data that cannot be decoded; the message states the fault."""


class _Decoder(Protocol[_T]):
    def decode(self, data: bytes, /) -> _T:
        """Decode ``data``."""


def decode(decoder: _Decoder[_T], data: bytes) -> _T:
    """Decode ``data`` by a msgspec decoder; raises ``MalformedDataError``."""
    try:
        return decoder.decode(data)
    except DECODER_ERRORS as error:
        raise MalformedDataError(str(error)) from error


def parse_digits(text: str | bytes) -> int | None:
    """
    Return the number in ASCII digits; None for anything else.

    ``str.isdigit`` is also true of digits that ``int`` rejects, such as "²".
    """
    is_number = text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS
    return int(text) if is_number else None
