"""Validation of the platform's documents against models."""

import re
from typing import Annotated, Any, TypeVar

import msgspec

M = TypeVar("M", bound=msgspec.Struct)
# ``\Z`` because ``$`` also matches before a final line break.
Address = Annotated[str, msgspec.Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}\Z")]
_MESSAGE_PATTERN = re.compile(
    r"(?P<text>.*?)(?: - at `(?:key in )?\$\.?(?P<place>.*)`)?", re.DOTALL
)


class InvalidDocument(Exception):
    """A document that doesn't fit its model; the message names the field."""


def validate(model: type[M], raw: Any) -> M:
    """Return a decoded document as an instance of its model; unknown fields are ignored.

    Raises
    ------
    InvalidDocument
        If a field is missing, or has the wrong type or range.
    """
    try:
        return msgspec.convert(raw, model, strict=False)
    except msgspec.ValidationError as error:
        match = _MESSAGE_PATTERN.fullmatch(str(error))
        assert match is not None, error
        field_path = (match["place"] or "document").replace("[", ".").replace("]", "")
        raise InvalidDocument(f"{field_path}: {match['text']}") from error
