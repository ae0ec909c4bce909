"""The table that maps each error kind to its HTTP response."""

from dataclasses import dataclass

from poplarrun.errors._kinds import ErrorKind, NotRun


@dataclass(frozen=True, slots=True)
class ErrorResponse:
    """The HTTP response for one error kind.

    Attributes
    ----------
    status : int
        HTTP status code.
    type : str
        The OpenAI-compatible error type.
    not_run : NotRun
        Whether the request is known not to have been executed.
    retry_after_s : float, optional
        Default of the ``Retry-After`` header, in seconds; None omits the header.
    """

    status: int
    type: str
    not_run: NotRun
    retry_after_s: float | None = None


_INVALID = "invalid_request_error"
_PERMISSION = "permission_error"
_LIMITED = "rate_limit_error"
_OVERLOADED = "overloaded_error"
_CONFLICT = "conflict_error"
_SERVER = "server_error"

ERROR_RESPONSES: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.INVALID_REQUEST: ErrorResponse(400, _INVALID, NotRun.YES),
    ErrorKind.BODY_TOO_LARGE: ErrorResponse(413, _INVALID, NotRun.YES),
    ErrorKind.UNAUTHENTICATED: ErrorResponse(401, "authentication_error", NotRun.YES),
    ErrorKind.ROUTE_UNKNOWN: ErrorResponse(404, _INVALID, NotRun.YES),
    ErrorKind.CLASS_UNKNOWN: ErrorResponse(404, _INVALID, NotRun.YES),
    ErrorKind.CLASS_NOT_ALLOWED: ErrorResponse(403, _PERMISSION, NotRun.YES),
    ErrorKind.VERSION_NOT_ALLOWED: ErrorResponse(403, _PERMISSION, NotRun.YES),
    ErrorKind.SERVICE_UNKNOWN: ErrorResponse(404, _INVALID, NotRun.YES),
    ErrorKind.SERVICE_NOT_ALLOWED: ErrorResponse(403, _PERMISSION, NotRun.YES),
    ErrorKind.IDEMPOTENCY_KEY_REQUIRED: ErrorResponse(400, _INVALID, NotRun.YES),
    ErrorKind.IDEMPOTENCY_KEY_REUSED: ErrorResponse(422, _INVALID, NotRun.YES),
    ErrorKind.IDEMPOTENCY_KEY_EXPIRED: ErrorResponse(409, _CONFLICT, NotRun.UNKNOWN),
    ErrorKind.OPERATION_IN_PROGRESS: ErrorResponse(409, _CONFLICT, NotRun.UNKNOWN, 1.0),
    ErrorKind.OPERATION_OUTCOME_UNKNOWN: ErrorResponse(409, _CONFLICT, NotRun.UNKNOWN),
    ErrorKind.SESSION_TOKEN_INVALID: ErrorResponse(400, _INVALID, NotRun.YES),
    ErrorKind.SESSION_VERSION_WITHDRAWN: ErrorResponse(410, _CONFLICT, NotRun.YES),
    ErrorKind.TARGET_UNREACHABLE: ErrorResponse(503, _OVERLOADED, NotRun.YES, 10.0),
    ErrorKind.DEADLINE_UNREACHABLE: ErrorResponse(503, _OVERLOADED, NotRun.YES, 1.0),
    ErrorKind.QUEUE_FULL: ErrorResponse(503, _OVERLOADED, NotRun.YES, 1.0),
    ErrorKind.RATE_LIMITED: ErrorResponse(429, _LIMITED, NotRun.YES, 1.0),
    ErrorKind.STREAMS_LIMITED: ErrorResponse(429, _LIMITED, NotRun.YES, 1.0),
    ErrorKind.SPEND_EXHAUSTED: ErrorResponse(429, _LIMITED, NotRun.YES, 3600.0),
    ErrorKind.NO_ENDPOINT: ErrorResponse(503, _OVERLOADED, NotRun.YES, 2.0),
    ErrorKind.PROMPT_QUARANTINED: ErrorResponse(503, _OVERLOADED, NotRun.YES),
    ErrorKind.REQUEST_QUARANTINED: ErrorResponse(503, _OVERLOADED, NotRun.YES),
    ErrorKind.ENDPOINT_SILENT: ErrorResponse(504, _SERVER, NotRun.UNKNOWN),
    ErrorKind.ENDPOINT_FAILED: ErrorResponse(502, _SERVER, NotRun.UNKNOWN, 1.0),
    ErrorKind.RETRY_BUDGET_EXHAUSTED: ErrorResponse(503, _OVERLOADED, NotRun.UNKNOWN, 2.0),
    ErrorKind.ANSWER_INCOMPLETE: ErrorResponse(502, _SERVER, NotRun.NO),
    ErrorKind.LOG_UNAVAILABLE: ErrorResponse(503, _OVERLOADED, NotRun.YES, 5.0),
    ErrorKind.BILL_NOT_KEPT: ErrorResponse(503, _OVERLOADED, NotRun.YES, 5.0),
    ErrorKind.NOT_READY: ErrorResponse(503, _OVERLOADED, NotRun.YES, 1.0),
    ErrorKind.STOPPING: ErrorResponse(503, _OVERLOADED, NotRun.YES, 0.0),
    ErrorKind.CONFIGURATION_CONFLICT: ErrorResponse(409, _CONFLICT, NotRun.YES),
    ErrorKind.CONFIGURATION_INVALID: ErrorResponse(422, _INVALID, NotRun.YES),
    ErrorKind.INTERNAL: ErrorResponse(500, _SERVER, NotRun.UNKNOWN),
}


def response_for(kind: ErrorKind) -> ErrorResponse:
    """Return the HTTP response for one error kind."""
    return ERROR_RESPONSES[kind]
