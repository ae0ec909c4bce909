"""The closed list of error kinds and the answer that belongs to each."""

from poplarrun.errors._kinds import ErrorKind, NotRun, Refusal
from poplarrun.errors._table import ANSWERS, ErrorAnswer, answer_for

__all__ = ["ANSWERS", "ErrorAnswer", "ErrorKind", "NotRun", "Refusal", "answer_for"]
