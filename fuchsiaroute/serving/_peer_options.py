"""Peer options from the settings of an entry."""

from pathlib import Path

from returns.result import Failure

from fuchsiaroute.peer import NoTls, TlsFiles
from fuchsiaroute.serving._peers import NoPeers, PeerOptions
from fuchsiaroute.settings import PeerSettings, Settings, read_secrets


def read_peer_options(settings: Settings) -> PeerOptions | NoPeers:
    """
    Return the peer options, or ``NoPeers.TOKEN`` if no keys are set.

    Raises ``SecretError`` if a key cannot be read.
    """
    peers = settings.peers
    keys = read_secrets(peers.key_files)
    if isinstance(keys, Failure):
        raise keys.failure()
    if not keys.unwrap():
        return NoPeers.TOKEN
    return PeerOptions(
        host=peers.host,
        port=peers.port,
        advertised_address=peers.advertised_address,
        keys=keys.unwrap(),
        tls=_tls(peers),
    )


def _tls(peers: PeerSettings) -> TlsFiles | NoTls:
    files = (peers.tls_certificate_file, peers.tls_key_file, peers.tls_authority_file)
    match files:
        case (Path() as certificate, Path() as private_key, Path() as authority):
            return TlsFiles(
                certificate=certificate, private_key=private_key, authority=authority
            )
        case _:
            return NoTls.TOKEN
