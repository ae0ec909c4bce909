"""The table from error kind to HTTP answer."""

from dataclasses import dataclass

from poplarrun.errors._kinds import ErrorKind, NotRun


@dataclass(frozen=True, slots=True)
class ErrorAnswer:
    """How one error kind is told to a caller.

    Attributes
    ----------
    status : int
        HTTP status code.
    type : str
        The OpenAI-compatible error type.
    not_run : NotRun
        Whether the work is known not to have run.
    retry_after_s : float, optional
        Default for the ``Retry-After`` header, in seconds; None sends none.
    """

    status: int
    type: str
    not_run: NotRun
    retry_after_s: float | None = None


_INVALID = "invalid_request_error"
_DENIED = "permission_error"
_LIMITED = "rate_limit_error"
_OVERLOADED = "overloaded_error"
_CONFLICT = "conflict_error"
_SERVER = "server_error"

ANSWERS: dict[ErrorKind, ErrorAnswer] = {
    ErrorKind.INVALID_REQUEST: ErrorAnswer(400, _INVALID, NotRun.YES),
    ErrorKind.BODY_TOO_LARGE: ErrorAnswer(413, _INVALID, NotRun.YES),
    ErrorKind.UNAUTHENTICATED: ErrorAnswer(401, "authentication_error", NotRun.YES),
    ErrorKind.ROUTE_UNKNOWN: ErrorAnswer(404, _INVALID, NotRun.YES),
    ErrorKind.CLASS_UNKNOWN: ErrorAnswer(404, _INVALID, NotRun.YES),
    ErrorKind.CLASS_NOT_ALLOWED: ErrorAnswer(403, _DENIED, NotRun.YES),
    ErrorKind.VERSION_NOT_ALLOWED: ErrorAnswer(403, _DENIED, NotRun.YES),
    ErrorKind.SERVICE_UNKNOWN: ErrorAnswer(404, _INVALID, NotRun.YES),
    ErrorKind.SERVICE_NOT_ALLOWED: ErrorAnswer(403, _DENIED, NotRun.YES),
    ErrorKind.IDEMPOTENCY_KEY_REQUIRED: ErrorAnswer(400, _INVALID, NotRun.YES),
    ErrorKind.IDEMPOTENCY_KEY_REUSED: ErrorAnswer(422, _INVALID, NotRun.YES),
    ErrorKind.IDEMPOTENCY_KEY_EXPIRED: ErrorAnswer(409, _CONFLICT, NotRun.UNKNOWN),
    ErrorKind.OPERATION_IN_PROGRESS: ErrorAnswer(409, _CONFLICT, NotRun.UNKNOWN, 1.0),
    ErrorKind.OPERATION_OUTCOME_UNKNOWN: ErrorAnswer(409, _CONFLICT, NotRun.UNKNOWN),
    ErrorKind.SESSION_TOKEN_INVALID: ErrorAnswer(400, _INVALID, NotRun.YES),
    ErrorKind.SESSION_VERSION_WITHDRAWN: ErrorAnswer(410, _CONFLICT, NotRun.YES),
    ErrorKind.TARGET_UNREACHABLE: ErrorAnswer(503, _OVERLOADED, NotRun.YES, 10.0),
    ErrorKind.DEADLINE_UNREACHABLE: ErrorAnswer(503, _OVERLOADED, NotRun.YES, 1.0),
    ErrorKind.QUEUE_FULL: ErrorAnswer(503, _OVERLOADED, NotRun.YES, 1.0),
    ErrorKind.RATE_LIMITED: ErrorAnswer(429, _LIMITED, NotRun.YES, 1.0),
    ErrorKind.STREAMS_LIMITED: ErrorAnswer(429, _LIMITED, NotRun.YES, 1.0),
    ErrorKind.SPEND_EXHAUSTED: ErrorAnswer(429, _LIMITED, NotRun.YES, 3600.0),
    ErrorKind.NO_ENDPOINT: ErrorAnswer(503, _OVERLOADED, NotRun.YES, 2.0),
    ErrorKind.ENDPOINT_SILENT: ErrorAnswer(504, _SERVER, NotRun.UNKNOWN),
    ErrorKind.ENDPOINT_FAILED: ErrorAnswer(502, _SERVER, NotRun.UNKNOWN, 1.0),
    ErrorKind.RETRY_BUDGET_EXHAUSTED: ErrorAnswer(503, _OVERLOADED, NotRun.UNKNOWN, 2.0),
    ErrorKind.ANSWER_INCOMPLETE: ErrorAnswer(502, _SERVER, NotRun.NO),
    ErrorKind.LOG_UNAVAILABLE: ErrorAnswer(503, _OVERLOADED, NotRun.YES, 5.0),
    ErrorKind.BILL_NOT_KEPT: ErrorAnswer(503, _OVERLOADED, NotRun.YES, 5.0),
    ErrorKind.NOT_READY: ErrorAnswer(503, _OVERLOADED, NotRun.YES, 1.0),
    ErrorKind.STOPPING: ErrorAnswer(503, _OVERLOADED, NotRun.YES, 0.0),
    ErrorKind.CONFIGURATION_CONFLICT: ErrorAnswer(409, _CONFLICT, NotRun.YES),
    ErrorKind.CONFIGURATION_INVALID: ErrorAnswer(422, _INVALID, NotRun.YES),
    ErrorKind.INTERNAL: ErrorAnswer(500, _SERVER, NotRun.UNKNOWN),
}


def answer_for(kind: ErrorKind) -> ErrorAnswer:
    """Return the answer of one error kind."""
    return ANSWERS[kind]
