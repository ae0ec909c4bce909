"""The asking side of a relayed connection."""

import asyncio
from dataclasses import dataclass

from poplarrun.paths import Decline, DeclineReason
from poplarrun.relays._messages import (
    Frame,
    FrameReader,
    MalformedFrame,
    OpenRelay,
    RelayDeclined,
    RelayEnded,
    RelayOpened,
    decode_message,
    encode_message,
)
from poplarrun.transport import ClientConnection, ConnectFailed

MILLISECONDS_PER_S = 1000.0


class RelayFailed(ConnectFailed):
    """A peer did not open a connection, so no byte of a request was sent."""

    def __init__(self, decline: Decline) -> None:
        super().__init__(f"relay: {decline.reason.value}")
        self.decline = decline


@dataclass(frozen=True, slots=True)
class Tunnel:
    """A connection to an endpoint that a peer relays.

    Attributes
    ----------
    load : float
        Fraction of the peer's room that is used.
    """

    connection: ClientConnection
    load: float


class _TunnelProtocol(asyncio.Protocol):
    """Waits for the peer's reply, then passes the endpoint's bytes to the connection."""

    def __init__(self, request: OpenRelay, address: str) -> None:
        self._request = request
        self._frames = FrameReader()
        self._transport: asyncio.Transport | None = None
        self._is_open = False
        self._is_ended = False
        self._has_data = False
        self.connection = ClientConnection(address, is_single_use=True)
        self.reply: asyncio.Future[RelayOpened] = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self.connection.connection_made(transport)
        transport.write(encode_message(self._request))

    def data_received(self, data: bytes) -> None:
        self._frames.feed(data)
        try:
            while (frame := self._frames.next_frame()) is not None:
                self._handle_frame(frame)
        except MalformedFrame as error:
            self._end(ConnectionResetError(str(error)))
            self.abort()

    def _handle_frame(self, frame: Frame) -> None:
        if frame.is_message:
            self._handle_message(frame.content)
        elif not self._is_open:
            raise MalformedFrame("bytes before the reply")
        elif frame.content:
            self._has_data = True
            self.connection.data_received(frame.content)
        else:
            self._is_ended = True
            self.connection.eof_received()

    def _handle_message(self, content: bytes) -> None:
        match decode_message(content):
            case RelayOpened() as opened if not self.reply.done():
                self._is_open = True
                self.reply.set_result(opened)
            case RelayDeclined() as declined if not self.reply.done():
                self.reply.set_exception(RelayFailed(_decode_decline(declined)))
            case RelayDeclined(reason=reason) if self._is_open and not self._has_data:
                self.connection.withhold(f"relay: {reason}")
            case RelayEnded(taken_bytes) if self._is_open:
                self.connection.record_taken(taken_bytes)
            case _:
                raise MalformedFrame("no reply")

    def connection_lost(self, exc: Exception | None) -> None:
        self._end(exc or ConnectionResetError("the relay ended"))

    def pause_writing(self) -> None:
        self.connection.pause_writing()

    def resume_writing(self) -> None:
        self.connection.resume_writing()

    def _end(self, error: Exception) -> None:
        if not self.reply.done():
            self.reply.set_exception(RelayFailed(Decline(DeclineReason.UNREACHABLE)))
            # Nobody may wait for the reply any more.
            self.reply.exception()
        self.connection.connection_lost(None if self._is_ended else error)

    def abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()


def _decode_decline(message: RelayDeclined) -> Decline:
    try:
        reason = DeclineReason(message.reason)
    except ValueError as error:
        raise MalformedFrame(f"reason {message.reason[:40]!r}") from error
    return Decline(reason, max(0, message.retry_after_ms) / MILLISECONDS_PER_S)


async def open_tunnel(
    relay_address: str, request: OpenRelay, endpoint_address: str, timeout_s: float
) -> Tunnel:
    """Open a connection to an endpoint through the peer at ``relay_address``.

    Raises
    ------
    RelayFailed
        When the peer declines, doesn't reach the endpoint, or doesn't answer in time.
    """
    host, _, port = relay_address.rpartition(":")
    loop = asyncio.get_running_loop()
    protocol = _TunnelProtocol(request, endpoint_address)
    try:
        async with asyncio.timeout(timeout_s):
            await loop.create_connection(lambda: protocol, host, int(port))
            opened = await protocol.reply
    except RelayFailed:
        protocol.abort()
        raise
    except (TimeoutError, OSError, ValueError) as error:
        protocol.abort()
        raise RelayFailed(Decline(DeclineReason.UNREACHABLE)) from error
    except asyncio.CancelledError:
        protocol.abort()
        raise
    return Tunnel(protocol.connection, opened.load)
