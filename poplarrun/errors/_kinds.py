"""The kinds of errors, and the refusal that reports one of them to a caller."""

import enum
from dataclasses import dataclass


class ErrorKind(enum.Enum):
    """Every reason for refusing a request of a caller or an operator."""

    INVALID_REQUEST = "invalid_request"
    BODY_TOO_LARGE = "body_too_large"
    UNAUTHENTICATED = "unauthenticated"
    ROUTE_UNKNOWN = "route_unknown"
    CLASS_UNKNOWN = "class_unknown"
    CLASS_NOT_ALLOWED = "class_not_allowed"
    VERSION_NOT_ALLOWED = "version_not_allowed"
    SERVICE_UNKNOWN = "service_unknown"
    SERVICE_NOT_ALLOWED = "service_not_allowed"
    IDEMPOTENCY_KEY_REQUIRED = "idempotency_key_required"
    IDEMPOTENCY_KEY_REUSED = "idempotency_key_reused"
    IDEMPOTENCY_KEY_EXPIRED = "idempotency_key_expired"
    OPERATION_IN_PROGRESS = "operation_in_progress"
    OPERATION_OUTCOME_UNKNOWN = "operation_outcome_unknown"
    SESSION_TOKEN_INVALID = "session_token_invalid"
    SESSION_VERSION_WITHDRAWN = "session_version_withdrawn"
    TARGET_UNREACHABLE = "target_unreachable"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    QUEUE_FULL = "queue_full"
    RATE_LIMITED = "rate_limited"
    STREAMS_LIMITED = "streams_limited"
    SPEND_EXHAUSTED = "spend_exhausted"
    NO_ENDPOINT = "no_endpoint"
    PROMPT_QUARANTINED = "prompt_quarantined"
    REQUEST_QUARANTINED = "request_quarantined"
    ENDPOINT_SILENT = "endpoint_silent"
    ENDPOINT_FAILED = "endpoint_failed"
    RETRY_BUDGET_EXHAUSTED = "retry_budget_exhausted"
    ANSWER_INCOMPLETE = "answer_incomplete"
    LOG_UNAVAILABLE = "log_unavailable"
    BILL_NOT_KEPT = "bill_not_kept"
    NOT_READY = "not_ready"
    STOPPING = "stopping"
    CONFIGURATION_CONFLICT = "configuration_conflict"
    CONFIGURATION_INVALID = "configuration_invalid"
    INTERNAL = "internal"


class NotRun(enum.Enum):
    """Whether the refused request is known not to have been executed by an endpoint."""

    YES = "yes"
    NO = "no"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Refusal:
    """A request that is answered with an error.

    Attributes
    ----------
    kind : ErrorKind
        Determines status, error type and counter.
    message : str
        One sentence for the caller: what was found and what is allowed.
    param : str, optional
        The invalid field of the request.
    retry_after_s : float, optional
        Seconds after which a retry makes sense; None uses the default of the kind.
    detail : str
        What the log tells beyond the message.
    """

    kind: ErrorKind
    message: str
    param: str | None = None
    retry_after_s: float | None = None
    detail: str = ""
