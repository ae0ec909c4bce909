"""Links over TCP or TLS by pynng: one listening PULL socket, one PUSH socket a peer."""

import asyncio
import time
from collections import OrderedDict
from dataclasses import dataclass
from pathlib import Path

import pynng

from poplarrun.links._interface import MAX_MESSAGE_BYTES, ReceiveCallback
from poplarrun.logging import component_logger

MAX_CONNECTIONS = 128
IDLE_CLOSE_S = 60.0
SEND_BUFFER_MESSAGES = 64
RECEIVE_BUFFER_MESSAGES = 512
RECONNECT_MIN_MS = 50
LISTEN_AGAIN_S = 0.2
RECONNECT_MAX_MS = 2000
# The name that every host's certificate carries; addresses change with each replacement.
PEER_NAME = "poplarrun-host"


@dataclass(frozen=True, slots=True)
class TlsFiles:
    """Certificates for the links between hosts.

    Attributes
    ----------
    authority : Path
        Certificates that a peer's certificate must descend from.
    identity : Path
        This host's certificate and key, in one PEM file.
    """

    authority: Path
    identity: Path

    @property
    def changed_at(self) -> float:
        """When either file last changed, in seconds since the epoch."""
        return max(self.authority.stat().st_mtime, self.identity.stat().st_mtime)


@dataclass(slots=True)
class _Connection:
    socket: pynng.Push0
    used_at: float


class NngLinks:
    """``Links`` over real sockets.

    Sends never wait: pynng buffers a few messages for a peer that is being
    dialled, and what does not fit is dropped. The number of connections is
    bounded; the one used longest ago is closed first.

    Parameters
    ----------
    address : str
        ``ip:port`` to listen on.
    tls : TlsFiles, optional
        When given, both sides must show a certificate of the authority.
    """

    def __init__(self, address: str, tls: TlsFiles | None = None) -> None:
        self.address = address
        self.bytes_sent = 0
        self.bytes_received = 0
        self._tls = tls
        self._tls_changed_at = 0.0
        self._connections: OrderedDict[str, _Connection] = OrderedDict()
        self._listening: pynng.Pull0 | None = None
        self._stopped = False
        self._task: asyncio.Task[None] | None = None
        self._log = component_logger("links")

    @property
    def open_connections(self) -> int:
        """Connections that this host dialled and keeps."""
        return len(self._connections)

    def start(self, receive: ReceiveCallback) -> None:
        """Listen; called on the loop."""
        self._listening = self._listen()
        self._task = asyncio.get_running_loop().create_task(self._receive_all(receive))

    def send(self, address: str, data: bytes) -> bool:
        """Hand a message over for sending; False when it was dropped at once."""
        if len(data) > MAX_MESSAGE_BYTES:
            return False
        try:
            self._connection(address).socket.send(data, block=False)
        except pynng.NNGException:
            return False
        self.bytes_sent += len(data)
        return True

    def close_idle(self, now: float) -> int:
        """Close connections that were not used for a while; take new certificates up."""
        self._reload_certificates()
        idle = [a for a, c in self._connections.items() if now - c.used_at > IDLE_CLOSE_S]
        for address in idle:
            self._connections.pop(address).socket.close()
        return len(idle)

    def stop(self) -> None:
        """Stop receiving and close everything."""
        self._stopped = True
        if self._task is not None:
            self._task.cancel()
        if self._listening is not None:
            self._listening.close()
        self._close_connections()

    async def _receive_all(self, receive: ReceiveCallback) -> None:
        while not self._stopped:
            try:
                if self._listening is None:
                    self._listening = self._listen()
                data = await self._listening.arecv()
            except pynng.Closed:
                # Closed on purpose: to stop, or to listen anew with new certificates.
                continue
            except pynng.NNGException as error:
                self._log.warning("Receiving failed.", extra={"reason": str(error)})
                await asyncio.sleep(LISTEN_AGAIN_S)
                continue
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
        connection.used_at = now
        self._connections.move_to_end(address)
        return connection

    def _dial(self, address: str) -> pynng.Push0:
        socket = pynng.Push0(
            send_buffer_size=SEND_BUFFER_MESSAGES,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
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
            self._tls_changed_at = self._tls.changed_at
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
            server_name=PEER_NAME if mode == pynng.TLSConfig.MODE_CLIENT else None,
        )

    def _reload_certificates(self) -> None:
        """Listen and dial anew once the certificate files have changed.

        nng reads certificates once. Without this a host would fail every
        connection once its certificate has lapsed, and need a restart. Peers
        dial again by themselves; a few messages are lost, as on any link.
        """
        if self._tls is None or self._listening is None:
            return
        try:
            if self._tls.changed_at == self._tls_changed_at:
                return
            self._tls_config(pynng.TLSConfig.MODE_SERVER)
        except (OSError, pynng.NNGException) as error:
            self._log.warning("New certificates can't be read.", extra={"reason": str(error)})
            return
        self._tls_changed_at = self._tls.changed_at
        old, self._listening = self._listening, None
        old.close()
        self._close_connections()
        self._log.info("New certificates are in use.")

    def _close_connections(self) -> None:
        for connection in self._connections.values():
            connection.socket.close()
        self._connections.clear()
