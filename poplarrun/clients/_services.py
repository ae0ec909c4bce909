"""Plain services: one call, handed over in one step, whose outcome is ran or unknown."""

import contextlib
import ssl
from dataclasses import dataclass
from typing import Any, Protocol

import urllib3

from poplarrun.clients._http import PlatformTls

CONNECT_TIMEOUT_S = 0.5
# What the loop hands to the socket itself: a new connection's buffer holds it.
FIRST_PIECE_BYTES = 16_384


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """One call of an operation of a plain service."""

    request_id: str
    operation: str
    body: bytes
    content_type: str


@dataclass(frozen=True, slots=True)
class ServiceResponse:
    """The service ran the call and answered."""

    status: int
    body: bytes
    content_type: str


@dataclass(frozen=True, slots=True)
class ServiceNotSent:
    """No byte of the call went out."""

    reason: str


@dataclass(frozen=True, slots=True)
class ServiceOutcomeUnknown:
    """Bytes went out and no whole answer came: it may have run."""

    reason: str


class PreparedCall(Protocol):
    """A call whose connection is open and of which no byte was sent."""

    def start_sending(self) -> bool:
        """Send the first bytes; False when none went. Never blocks, never raises.

        The loop calls this in the step that decides that the call may run.
        Were the bytes sent by another thread, the process could be stopped
        between the two, and the call would run long after it was refused.
        """

    def finish(self, timeout_s: float) -> ServiceResponse | ServiceOutcomeUnknown:
        """Send the rest and wait for the answer. Blocks, never raises."""

    def close(self) -> None:
        """Close the connection; without ``start_sending`` nothing was sent."""


class ServiceCaller(Protocol):
    """Plain services, by address. Calls block and never raise."""

    def prepare(self, address: str, call: ServiceCall) -> PreparedCall | ServiceNotSent:
        """Connect, and make the bytes of the call without sending any."""


class _HeldConnection(urllib3.connection.HTTPConnection):
    """A connection that keeps the bytes it would send."""

    held = b""

    def send(self, data: Any) -> None:
        self.held += bytes(data)


class _HeldTlsConnection(urllib3.connection.HTTPSConnection):
    """The same over TLS; the handshake is over before any byte is held."""

    held = b""

    def send(self, data: Any) -> None:
        self.held += bytes(data)


class HttpPreparedCall:
    """A ``PreparedCall`` over HTTP."""

    def __init__(self, connection: _HeldConnection | _HeldTlsConnection) -> None:
        self._connection = connection
        self._sent = 0

    def start_sending(self) -> bool:
        """Send the first bytes; False when none went. Never blocks, never raises.

        Over TLS the first piece is one record at most. If the socket takes only
        a part of it, ``send`` fails, and the service can't read any of it.
        """
        try:
            self._connection.sock.setblocking(False)
            self._sent = self._connection.sock.send(self._connection.held[:FIRST_PIECE_BYTES])
        except OSError:
            return False
        return self._sent > 0

    def finish(self, timeout_s: float) -> ServiceResponse | ServiceOutcomeUnknown:
        """Send the rest and wait for the answer. Blocks, never raises."""
        try:
            self._connection.sock.settimeout(max(0.001, timeout_s))
            self._connection.sock.sendall(self._connection.held[self._sent :])
            response = self._connection.getresponse()
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return ServiceOutcomeUnknown(type(error).__name__)
        content_type = response.headers.get("Content-Type", "application/octet-stream")
        return ServiceResponse(response.status, response.data, content_type)

    def close(self) -> None:
        """Close the connection; without ``start_sending`` nothing was sent."""
        with contextlib.suppress(OSError):
            self._connection.close()


class HttpServiceCaller:
    """A ``ServiceCaller`` over HTTP.

    Parameters
    ----------
    tls : PlatformTls, optional
        Certificates for the way to the services; without it plain HTTP. Read once.
    """

    def __init__(self, tls: PlatformTls | None = None) -> None:
        self._context = None if tls is None else _make_context(tls)

    def prepare(self, address: str, call: ServiceCall) -> PreparedCall | ServiceNotSent:
        """Connect, and make the bytes of the call without sending any."""
        connection = self._make_connection(address)
        try:
            connection.connect()
            connection.request(
                "POST",
                f"/v1/operations/{call.operation}",
                body=call.body,
                headers={"Content-Type": call.content_type, "X-Request-Id": call.request_id},
            )
        except (urllib3.exceptions.HTTPError, OSError):
            connection.close()
            return ServiceNotSent("connect")
        return HttpPreparedCall(connection)

    def _make_connection(self, address: str) -> _HeldConnection | _HeldTlsConnection:
        host, _, port = address.rpartition(":")
        if self._context is None:
            return _HeldConnection(host, int(port), timeout=CONNECT_TIMEOUT_S)
        return _HeldTlsConnection(
            host, int(port), timeout=CONNECT_TIMEOUT_S, ssl_context=self._context
        )


def _make_context(tls: PlatformTls) -> ssl.SSLContext:
    context = ssl.create_default_context(cafile=str(tls.authority))
    if tls.identity is not None:
        context.load_cert_chain(str(tls.identity))
    return context
