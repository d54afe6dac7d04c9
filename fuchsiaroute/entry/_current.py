"""The configuration that an entry enforces at this moment."""

from collections.abc import Callable

from fuchsiaroute.configuration import Configuration
from fuchsiaroute.ids import EndpointId, Revision

#: Revision of an entry that has not yet learned any configuration.
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
#: Says whether the entry knows enough to take new work.
ReadinessSource = Callable[[], bool]


def _always() -> bool:
    return True


class CurrentConfiguration:
    """Holds the highest revision seen and tells listeners of each change."""

    def __init__(self, *, may_serve: ReadinessSource = _always) -> None:
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
        """Return whether new work may be taken under the configuration held."""
        return self._revision > NO_REVISION and self._may_serve()

    def endpoint_url(self, endpoint: EndpointId) -> str | None:
        """Return the base URL of ``endpoint``, or None if it is not declared."""
        return self._endpoint_urls.get(endpoint)

    def subscribe(self, listener: Listener) -> None:
        """Call ``listener`` for the present and each later configuration."""
        self._listeners.append(listener)
        if self._revision > NO_REVISION:
            listener(self._revision, self._configuration)

    def apply(self, revision: Revision, configuration: Configuration) -> bool:
        """Put ``configuration`` in force if ``revision`` is higher; say if it was."""
        if revision <= self._revision:
            return False
        self._revision = revision
        self._configuration = configuration
        self._endpoint_urls = {item.id: item.url for item in configuration.endpoints}
        for listener in self._listeners:
            listener(revision, configuration)
        return True
