"""Forwarding of requests to endpoints and of responses to callers."""

from fuchsiaroute.forwarding._attempt_runner import AttemptRunner
from fuchsiaroute.forwarding._buffered_relay import BufferedRelay
from fuchsiaroute.forwarding._call import Call
from fuchsiaroute.forwarding._connect_records import ConnectRecords
from fuchsiaroute.forwarding._connection_pool import ConnectionPool
from fuchsiaroute.forwarding._counters import LATENCY_BOUNDS_MS, Counters
from fuchsiaroute.forwarding._endpoint_client import EndpointClient
from fuchsiaroute.forwarding._endpoint_notices import EndpointNotices
from fuchsiaroute.forwarding._forwarder import Forwarder
from fuchsiaroute.forwarding._latency_estimator import (
    LatencyEstimator,
    SharedEstimate,
)
from fuchsiaroute.forwarding._model_choice import CascadeTimes, ModelChoice
from fuchsiaroute.forwarding._peer_connector import PeerConnection, PeerConnector
from fuchsiaroute.forwarding._request_resolver import RequestResolver
from fuchsiaroute.forwarding._speed_comparison import SpeedComparison
from fuchsiaroute.forwarding._stop_admission import StopAdmission
from fuchsiaroute.forwarding._stream_relay import StreamRelay

__all__ = [
    "LATENCY_BOUNDS_MS",
    "AttemptRunner",
    "BufferedRelay",
    "Call",
    "CascadeTimes",
    "ConnectRecords",
    "ConnectionPool",
    "Counters",
    "EndpointClient",
    "EndpointNotices",
    "Forwarder",
    "LatencyEstimator",
    "ModelChoice",
    "RequestResolver",
    "PeerConnection",
    "PeerConnector",
    "SharedEstimate",
    "StopAdmission",
    "SpeedComparison",
    "StreamRelay",
]
