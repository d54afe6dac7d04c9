"""Metrics of an entry, in the Prometheus text format."""

from fuchsiaroute.metrics._metrics import CONTENT_TYPE, Metrics
from fuchsiaroute.metrics._stream import StreamTimer

__all__ = ["CONTENT_TYPE", "Metrics", "StreamTimer"]
