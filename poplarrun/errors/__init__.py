"""The closed list of error kinds, and the HTTP response for each."""

from poplarrun.errors._kinds import ErrorKind, NotRun, Refusal
from poplarrun.errors._table import ERROR_RESPONSES, ErrorResponse, response_for

__all__ = ["ERROR_RESPONSES", "ErrorKind", "ErrorResponse", "NotRun", "Refusal", "response_for"]
