"""Client of the rating service, which rates submitted answers with a delay."""

from dataclasses import dataclass
from typing import Protocol

import msgspec
import urllib3

from poplarrun.clients._answers import UNREADABLE_JSON, fetch
from poplarrun.clients._http import base_url

REQUEST_TIMEOUT_S = 2.0
OK = 200


class AnswerRating(msgspec.Struct, frozen=True):
    """The rating of an answer, from 0 (useless) to 1."""

    request_id: str
    quality: float


@dataclass(frozen=True, slots=True)
class RatingsUnavailable:
    """The rating service gave no usable response."""

    reason: str


class Ratings(Protocol):
    """The rating service. Calls block and never raise."""

    def submit(self, request_id: str, answer: str) -> bool:
        """Submit an answer for rating; return whether it was accepted."""

    def collect(self, request_ids: list[str]) -> list[AnswerRating] | RatingsUnavailable:
        """Fetch the ratings that are available for some requests."""


class _SubmitBody(msgspec.Struct):
    request_id: str
    answer: str


class _CollectBody(msgspec.Struct):
    request_ids: list[str]


class HttpRatings:
    """``Ratings`` over HTTP."""

    def __init__(self, address: str) -> None:
        self._base = f"{base_url(address)}/v1"

    def submit(self, request_id: str, answer: str) -> bool:
        """Submit an answer for rating; return whether it was accepted."""
        status, _ = self._post("answers", _SubmitBody(request_id, answer))
        return status == OK

    def collect(self, request_ids: list[str]) -> list[AnswerRating] | RatingsUnavailable:
        """Fetch the ratings that are available for some requests."""
        status, data = self._post("ratings", _CollectBody(request_ids))
        if status != OK:
            return RatingsUnavailable(f"status {status}")
        try:
            return msgspec.json.decode(data, type=list[AnswerRating])
        except UNREADABLE_JSON:
            return RatingsUnavailable("the ratings could not be read")

    def _post(self, path: str, body: msgspec.Struct) -> tuple[int, bytes]:
        try:
            response = fetch(
                "POST",
                f"{self._base}/{path}",
                REQUEST_TIMEOUT_S,
                body=msgspec.json.encode(body),
                headers={"Content-Type": "application/json"},
            )
        except urllib3.exceptions.HTTPError:
            return 0, b""
        return response.status, response.data
