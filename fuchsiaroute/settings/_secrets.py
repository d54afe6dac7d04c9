"""Reads secrets from the files that the settings name."""

from collections.abc import Iterable
from pathlib import Path

from returns.result import Failure, Result, Success

MIN_SECRET_LENGTH = 16


class SecretError(Exception):
    """A secret file is unusable; the message never contains the secret."""


def read_secret(path: Path) -> Result[str, SecretError]:
    """Return the single word in ``path``, without surrounding white space."""
    try:
        secret = path.read_text(encoding="ascii").strip()
    except (OSError, UnicodeDecodeError) as error:
        return Failure(SecretError(f"{path}: {type(error).__name__}"))
    if len(secret) < MIN_SECRET_LENGTH or len(secret.split()) != 1:
        return Failure(
            SecretError(
                f"{path}: expected one word of at least {MIN_SECRET_LENGTH} characters"
            )
        )
    return Success(secret)


def read_secrets(paths: Iterable[Path]) -> Result[tuple[str, ...], SecretError]:
    """Return the secrets in ``paths`` in their order, or the first error."""
    secrets: list[str] = []
    for path in paths:
        result = read_secret(path)
        if isinstance(result, Failure):
            return result
        secrets.append(result.unwrap())
    return Success(tuple(secrets))
