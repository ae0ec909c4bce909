"""The platform's names on the wire, each with what it holds."""

# Headers of requests.
REQUEST_ID = "X-Attempt-Id"
TIME_LEFT = "X-Deadline-Ms"
RESUME_AFTER = "Last-Event-Id"
MODEL = "X-Model"
TOKENS = "X-Token-Usage"
LENGTH_HINT = "X-Length-Hint"
PARTS = "X-Prompt-Prefix"
SESSION = "Session"
AUTHORIZATION = "Authorization"
# Headers that the system sets for an endpoint.
EXPECTED_LIFETIME = "X-Expect-Instance"
ACCOUNT = "X-Tenant"
PRIORITY = "X-Request-Priority"
# Headers of answers.
SIGNATURE = "X-Instance-Signature"
NOT_RUN = "X-Not-Executed"
CONFIDENCE = "X-Confidence"

# A caller may not set these for an endpoint: the system does, or leaves them out.
SYSTEM_HEADERS = frozenset(
    name.lower().encode()
    for name in (
        ACCOUNT,
        EXPECTED_LIFETIME,
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
# Headers that concern one connection only.
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
