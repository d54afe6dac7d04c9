"""The configuration in force at an entry."""

from collections.abc import Callable

from fuchsiaroute.configuration import Configuration
from fuchsiaroute.ids import EndpointId, Revision

#: Revision before the first configuration has been received.
NO_REVISION = Revision(0)
_EMPTY = Configuration(
    deployment="",
    failure_domains=(),
    products=(),
    organisations=(),
    models=(),
    endpoints=(),
)

Listener = Callable[[Revision, Configuration], None]
#: Returns whether the entry may accept new requests.
ReadinessCheck = Callable[[], bool]


def _always_ready() -> bool:
    return True


class CurrentConfiguration:
    """Holds the configuration of the highest revision and notifies listeners."""

    def __init__(self, *, may_serve: ReadinessCheck = _always_ready) -> None:
        self._may_serve = may_serve
        self._revision = NO_REVISION
        self._configuration = _EMPTY
        self._endpoint_urls: dict[EndpointId, str] = {}
        self._listeners: list[Listener] = []

    @property
    def revision(self) -> Revision:
        """Return the revision in force; ``NO_REVISION`` before the first one."""
        return self._revision

    @property
    def configuration(self) -> Configuration:
        """Return the configuration in force; empty before the first one."""
        return self._configuration

    @property
    def is_ready(self) -> bool:
        """Return whether a configuration is in force and new requests are accepted."""
        return self._revision > NO_REVISION and self._may_serve()

    def endpoint_url(self, endpoint: EndpointId) -> str | None:
        """Return the base URL of ``endpoint``, or None if it is not declared."""
        return self._endpoint_urls.get(endpoint)

    def subscribe(self, listener: Listener) -> None:
        """Call ``listener`` with the current and each later configuration."""
        self._listeners.append(listener)
        if self._revision > NO_REVISION:
            listener(self._revision, self._configuration)

    def apply(self, revision: Revision, configuration: Configuration) -> bool:
        """Apply ``configuration`` if its revision is higher; return whether it was."""
        if revision <= self._revision:
            return False
        self._revision = revision
        self._configuration = configuration
        self._endpoint_urls = {item.id: item.url for item in configuration.endpoints}
        for listener in self._listeners:
            listener(revision, configuration)
        return True
