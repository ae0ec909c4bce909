"""Decoding of callers' requests and endpoints' answers, and encoding of headers for endpoints."""

import re
from collections.abc import Iterable
from dataclasses import dataclass

from poplarrun.placement import MAX_HOLD_OFF_S
from poplarrun.platform import _names as names
from poplarrun.routing import InFlightRequest, PromptPart, Request

BEARER = "bearer "
MILLISECONDS_PER_S = 1000.0
# Time limit of a caller that states none: the longest of any route.
DEFAULT_TIME_LEFT_S = 30.0
MAX_TIME_LEFT_S = 3600.0
NUMBER_PATTERN = re.compile(r"^\d{1,15}$")
DECIMAL_PATTERN = re.compile(r"^\d{1,9}(\.\d{1,9})?$")
# Statuses with which an endpoint turns a request away, and may ask for a time without requests.
HOLD_OFF_STATUSES = frozenset((429, 503))
LEAVING_VALUE = "1"
# An answer of another process at the endpoint's address.
OTHER_INSTANCE_STATUS = 421
# Statuses that tell a caller that its request has not run and never will.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# A header of HTTP; this platform gives it in seconds only.
HOLD_OFF_HEADER = "retry-after"
# Priorities at an endpoint range from 0, the highest, to 9.
LOWEST_PRIORITY = 9

