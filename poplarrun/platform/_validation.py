"""Validation of the platform's documents against models."""

import re
from typing import Annotated, Any, TypeVar

import msgspec

M = TypeVar("M", bound=msgspec.Struct)
_OCTET = r"(25[0-5]|2[0-4]\d|1\d\d|[1-9]?\d)"
_PORT = r"(6553[0-5]|655[0-2]\d|65[0-4]\d\d|6[0-4]\d{3}|[1-5]\d{4}|[1-9]\d{0,3})"
# ``\Z`` because ``$`` also matches before a final line break.
_ADDRESS_PATTERN = rf"^{_OCTET}(\.{_OCTET}){{3}}:{_PORT}\Z"
# The largest whole number that all readers and writers of JSON agree on. Messages between hosts,
# in MessagePack, hold none beyond 64 bits.
MAX_WHOLE_NUMBER = 2**53 - 1
WholeNumber = Annotated[int, msgspec.Meta(ge=0, le=MAX_WHOLE_NUMBER)]
Address = Annotated[str, msgspec.Meta(pattern=_ADDRESS_PATTERN)]
_ADDRESS_MISMATCH = f"`str` matching regex {_ADDRESS_PATTERN!r}"
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
        text = match["text"].replace(_ADDRESS_MISMATCH, "`ip:port` with a port from 1 to 65535")
        raise InvalidDocument(f"{field_path}: {text}") from error
