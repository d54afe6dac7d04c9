"""How entries know each other: shared keys, and TLS where it is set up."""

import ssl
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from pathlib import Path

from itsdangerous import BadData, TimestampSigner

from fuchsiaroute.ids import InstanceId

#: Name of the metadata field that carries the signed instance id.
TOKEN_FIELD = "fuchsiaroute-token"
#: Age up to which a token is accepted, in seconds; it covers skewed clocks.
TOKEN_LIFETIME_SECONDS = 120
_SALT = "fuchsiaroute.peer"


class NoTls(Enum):
    """Sentinel: connections between entries are not encrypted."""

    TOKEN = "no-tls"


class PeerKeys:
    """
    Keys shared by all entries of a deployment.

    The first one signs and all are accepted, so that a key is replaced in two
    steps: add the new one at the end everywhere, then move it to the front.
    """

    def __init__(self, keys: Sequence[str]) -> None:
        if not keys:
            raise ValueError("at least one key is needed")
        # The library signs with the last key of the list.
        self._signer = TimestampSigner(list(reversed(keys)), salt=_SALT)

    def sign(self, instance: InstanceId) -> str:
        """Return a token that proves knowledge of the first key."""
        return self._signer.sign(instance).decode()

    def is_valid(self, token: str) -> bool:
        """Return whether ``token`` was signed lately with one of the keys."""
        try:
            self._signer.unsign(token, max_age=TOKEN_LIFETIME_SECONDS)
        except BadData:
            return False
        return True


@dataclass(frozen=True, kw_only=True)
class TlsFiles:
    """Files in PEM for mutual TLS between entries."""

    certificate: Path
    private_key: Path
    #: The authority that has signed the certificates of all entries.
    authority: Path


TlsChoice = TlsFiles | NoTls


def server_context(tls: TlsChoice) -> ssl.SSLContext | None:
    """Return the context of the listening side, which demands a certificate."""
    if isinstance(tls, NoTls):
        return None
    context = ssl.create_default_context(
        ssl.Purpose.CLIENT_AUTH, cafile=str(tls.authority)
    )
    context.verify_mode = ssl.CERT_REQUIRED
    return _finish(context, tls)


def client_context(tls: TlsChoice) -> ssl.SSLContext | None:
    """
    Return the context of the connecting side.

    Entries are addressed by IP number, and the authority signs entries only, so
    the chain is checked and the name is not.
    """
    if isinstance(tls, NoTls):
        return None
    context = ssl.create_default_context(
        ssl.Purpose.SERVER_AUTH, cafile=str(tls.authority)
    )
    context.check_hostname = False
    return _finish(context, tls)


def _finish(context: ssl.SSLContext, tls: TlsFiles) -> ssl.SSLContext:
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(str(tls.certificate), str(tls.private_key))
    context.set_alpn_protocols(["h2"])
    return context
