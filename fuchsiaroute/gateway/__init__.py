"""HTTP interface for callers: chat completions, plain services, entry advice."""

from fuchsiaroute.gateway._advice import Advice, AdviceSource, AdvisedEntry
from fuchsiaroute.gateway._app import build_app
from fuchsiaroute.gateway._authentication import KeyIndex
from fuchsiaroute.gateway._limits import CallerLimits
from fuchsiaroute.gateway._render import encode_refusal

__all__ = [
    "Advice",
    "AdviceSource",
    "AdvisedEntry",
    "CallerLimits",
    "KeyIndex",
    "build_app",
    "encode_refusal",
]
