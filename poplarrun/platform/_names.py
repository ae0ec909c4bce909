"""Names of headers, topics and keys in the platform's protocols."""

# Headers of requests.
REQUEST_ID = "X-Attempt-Id"
TIME_LEFT_MS = "X-Deadline-Ms"
RESUME_AFTER = "Last-Event-Id"
MODEL = "X-Model"
TOKEN_COUNTS = "X-Token-Usage"
LENGTH_HINT = "X-Length-Hint"
PROMPT_PARTS = "X-Prompt-Prefix"
SESSION = "Session"
AUTHORIZATION = "Authorization"
# Headers that the system adds for an endpoint.
EXPECTED_INSTANCE = "X-Expect-Instance"
ACCOUNT = "X-Tenant"
PRIORITY = "X-Request-Priority"
# Headers of answers.
SIGNATURE = "X-Instance-Signature"
NOT_RUN = "X-Not-Executed"
CONFIDENCE = "X-Confidence"
RATE_LIMIT = "Server-Limit"
TOLERATED_REJECTIONS = "Server-Brittle"
LEAVING = "Server-Leaving"

# Callers' values of these are not forwarded: the system sets them itself, or omits them.
SYSTEM_HEADERS = frozenset(
    name.lower().encode()
    for name in (
        ACCOUNT,
        EXPECTED_INSTANCE,
        PRIORITY,
        AUTHORIZATION,
        "X-Expect-Version",
        "X-Hold",
        "X-Pin-Ms",
        "X-Kv-Backup",
        "Kv-From",
        "Kv-Fetch",
    )
)
# Hop-by-hop headers, which concern a single connection.
CONNECTION_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"content-length",
        b"upgrade",
        b"expect",
    )
)

# Topics of the store, and keys in them.
OPERATOR_TOPIC = "keyed.op"
ENDPOINT_TOPIC = "keyed.servers"
STATUS_TOPIC = "keyed.status"
HOST_TOPIC = "keyed.hosts"
CONFIG_KEY = "config"
ROLLOUT_PREFIX = "rollout/"
EVACUATION_PREFIX = "evacuate/"
