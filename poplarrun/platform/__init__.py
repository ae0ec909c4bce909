"""Adapters to the outside systems, one small module each."""

from poplarrun.platform._engines import (
    BLOCK_WORDS,
    Answer,
    CacheEvent,
    Chunk,
    Engine,
    EngineCall,
    EngineFailed,
    HttpEngine,
    LoadReport,
    Usage,
    hash_blocks,
)
from poplarrun.platform._hostlist import (
    HostKind,
    HostList,
    HostState,
    HttpHostList,
    ListedHost,
    ListUnavailable,
)
from poplarrun.platform._http import PlatformTls, close_pool, pool_for, use_plain_http, use_tls
from poplarrun.platform._log import HttpLog
from poplarrun.platform._ratings import HttpRatings, RatedAnswer, Ratings, RatingsUnavailable
from poplarrun.platform._services import (
    HttpServiceCaller,
    PreparedCall,
    ServiceAnswer,
    ServiceCall,
    ServiceCaller,
    ServiceNotSent,
    ServiceUnknown,
)

__all__ = [
    "BLOCK_WORDS",
    "Answer",
    "CacheEvent",
    "Chunk",
    "Engine",
    "EngineCall",
    "EngineFailed",
    "HostKind",
    "HostList",
    "HostState",
    "HttpEngine",
    "HttpHostList",
    "HttpLog",
    "HttpRatings",
    "HttpServiceCaller",
    "ListUnavailable",
    "ListedHost",
    "LoadReport",
    "PlatformTls",
    "PreparedCall",
    "RatedAnswer",
    "Ratings",
    "RatingsUnavailable",
    "ServiceAnswer",
    "ServiceCall",
    "ServiceCaller",
    "ServiceNotSent",
    "ServiceUnknown",
    "Usage",
    "close_pool",
    "hash_blocks",
    "pool_for",
    "use_plain_http",
    "use_tls",
]
