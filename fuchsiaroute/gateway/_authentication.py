"""Identifies organisations by the API keys of their callers."""

from fuchsiaroute.configuration import Configuration, Organisation
from fuchsiaroute.declaration import key_digest
from fuchsiaroute.ids import Revision


class KeyIndex:
    """Index of the organisations by the digests of their keys."""

    def __init__(self) -> None:
        self._organisations: dict[str, Organisation] = {}

    def update(self, revision: Revision, configuration: Configuration) -> None:
        """Rebuild the index from the configuration that came into force."""
        self._organisations = {
            organisation.key_digest: organisation
            for organisation in configuration.organisations
        }

    def find(self, key: str) -> Organisation | None:
        """Return the organisation that ``key`` belongs to, or None."""
        return self._organisations.get(key_digest(key))
