"""Digests of API keys; a configuration never contains the keys themselves."""

import hashlib

DIGEST_BYTES = 32


def key_digest(key: str) -> str:
    """Return the BLAKE2b-256 digest of an API key in hexadecimal."""
    return hashlib.blake2b(key.encode(), digest_size=DIGEST_BYTES).hexdigest()
