"""The users' platform: its names, formats and calls; nothing here decides."""

from poplarrun.platform._documents import (
    Malformed,
    decode_catalogue,
    decode_order,
    decode_status,
    encode_status,
)
from poplarrun.platform._names import (
    CONFIG_KEY,
    ENDPOINT_TOPIC,
    HOST_TOPIC,
    OPERATOR_TOPIC,
    ROLLOUT_PREFIX,
    STATUS_TOPIC,
)
from poplarrun.platform._records import decode_listing
from poplarrun.platform._requests import (
    BadRequest,
    EndpointAnswer,
    decode_answer,
    decode_request,
    encode_send,
)
from poplarrun.platform._settings import (
    PATH_VARIABLE,
    BadSettings,
    NodeSettings,
    load_node_settings,
)
from poplarrun.platform._store import (
    Appended,
    Entry,
    Forgotten,
    Moved,
    Newest,
    NoAnswer,
    Records,
    Refused,
    StoreClient,
)

__all__ = [
    "CONFIG_KEY",
    "ENDPOINT_TOPIC",
    "HOST_TOPIC",
    "OPERATOR_TOPIC",
    "PATH_VARIABLE",
    "ROLLOUT_PREFIX",
    "STATUS_TOPIC",
    "Appended",
    "BadRequest",
    "BadSettings",
    "EndpointAnswer",
    "Entry",
    "Forgotten",
    "Malformed",
    "Moved",
    "Newest",
    "NoAnswer",
    "NodeSettings",
    "Records",
    "Refused",
    "StoreClient",
    "decode_answer",
    "decode_catalogue",
    "decode_listing",
    "decode_order",
    "decode_request",
    "decode_status",
    "encode_send",
    "encode_status",
    "load_node_settings",
]
