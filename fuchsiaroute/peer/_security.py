"""Authentication between entries: shared keys, and mutual TLS if configured."""

import ssl
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from pathlib import Path

from itsdangerous import BadData, TimestampSigner

from fuchsiaroute.ids import InstanceId

#: Name of the metadata field that carries the signed instance id.
TOKEN_FIELD = "fuchsiaroute-token"
#: Maximum age of a token; allows for clock skew between entries.
TOKEN_LIFETIME_SECONDS = 120
_SALT = "fuchsiaroute.peer"


class NoTls(Enum):
    """Sentinel: connections between entries are not encrypted."""

    TOKEN = "no-tls"


class PeerKeys:
    """
    Keys shared by all entries of a deployment.

    Tokens are signed with the first key and accepted with any. A key is rotated in
    two steps: append the new key at every entry, then move it to the front.
    """

    def __init__(self, keys: Sequence[str]) -> None:
        if not keys:
            raise ValueError("at least one peer key is required")
        # itsdangerous signs with the last key of the list.
        self._signer = TimestampSigner(list(reversed(keys)), salt=_SALT)

    def sign(self, instance: InstanceId) -> str:
        """Return a token that proves knowledge of the first key."""
        return self._signer.sign(instance).decode()

    def is_valid(self, token: str) -> bool:
        """Return whether ``token`` is signed with one of the keys and not expired."""
        try:
            self._signer.unsign(token, max_age=TOKEN_LIFETIME_SECONDS)
        except BadData:
            return False
        return True


@dataclass(frozen=True, kw_only=True)
class TlsFiles:
    """PEM files for mutual TLS between entries."""

    certificate: Path
    private_key: Path
    #: Certificate of the authority that signs the certificates of all entries.
    authority: Path


TlsChoice = TlsFiles | NoTls


def server_context(tls: TlsChoice) -> ssl.SSLContext | None:
    """Return the context of the server side, which requires a client certificate."""
    if isinstance(tls, NoTls):
        return None
    context = ssl.create_default_context(
        ssl.Purpose.CLIENT_AUTH, cafile=str(tls.authority)
    )
    context.verify_mode = ssl.CERT_REQUIRED
    return _with_certificate(context, tls)


def client_context(tls: TlsChoice) -> ssl.SSLContext | None:
    """
    Return the context of the client side.

    The certificate chain is verified and the host name is not: entries are addressed
    by IP address, and the authority signs certificates of entries only.
    """
    if isinstance(tls, NoTls):
        return None
    context = ssl.create_default_context(
        ssl.Purpose.SERVER_AUTH, cafile=str(tls.authority)
    )
    context.check_hostname = False
    return _with_certificate(context, tls)


def _with_certificate(context: ssl.SSLContext, tls: TlsFiles) -> ssl.SSLContext:
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(str(tls.certificate), str(tls.private_key))
    context.set_alpn_protocols(["h2"])
    return context
