"""Plain services: one call, whose outcome is ran, not sent or unknown."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import urllib3

CONNECT_TIMEOUT_S = 0.5


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """One call of an operation of a plain service."""

    request_id: str
    operation: str
    body: bytes
    content_type: str
    timeout_s: float


@dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """The service ran the call and answered."""

    status: int
    body: bytes
    content_type: str


@dataclass(frozen=True, slots=True)
class ServiceNotSent:
    """No byte of the call went out."""

    reason: str


@dataclass(frozen=True, slots=True)
class ServiceUnknown:
    """Bytes went out and no whole answer came: it may have run."""

    reason: str


ServiceOutcome = ServiceAnswer | ServiceNotSent | ServiceUnknown
SendPermit = Callable[[], bool]


class ServiceCaller(Protocol):
    """Plain services, by address. Calls block and never raise."""

    def call(self, address: str, call: ServiceCall, permit: SendPermit) -> ServiceOutcome:
        """Connect, ask ``permit``, and send the call only when it says so."""


class HttpServiceCaller:
    """A ``ServiceCaller`` over HTTP."""

    def call(self, address: str, call: ServiceCall, permit: SendPermit) -> ServiceOutcome:
        """Connect, ask ``permit``, and send the call only when it says so."""
        host, _, port = address.rpartition(":")
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=call.timeout_s)
        connection = urllib3.connection.HTTPConnection(host, int(port), timeout=CONNECT_TIMEOUT_S)
        try:
            connection.connect()
        except (urllib3.exceptions.HTTPError, OSError):
            return ServiceNotSent("connect")
        try:
            if not permit():
                return ServiceNotSent("permit")
            return _exchange(connection, call, timeout)
        finally:
            connection.close()


def _exchange(
    connection: urllib3.connection.HTTPConnection, call: ServiceCall, timeout: urllib3.Timeout
) -> ServiceOutcome:
    try:
        if connection.sock is not None:
            connection.sock.settimeout(call.timeout_s)
        connection.request(
            "POST",
            f"/v1/operations/{call.operation}",
            body=call.body,
            headers={"Content-Type": call.content_type, "X-Request-Id": call.request_id},
        )
        response = connection.getresponse()
        data = response.read()
    except (urllib3.exceptions.HTTPError, OSError) as error:
        return ServiceUnknown(type(error).__name__)
    return ServiceAnswer(
        response.status, data, response.headers.get("Content-Type", "application/octet-stream")
    )
