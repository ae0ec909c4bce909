"""Client of plain services, in steps that allow a call to be abandoned before it is sent.

A call is prepared without sending a byte, and its first bytes are then sent by the event loop
itself. After that, the call was executed or its outcome is unknown.
"""

import contextlib
import http.client
import ssl
from dataclasses import dataclass
from typing import Any, Protocol

import urllib3

from poplarrun.clients._answers import read_whole
from poplarrun.clients._connections import PlainConnection, TlsConnection
from poplarrun.clients._http import PlatformTls

CONNECT_TIMEOUT_S = 0.5
# Bytes that the event loop sends without blocking: the send buffer of a new connection has
# room for them.
MAX_FIRST_SEND_BYTES = 16_384


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """A call of an operation of a plain service."""

    request_id: str
    operation: str
    body: bytes
    content_type: str


@dataclass(frozen=True, slots=True)
class ServiceResponse:
    """The service executed the call and responded."""

    status: int
    body: bytes
    content_type: str


@dataclass(frozen=True, slots=True)
class ServiceNotSent:
    """No byte of the call was sent."""

    reason: str


@dataclass(frozen=True, slots=True)
class ServiceOutcomeUnknown:
    """The call was sent, but no complete response came: it may have been executed."""

    reason: str


class PreparedCall(Protocol):
    """A call whose connection is open and of which no byte has been sent."""

    def start_sending(self) -> bool:
        """Send the first bytes; return False if none was sent. Never blocks, never raises.

        The event loop calls this in the same step in which it decides that the call may be
        executed. If another thread sent the bytes, the process could be suspended between
        the two, and the call would be executed long after it was refused.
        """

    def finish(self, timeout_s: float) -> ServiceResponse | ServiceOutcomeUnknown:
        """Send the remaining bytes and wait for the response. Blocks, never raises."""

    def close(self) -> None:
        """Close the connection; without ``start_sending`` nothing was sent."""


class ServiceCaller(Protocol):
    """Plain services, by address. Calls block and never raise."""

    def prepare(self, address: str, call: ServiceCall) -> PreparedCall | ServiceNotSent:
        """Connect, and encode the call without sending any byte of it."""


class _BufferingConnection(PlainConnection):
    """A connection that buffers the bytes it would send."""

    buffered = b""

    def send(self, data: Any) -> None:
        self.buffered += bytes(data)


class _BufferingTlsConnection(TlsConnection):
    """The same over TLS; the handshake is complete before any byte is buffered."""

    buffered = b""

    def send(self, data: Any) -> None:
        self.buffered += bytes(data)


class HttpPreparedCall:
    """A ``PreparedCall`` over HTTP."""

    def __init__(self, connection: _BufferingConnection | _BufferingTlsConnection) -> None:
        self._connection = connection
        self._sent = 0

    def start_sending(self) -> bool:
        """Send the first bytes; return False if none was sent. Never blocks, never raises.

        Over TLS, the first bytes fit into one record. If the socket accepts only a part of
        the record, ``send`` raises, and the service can't decrypt any of it.
        """
        try:
            self._connection.sock.setblocking(False)
            self._sent = self._connection.sock.send(
                self._connection.buffered[:MAX_FIRST_SEND_BYTES]
            )
        except OSError:
            return False
        return self._sent > 0

    def finish(self, timeout_s: float) -> ServiceResponse | ServiceOutcomeUnknown:
        """Send the remaining bytes and wait for the response. Blocks, never raises."""
        try:
            self._connection.sock.settimeout(max(0.001, timeout_s))
            self._connection.sock.sendall(self._connection.buffered[self._sent :])
            response = self._connection.getresponse()
            body = read_whole(response, timeout_s)
        except (urllib3.exceptions.HTTPError, http.client.HTTPException, OSError) as error:
            return ServiceOutcomeUnknown(type(error).__name__)
        content_type = response.headers.get("Content-Type", "application/octet-stream")
        return ServiceResponse(response.status, body, content_type)

    def close(self) -> None:
        """Close the connection; without ``start_sending`` nothing was sent."""
        with contextlib.suppress(OSError):
            self._connection.close()


class HttpServiceCaller:
    """A ``ServiceCaller`` over HTTP.

    Parameters
    ----------
    tls : PlatformTls, optional
        Certificates for TLS to the services, read once; plain HTTP without them.
    """

    def __init__(self, tls: PlatformTls | None = None) -> None:
        self._context = None if tls is None else _make_context(tls)

    def prepare(self, address: str, call: ServiceCall) -> PreparedCall | ServiceNotSent:
        """Connect, and encode the call without sending any byte of it."""
        connection = self._make_connection(address)
        try:
            connection.connect()
            connection.request(
                "POST",
                f"/v1/operations/{call.operation}",
                body=call.body,
                headers={"Content-Type": call.content_type, "X-Request-Id": call.request_id},
                preload_content=False,
            )
        except (urllib3.exceptions.HTTPError, OSError):
            connection.close()
            return ServiceNotSent("connect")
        return HttpPreparedCall(connection)

    def _make_connection(self, address: str) -> _BufferingConnection | _BufferingTlsConnection:
        host, _, port = address.rpartition(":")
        if self._context is None:
            return _BufferingConnection(host, int(port), timeout=CONNECT_TIMEOUT_S)
        return _BufferingTlsConnection(
            host, int(port), timeout=CONNECT_TIMEOUT_S, ssl_context=self._context
        )


def _make_context(tls: PlatformTls) -> ssl.SSLContext:
    context = ssl.create_default_context(cafile=str(tls.authority))
    if tls.identity is not None:
        context.load_cert_chain(str(tls.identity))
    return context
