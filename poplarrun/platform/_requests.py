"""Requests and answers of the platform, decoded once and encoded for endpoints."""

import re
from collections.abc import Iterable
from dataclasses import dataclass

from poplarrun.platform import _names as names
from poplarrun.routing import InFlightRequest, PromptPart, Request

BEARER = "bearer "
MILLISECONDS = 1000.0
# Time that a caller waits when it names none, in seconds: the longest of any route.
DEFAULT_TIME_S = 30.0
MOST_TIME_S = 3600.0
NUMBER = re.compile(r"^\d{1,15}$")
# The platform's scale of urgency at an endpoint is 0 to 9, 0 first.
LEAST_URGENT = 9

RawHeaders = Iterable[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class BadRequest:
    """A request that can't be understood; the text names the field."""

    text: str


@dataclass(frozen=True, slots=True)
class EndpointAnswer:
    """What the head of an endpoint's answer says.

    Attributes
    ----------
    is_genuine : bool
        Whether it bears the endpoint's signature.
    request_id : str, optional
        The request that it answers.
    is_not_run : bool
        Whether the endpoint states that it did not run the request.
    confidence : float, optional
        The model's opinion of the answer, 0 to 1.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    is_genuine: bool
    request_id: str | None
    is_not_run: bool
    confidence: float | None


def decode_request(
    method: bytes, target: bytes, raw_headers: RawHeaders, body: bytes
) -> Request | BadRequest:
    """Decode a caller's request.

    Parameters
    ----------
    raw_headers : iterable of (bytes, bytes)
        Names in the caller's own case.
    """
    passed_on: list[tuple[bytes, bytes]] = []
    known: dict[str, str] = {}
    for name, value in raw_headers:
        lower = name.lower()
        known.setdefault(lower.decode("latin-1"), value.decode("latin-1"))
        if lower not in names.CONNECTION_HEADERS and lower not in names.SYSTEM_HEADERS:
            passed_on.append((name, value))
    for option in known.get("connection", "").split(","):
        named = option.strip().lower().encode("latin-1")
        passed_on = [item for item in passed_on if not named or item[0].lower() != named]
    # The time left is told anew with each send.
    time_name = names.TIME_LEFT.lower().encode()
    passed_on = [item for item in passed_on if item[0].lower() != time_name]
    request_id = known.get(names.REQUEST_ID.lower(), "")
    if not request_id:
        return BadRequest(f"{names.REQUEST_ID}: is missing")
    time_left_s = DEFAULT_TIME_S
    told = known.get(names.TIME_LEFT.lower())
    if told is not None:
        if not NUMBER.match(told.strip()):
            return BadRequest(f"{names.TIME_LEFT}: {told[:40]!r} is not a whole number")
        time_left_s = min(MOST_TIME_S, int(told) / MILLISECONDS)
    prompt_tokens, most_tokens = _decode_tokens(known.get(names.TOKENS.lower(), ""))
    return Request(
        id=request_id,
        method=method,
        target=target,
        host=known.get("host", "").rsplit(":", 1)[0].lower(),
        headers=tuple(passed_on),
        body=body,
        time_left_s=time_left_s,
        api_key=_decode_key(known.get(names.AUTHORIZATION.lower())),
        prompt_parts=_decode_parts(known.get(names.PARTS.lower(), "")),
        prompt_tokens=prompt_tokens,
        max_tokens=most_tokens,
        hinted_tokens=_decode_number(known.get(names.LENGTH_HINT.lower())),
        model=known.get(names.MODEL.lower()),
        session_id=known.get(names.SESSION.lower()),
        resume_after=_decode_number(known.get(names.RESUME_AFTER.lower())),
    )


def encode_request_headers(
    work: InFlightRequest, lifetime: str, time_left_s: float, urgency: int
) -> list[tuple[bytes, bytes]]:
    """Return the headers of one send to an endpoint.

    Parameters
    ----------
    lifetime : str
        The endpoint's lifetime; one that has another answers 421 and runs nothing.
    urgency : int
        0 to 9, 0 first.
    """
    request = work.request
    replaced = {names.RESUME_AFTER.lower().encode()} if work.last_event_id is not None else set()
    if work.model_size is not None:
        replaced.add(names.MODEL.lower().encode())
    headers = [item for item in request.headers if item[0].lower() not in replaced]
    _add(headers, names.EXPECTED_LIFETIME, lifetime)
    _add(headers, names.TIME_LEFT, str(max(1, int(time_left_s * MILLISECONDS))))
    if work.account is not None:
        _add(headers, names.ACCOUNT, work.account.name)
    if work.model_size is not None:
        _add(headers, names.MODEL, work.model_size)
        _add(headers, names.PRIORITY, str(min(LEAST_URGENT, max(0, urgency))))
    if work.last_event_id is not None:
        _add(headers, names.RESUME_AFTER, str(work.last_event_id))
    return headers


def decode_answer(status: int, raw_headers: RawHeaders) -> EndpointAnswer:
    """Decode the head of an endpoint's answer."""
    kept: list[tuple[bytes, bytes]] = []
    known: dict[str, str] = {}
    for name, value in raw_headers:
        lower = name.lower()
        known.setdefault(lower.decode("latin-1"), value.decode("latin-1"))
        if lower not in names.CONNECTION_HEADERS:
            kept.append((name, value))
    # Bytes in an encoding that nobody asked for are not the endpoint's own body.
    is_plain = "content-encoding" not in known
    confidence = _decode_number(known.get(names.CONFIDENCE.lower()))
    return EndpointAnswer(
        status=status,
        headers=tuple(kept),
        is_genuine=is_plain and bool(known.get(names.SIGNATURE.lower())),
        request_id=known.get(names.REQUEST_ID.lower()),
        is_not_run=status == 421 or names.NOT_RUN.lower() in known,
        confidence=None if confidence is None else confidence / 100.0,
    )


def _add(headers: list[tuple[bytes, bytes]], name: str, value: str) -> None:
    headers.append((name.encode(), value.encode("latin-1")))


def _decode_key(value: str | None) -> str | None:
    if value is None or not value.lower().startswith(BEARER):
        return None
    return value[len(BEARER) :].strip()


def _decode_number(value: str | None) -> int | None:
    if value is None or not NUMBER.match(value.strip()):
        return None
    return int(value)


def _decode_tokens(value: str) -> tuple[int, int]:
    prompt, _, most = value.partition(",")
    return _decode_number(prompt) or 0, _decode_number(most) or 0


def _decode_parts(value: str) -> tuple[PromptPart, ...]:
    parts = []
    for entry in value.split(","):
        key, _, tokens = entry.strip().partition(":")
        number = _decode_number(tokens)
        if not key or number is None:
            break
        parts.append(PromptPart(key, number))
    return tuple(parts)
