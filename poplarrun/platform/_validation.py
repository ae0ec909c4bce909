"""Validation of what the platform writes, by models of its documents."""

import re
from typing import Annotated, Any, TypeVar

import msgspec

M = TypeVar("M", bound=msgspec.Struct)
# ``\Z``, since ``$`` lets a line break follow.
Address = Annotated[str, msgspec.Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}\Z")]
_MESSAGE = re.compile(r"(?P<text>.*?)(?: - at `(?:key in )?\$\.?(?P<place>.*)`)?", re.DOTALL)


class InvalidDocument(Exception):
    """A document that doesn't fit its model; the text names the field."""


def validate(model: type[M], raw: Any) -> M:
    """Return a decoded document as its model; fields that it doesn't know are ignored.

    Raises
    ------
    Invalid
        When a field is missing, or of another type or range.
    """
    try:
        return msgspec.convert(raw, model, strict=False)
    except msgspec.ValidationError as error:
        match = _MESSAGE.fullmatch(str(error))
        assert match is not None, error
        place = (match["place"] or "document").replace("[", ".").replace("]", "")
        raise InvalidDocument(f"{place}: {match['text']}") from error
