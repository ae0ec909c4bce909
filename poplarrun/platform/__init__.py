"""Adapter to the platform: names, formats and calls of its interfaces, without any decisions."""

from poplarrun.platform._documents import (
    MalformedDocument,
    decode_catalogue,
    decode_evacuation,
    decode_order,
    decode_status,
    encode_status,
)
from poplarrun.platform._names import (
    CONFIG_KEY,
    ENDPOINT_TOPIC,
    EVACUATION_PREFIX,
    HOST_TOPIC,
    OPERATOR_TOPIC,
    ROLLOUT_PREFIX,
    STATUS_TOPIC,
)
from poplarrun.platform._records import decode_endpoint_record
from poplarrun.platform._requests import (
    LOWEST_PRIORITY,
    NOT_RUN_STATUSES,
    OTHER_INSTANCE_STATUS,
    BadRequest,
    EndpointAnswer,
    decode_answer,
    decode_request,
    encode_request_headers,
)
from poplarrun.platform._settings import (
    PATH_VARIABLE,
    InvalidSettings,
    NodeSettings,
    load_node_settings,
)
from poplarrun.platform._store import (
    Appended,
    Entry,
    LatestRecords,
    Moved,
    NoAnswer,
    OffsetExpired,
    Records,
    Refused,
    StoreClient,
)
from poplarrun.platform._validation import InvalidDocument, validate

__all__ = [
    "CONFIG_KEY",
    "ENDPOINT_TOPIC",
    "EVACUATION_PREFIX",
    "HOST_TOPIC",
    "LOWEST_PRIORITY",
    "NOT_RUN_STATUSES",
    "OPERATOR_TOPIC",
    "OTHER_INSTANCE_STATUS",
    "PATH_VARIABLE",
    "ROLLOUT_PREFIX",
    "STATUS_TOPIC",
    "Appended",
    "BadRequest",
    "EndpointAnswer",
    "Entry",
    "InvalidDocument",
    "InvalidSettings",
    "LatestRecords",
    "MalformedDocument",
    "Moved",
    "NoAnswer",
    "NodeSettings",
    "OffsetExpired",
    "Records",
    "Refused",
    "StoreClient",
    "decode_answer",
    "decode_catalogue",
    "decode_endpoint_record",
    "decode_evacuation",
    "decode_order",
    "decode_request",
    "decode_status",
    "encode_request_headers",
    "encode_status",
    "load_node_settings",
    "validate",
]
