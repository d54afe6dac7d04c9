"""Authenticates operators by key; the name of the key is the author of changes."""

import hmac
import re
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

from returns.result import Failure, Result, Success

from fuchsiaroute.settings import SecretError, read_secret

_BEARER = re.compile(r"Bearer +([\x21-\x7e]+)", re.ASCII | re.IGNORECASE)


@dataclass(frozen=True, kw_only=True)
class OperatorKey:
    """Key of an operator, or of a program that acts for one."""

    #: Written into the log and into accepted changes.
    name: str
    secret: str = field(repr=False)


def load_keys(paths: Iterable[Path]) -> Result[tuple[OperatorKey, ...], SecretError]:
    """Return a key for each file, named after the file without its suffix."""
    keys: list[OperatorKey] = []
    for path in paths:
        match read_secret(path):
            case Success(secret):
                keys.append(OperatorKey(name=path.stem, secret=secret))
            case Failure(error):
                return Failure(error)
    return Success(tuple(keys))


class OperatorKeys:
    """Keys that the interface accepts; without any, no request is authenticated."""

    def __init__(self, keys: Iterable[OperatorKey]) -> None:
        self._keys = tuple(keys)

    def author(self, raw_headers: Iterable[tuple[bytes, bytes]]) -> str:
        """Return the name of the request's key; empty if no accepted key is given."""
        values = [value for name, value in raw_headers if name == b"authorization"]
        if len(values) != 1:
            return ""
        match = _BEARER.fullmatch(values[0].decode("latin-1"))
        secret = match[1] if match is not None else ""
        names = [
            key.name
            for key in self._keys
            # Compares in constant time, so that timing does not reveal the key.
            if hmac.compare_digest(key.secret.encode(), secret.encode())
        ]
        return names[0] if names else ""
