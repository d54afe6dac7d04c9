"""The interface to callers: chat completions, plain services, entry advice."""

from fuchsiaroute.gateway._advice import Advice, AdviceSource, AdvisedEntry
from fuchsiaroute.gateway._app import build_app
from fuchsiaroute.gateway._authentication import KeyIndex, key_digest

__all__ = [
    "Advice",
    "AdviceSource",
    "AdvisedEntry",
    "KeyIndex",
    "build_app",
    "key_digest",
]
