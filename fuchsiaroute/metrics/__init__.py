"""Metrics of an entry, in the Prometheus text format."""

from fuchsiaroute.metrics._metrics import Metrics
from fuchsiaroute.metrics._stream import StreamTimer

__all__ = ["Metrics", "StreamTimer"]
