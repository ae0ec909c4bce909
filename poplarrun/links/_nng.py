"""Links over TCP or TLS with pynng: one listening PULL socket, one PUSH socket per peer."""

import asyncio
import time
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import pynng

from poplarrun.links._interface import MAX_MESSAGE_BYTES, ReceiveCallback
from poplarrun.logging import component_logger

MAX_CONNECTIONS = 128
IDLE_TIMEOUT_S = 60.0
SEND_BUFFER_MESSAGES = 64
RECEIVE_BUFFER_MESSAGES = 512
MIN_RECONNECT_DELAY_MS = 50
RECEIVE_RETRY_DELAY_S = 0.2
MAX_RECONNECT_DELAY_MS = 2000
# Messages that are received in one step of the event loop; requests are served in between.
MAX_RECEIVED_PER_STEP = 32
# Name in the certificate of every host; addresses change when a host is replaced.
CERTIFICATE_NAME = "poplarrun-host"


@dataclass(frozen=True, slots=True)
class TlsFiles:
    """Certificates for the links between hosts.

    Attributes
    ----------
    authority : Path
        CA certificates by which a peer's certificate must be signed.
    identity : Path
        This host's certificate and private key, in one PEM file.
    """

    authority: Path
    identity: Path

    @property
    def modified_at(self) -> float:
        """Time of the last change of either file, in seconds since the epoch."""
        return max(self.authority.stat().st_mtime, self.identity.stat().st_mtime)


@dataclass(slots=True)
class _Connection:
    socket: pynng.Push0
    last_used_at: float


