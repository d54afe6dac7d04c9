"""
Names, wire formats and calls of the platform that the router runs on.

Contains no routing decisions.
"""

from fuchsiaroute.platform._address import Address
from fuchsiaroute.platform._calls import (
    JSON_HEADERS,
    ControlCall,
    DirectoryQuery,
    control_call,
    encode_directory_answer,
    read_directory_query,
)
from fuchsiaroute.platform._decode import DecodeError, decode_endpoint
from fuchsiaroute.platform._headers import (
    AnswerSubject,
    EventId,
    PromptPart,
    RequestFields,
    ResponseFields,
    answer_subject,
    caller_headers,
    endpoint_headers,
    local_reply_headers,
    read_request,
    read_response,
    retry_after,
    states_not_run,
)
from fuchsiaroute.platform._node_settings import (
    Bounds,
    NodeSettings,
    NodeSettingsError,
    load_node_settings,
    node_settings_path,
    parse_node_settings,
)
from fuchsiaroute.platform._orders import (
    DeploymentChanged,
    EvacuationEnded,
    EvacuationOrdered,
    OrderChange,
    RolloutOrdered,
    RolloutOrderRemoved,
    RolloutStatus,
    UnknownOrder,
    decode_order,
    status_put,
)
from fuchsiaroute.platform._rows import HistoryGone, Row, Rows, Table, row_key
from fuchsiaroute.platform._store import PlatformStore

__all__ = [
    "AnswerSubject",
    "answer_subject",
    "JSON_HEADERS",
    "Address",
    "Bounds",
    "ControlCall",
    "DecodeError",
    "DeploymentChanged",
    "DirectoryQuery",
    "EvacuationEnded",
    "EvacuationOrdered",
    "EventId",
    "HistoryGone",
    "NodeSettings",
    "NodeSettingsError",
    "OrderChange",
    "PlatformStore",
    "PromptPart",
    "RequestFields",
    "ResponseFields",
    "RolloutOrderRemoved",
    "RolloutOrdered",
    "RolloutStatus",
    "Row",
    "Rows",
    "Table",
    "UnknownOrder",
    "caller_headers",
    "control_call",
    "decode_endpoint",
    "decode_order",
    "encode_directory_answer",
    "endpoint_headers",
    "load_node_settings",
    "node_settings_path",
    "local_reply_headers",
    "parse_node_settings",
    "read_directory_query",
    "read_request",
    "read_response",
    "retry_after",
    "row_key",
    "states_not_run",
    "status_put",
]