RawHeaders = Iterable[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class BadRequest:
    """A malformed request; the message names the header."""

    message: str


@dataclass(frozen=True, slots=True)
class EndpointAnswer:
    """The head of an endpoint's answer.

    Attributes
    ----------
    is_signed : bool
        Whether it has the endpoint's signature and no content encoding.
    request_id : str, optional
        Id of the request that it answers.
    is_not_run : bool
        Whether the endpoint states that it did not run the request.
    confidence : float, optional
        The model's confidence in its answer, 0 to 1.
    rate_limit_per_s : float, optional
        Requests a second that the endpoint takes from all hosts together, if it names that.
    tolerated_rejections : int, optional
        Requests a second that it can reject for want of room before it falls over, if it says that.
    hold_off_s : float
        Seconds for which the endpoint wants no request from the host whose connection it answered.
    is_leaving : bool
        Whether the endpoint says that it is about to stop.
    misread_headers : tuple of str
        Headers whose values were ignored or bounded.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    is_signed: bool
    request_id: str | None
    is_not_run: bool
    confidence: float | None
    rate_limit_per_s: float | None = None
    tolerated_rejections: int | None = None
    hold_off_s: float = 0.0
    is_leaving: bool = False
    misread_headers: tuple[str, ...] = ()


def decode_request(
    method: bytes, target: bytes, raw_headers: RawHeaders, body: bytes
) -> Request | BadRequest:
    """Decode a caller's request.

    Parameters
    ----------
    raw_headers : iterable of (bytes, bytes)
        Names and values, the names in the case that the caller used.
    """
    forwarded: list[tuple[bytes, bytes]] = []
    by_name: dict[str, str] = {}
    for name, value in raw_headers:
        lower = name.lower()
        by_name.setdefault(lower.decode("latin-1"), value.decode("latin-1"))
        if lower not in names.CONNECTION_HEADERS and lower not in names.SYSTEM_HEADERS:
            forwarded.append((name, value))
    for option in by_name.get("connection", "").split(","):
        connection_header = option.strip().lower().encode("latin-1")
        forwarded = [
            item
            for item in forwarded
            if not connection_header or item[0].lower() != connection_header
        ]
    # Each send to an endpoint states the time that is left by then.
    time_left_header = names.TIME_LEFT_MS.lower().encode()
    forwarded = [item for item in forwarded if item[0].lower() != time_left_header]
    request_id = by_name.get(names.REQUEST_ID.lower(), "")
    if not request_id:
        return BadRequest(f"{names.REQUEST_ID}: is missing")
    time_left_s = DEFAULT_TIME_LEFT_S
    time_left_text = by_name.get(names.TIME_LEFT_MS.lower())
    if time_left_text is not None:
        if not NUMBER_PATTERN.match(time_left_text.strip()):
            return BadRequest(
                f"{names.TIME_LEFT_MS}: {time_left_text[:40]!r} is not a whole number"
            )
        time_left_s = min(MAX_TIME_LEFT_S, int(time_left_text) / MILLISECONDS_PER_S)
    prompt_tokens, max_tokens = _decode_tokens(by_name.get(names.TOKEN_COUNTS.lower(), ""))
    return Request(
        id=request_id,
        method=method,
        target=target,
        host=by_name.get("host", "").rsplit(":", 1)[0].lower(),
        headers=tuple(forwarded),
        body=body,
        time_left_s=time_left_s,
        api_key=_decode_api_key(by_name.get(names.AUTHORIZATION.lower())),
        prompt_parts=_decode_parts(by_name.get(names.PROMPT_PARTS.lower(), "")),
        prompt_tokens=prompt_tokens,
        max_tokens=max_tokens,
        hinted_tokens=_decode_number(by_name.get(names.LENGTH_HINT.lower())),
        model=by_name.get(names.MODEL.lower()),
        session_id=by_name.get(names.SESSION.lower()),
        resume_after=_decode_number(by_name.get(names.RESUME_AFTER.lower())),
    )


def encode_request_headers(
    work: InFlightRequest, instance_id: str, time_left_s: float, priority: int
) -> list[tuple[bytes, bytes]]:
    """Return the headers of one send to an endpoint.

    Parameters
    ----------
    instance_id : str
        Id of the endpoint; another endpoint at the address answers 421 and runs nothing.
    priority : int
        0 to 9; 0 is the highest.
    """
    request = work.request
    replaced = {names.RESUME_AFTER.lower().encode()} if work.last_event_id is not None else set()
    if work.model_size is not None:
        replaced.add(names.MODEL.lower().encode())
    headers = [item for item in request.headers if item[0].lower() not in replaced]
    _append_header(headers, names.EXPECTED_INSTANCE, instance_id)
    _append_header(headers, names.TIME_LEFT_MS, str(max(1, int(time_left_s * MILLISECONDS_PER_S))))
    if work.account is not None:
        _append_header(headers, names.ACCOUNT, work.account.name)
    if work.model_size is not None:
        _append_header(headers, names.MODEL, work.model_size)
        _append_header(headers, names.PRIORITY, str(min(LOWEST_PRIORITY, max(0, priority))))
    if work.last_event_id is not None:
        _append_header(headers, names.RESUME_AFTER, str(work.last_event_id))
    return headers


def decode_answer(status: int, raw_headers: RawHeaders) -> EndpointAnswer:
    """Decode the head of an endpoint's answer."""
    forwarded: list[tuple[bytes, bytes]] = []
    by_name: dict[str, str] = {}
    for name, value in raw_headers:
        lower = name.lower()
        by_name.setdefault(lower.decode("latin-1"), value.decode("latin-1"))
        if lower not in names.CONNECTION_HEADERS:
            forwarded.append((name, value))
    # A body in an encoding that was not requested was not written by the endpoint.
    is_plain = "content-encoding" not in by_name
    confidence = _decode_number(by_name.get(names.CONFIDENCE.lower()))
    hold_off_text = by_name.get(HOLD_OFF_HEADER) if status in HOLD_OFF_STATUSES else None
    hold_off_s = _decode_decimal(hold_off_text)
    leaving_text = by_name.get(names.LEAVING.lower())
    is_leaving = leaving_text is not None and leaving_text.strip() == LEAVING_VALUE
    misread = []
    if hold_off_text is not None and (hold_off_s is None or hold_off_s > MAX_HOLD_OFF_S):
        misread.append(HOLD_OFF_HEADER)
    if leaving_text is not None and not is_leaving:
        misread.append(names.LEAVING)
    return EndpointAnswer(
        status=status,
        headers=tuple(forwarded),
        is_signed=is_plain and bool(by_name.get(names.SIGNATURE.lower())),
        request_id=by_name.get(names.REQUEST_ID.lower()),
        is_not_run=status == OTHER_INSTANCE_STATUS or names.NOT_RUN.lower() in by_name,
        confidence=None if confidence is None else confidence / 100.0,
        rate_limit_per_s=_decode_decimal(by_name.get(names.RATE_LIMIT.lower())),
        tolerated_rejections=_decode_number(by_name.get(names.TOLERATED_REJECTIONS.lower())),
        hold_off_s=min(MAX_HOLD_OFF_S, hold_off_s or 0.0),
        is_leaving=is_leaving,
        misread_headers=tuple(misread),
    )


def _append_header(headers: list[tuple[bytes, bytes]], name: str, value: str) -> None:
    headers.append((name.encode(), value.encode("latin-1")))


def _decode_api_key(value: str | None) -> str | None:
    if value is None or not value.lower().startswith(BEARER):
        return None
    return value[len(BEARER) :].strip()


def _decode_number(value: str | None) -> int | None:
    if value is None or not NUMBER_PATTERN.match(value.strip()):
        return None
    return int(value)


def _decode_decimal(value: str | None) -> float | None:
    if value is None or not DECIMAL_PATTERN.match(value.strip()):
        return None
    return float(value)


def _decode_tokens(value: str) -> tuple[int, int]:
    prompt, _, maximum = value.partition(",")
    return _decode_number(prompt) or 0, _decode_number(maximum) or 0


def _decode_parts(value: str) -> tuple[PromptPart, ...]:
    parts = []
    for entry in value.split(","):
        key, _, tokens = entry.strip().partition(":")
        number = _decode_number(tokens)
        if not key or number is None:
            break
        parts.append(PromptPart(key, number))
    return tuple(parts)