class NngLinks:
    """``Links`` over network sockets.

    Sends never block: pynng buffers a few messages while it connects to a peer, and messages
    that do not fit are dropped. The number of connections is bounded; the least recently used one
    is closed first.

    Parameters
    ----------
    address : str
        ``ip:port`` to listen on.
    tls : TlsFiles, optional
        If given, both sides must present a certificate signed by the authority.
    """

    def __init__(self, address: str, tls: TlsFiles | None = None) -> None:
        self.address = address
        self.bytes_sent = 0
        self.bytes_received = 0
        self._tls = tls
        self._tls_modified_at = 0.0
        self._connections: OrderedDict[str, _Connection] = OrderedDict()
        self._listener: pynng.Pull0 | None = None
        self._receive: ReceiveCallback | None = None
        self._retry: asyncio.TimerHandle | None = None
        self._watched_fd: int | None = None
        self._loop: asyncio.AbstractEventLoop | None = None
        self._log = component_logger("links")

    @property
    def open_connections(self) -> int:
        """Number of outgoing connections that are open."""
        return len(self._connections)

    def start(self, receive: ReceiveCallback) -> None:
        """Start listening; called on the event loop."""
        self._receive = receive
        self._loop = asyncio.get_running_loop()
        self._listener = self._listen()
        self._watch()

    def send(self, address: str, data: bytes) -> bool:
        """Queue a message; return False if it was dropped at once."""
        if len(data) > MAX_MESSAGE_BYTES:
            return False
        try:
            self._connection(address).socket.send(data, block=False)
        except pynng.NNGException:
            return False
        self.bytes_sent += len(data)
        return True

    def reconnect(self, address: str) -> None:
        """Connect anew at the next message, without the delay that follows failed attempts."""
        connection = self._connections.pop(address, None)
        if connection is not None:
            connection.socket.close()

    def close_idle(self, now: float) -> int:
        """Close idle connections, and reload certificates that have changed."""
        self._reload_certificates()
        idle_addresses = [
            a for a, c in self._connections.items() if now - c.last_used_at > IDLE_TIMEOUT_S
        ]
        for address in idle_addresses:
            self._connections.pop(address).socket.close()
        return len(idle_addresses)

    def stop(self) -> None:
        """Stop receiving and close everything."""
        self._receive = None
        self._stop_listening()
        self._close_connections()

    def _listen_again(self) -> None:
        self._retry = None
        try:
            self._listener = self._listen()
        except pynng.NNGException as error:
            self._retry_later(error, self._listen_again)
            return
        self._watch()

    def _retry_later(self, error: pynng.NNGException, action: Callable[[], None]) -> None:
        self._log.warning(
            "Receiving messages from peers failed; retrying.", extra={"reason": str(error)}
        )
        assert self._loop is not None
        self._retry = self._loop.call_later(RECEIVE_RETRY_DELAY_S, action)

    def _watch(self) -> None:
        """Let the event loop wait for messages.

        nng keeps the descriptor readable while a message waits. An asynchronous receive of pynng
        takes several times the processor time, since it sets up an operation for each message and
        wakes the event loop from another thread.
        """
        self._retry = None
        if self._listener is not None and self._loop is not None:
            self._watched_fd = self._listener.recv_fd
            self._loop.add_reader(self._watched_fd, self._receive_waiting)

    def _unwatch(self) -> None:
        if self._watched_fd is not None and self._loop is not None:
            self._loop.remove_reader(self._watched_fd)
            self._watched_fd = None

    def _stop_listening(self) -> None:
        if self._retry is not None:
            self._retry.cancel()
            self._retry = None
        self._unwatch()
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    def _receive_waiting(self) -> None:
        """Receive the messages that wait, and leave the rest of very many to the next step."""
        for _ in range(MAX_RECEIVED_PER_STEP):
            listener, receive = self._listener, self._receive
            if listener is None or receive is None:
                return
            try:
                data = listener.recv(block=False)
            except pynng.TryAgain:
                return
            except pynng.NNGException as error:
                self._unwatch()
                self._retry_later(error, self._watch)
                return
            self.bytes_received += len(data)
            receive(data)

    def _connection(self, address: str) -> _Connection:
        now = time.monotonic()
        connection = self._connections.get(address)
        if connection is None:
            if len(self._connections) >= MAX_CONNECTIONS:
                self._connections.popitem(last=False)[1].socket.close()
            connection = _Connection(self._dial(address), now)
            self._connections[address] = connection
        connection.last_used_at = now
        self._connections.move_to_end(address)
        return connection

    def _dial(self, address: str) -> pynng.Push0:
        socket = pynng.Push0(
            send_buffer_size=SEND_BUFFER_MESSAGES,
            reconnect_time_min=MIN_RECONNECT_DELAY_MS,
            reconnect_time_max=MAX_RECONNECT_DELAY_MS,
        )
        if self._tls is not None:
            socket.tls_config = self._tls_config(pynng.TLSConfig.MODE_CLIENT)
        socket.dial(self._url(address), block=False)
        return socket

    def _listen(self) -> pynng.Pull0:
        socket = pynng.Pull0(
            recv_buffer_size=RECEIVE_BUFFER_MESSAGES, recv_max_size=MAX_MESSAGE_BYTES
        )
        if self._tls is not None:
            self._tls_modified_at = self._tls.modified_at
            socket.tls_config = self._tls_config(pynng.TLSConfig.MODE_SERVER)
        socket.listen(self._url(self.address))
        return socket

    def _url(self, address: str) -> str:
        return f"{'tcp' if self._tls is None else 'tls+tcp'}://{address}"

    def _tls_config(self, mode: int) -> pynng.TLSConfig:
        assert self._tls is not None
        return pynng.TLSConfig(
            mode,
            ca_files=[str(self._tls.authority)],
            cert_key_file=str(self._tls.identity),
            auth_mode=pynng.TLSConfig.AUTH_MODE_REQUIRED,
            server_name=CERTIFICATE_NAME if mode == pynng.TLSConfig.MODE_CLIENT else None,
        )

    def _reload_certificates(self) -> None:
        """Listen and connect again once the certificate files have changed.

        nng reads certificates only once. Without this, a host would fail every connection once
        its certificate has expired, and need a restart. Peers reconnect by themselves; a few
        messages are lost, as on any link.
        """
        if self._tls is None or self._listener is None:
            return
        try:
            if self._tls.modified_at == self._tls_modified_at:
                return
            self._tls_config(pynng.TLSConfig.MODE_SERVER)
        except (OSError, pynng.NNGException) as error:
            self._log.warning(
                "Changed certificates can't be read; the previous ones stay in use.",
                extra={"reason": str(error)},
            )
            return
        self._stop_listening()
        self._close_connections()
        self._listen_again()
        self._log.info("Changed certificates are in use.")

    def _close_connections(self) -> None:
        for connection in self._connections.values():
            connection.socket.close()
        self._connections.clear()
