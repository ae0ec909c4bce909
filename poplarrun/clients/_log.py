"""Client of the platform's log service over HTTP."""

import base64

import msgspec
import urllib3

from poplarrun.clients._answers import UNREADABLE_JSON, fetch
from poplarrun.clients._http import base_url
from poplarrun.log import (
    Appended,
    AppendOutcome,
    AppendRefused,
    AppendUnknown,
    Entry,
    Page,
    ReadFailed,
    ReadOutcome,
)

APPEND_TIMEOUT_S = 3.0
READ_TIMEOUT_S = 3.0
CREATED = 201
OK = 200
CLIENT_ERRORS = range(400, 500)
# The log service checks this before it stores a record: 503 means that none was appended.
UNAVAILABLE = 503


class _AppendedBody(msgspec.Struct):
    offset: int


class _EntryBody(msgspec.Struct):
    offset: int
    data: str


class _PageBody(msgspec.Struct):
    entries: list[_EntryBody]
    horizon: int
    end: int


class HttpLog:
    """A ``Log`` over the platform's HTTP interface."""

    def __init__(self, address: str) -> None:
        self._base = f"{base_url(address)}/v1/streams"

    def append(self, stream: str, data: bytes) -> AppendOutcome:
        """Append one record to a stream."""
        try:
            response = fetch(
                "POST",
                f"{self._base}/{stream}/records",
                APPEND_TIMEOUT_S,
                body=data,
                headers={"Content-Type": "application/octet-stream"},
            )
        except (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError):
            return AppendRefused("no connection to the log")
        except urllib3.exceptions.HTTPError as error:
            return AppendUnknown(type(error).__name__)
        if response.status == CREATED:
            return _read_appended(response.data)
        if response.status == UNAVAILABLE or response.status in CLIENT_ERRORS:
            return AppendRefused(f"the log answered {response.status}")
        return AppendUnknown(f"the log answered {response.status}")

    def read(self, stream: str, from_offset: int, limit: int) -> ReadOutcome:
        """Read at most ``limit`` records of a stream, starting at an offset."""
        try:
            response = fetch(
                "GET",
                f"{self._base}/{stream}/records",
                READ_TIMEOUT_S,
                fields={"from": str(from_offset), "limit": str(limit)},
            )
        except urllib3.exceptions.HTTPError as error:
            return ReadFailed(type(error).__name__)
        if response.status != OK:
            return ReadFailed(f"the log answered {response.status}")
        return _read_page(response.data)


def _read_appended(data: bytes) -> AppendOutcome:
    try:
        return Appended(msgspec.json.decode(data, type=_AppendedBody).offset)
    except UNREADABLE_JSON:
        return AppendUnknown("the log's answer could not be read")


def _read_page(data: bytes) -> ReadOutcome:
    try:
        body = msgspec.json.decode(data, type=_PageBody)
        entries = tuple(Entry(e.offset, base64.b64decode(e.data)) for e in body.entries)
    except (*UNREADABLE_JSON, ValueError):
        return ReadFailed("the log's answer could not be read")
    return Page(entries, body.horizon, body.end)
