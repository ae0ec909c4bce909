"""Messages of a relayed connection, and the frames in which they and its bytes travel.

The asking host sends one ``OpenRelay`` and, once it has ``RelayOpened``, the bytes for the endpoint
as they are. The helper sends frames: its reply first, then the endpoint's bytes. An empty frame
says that the endpoint has closed its side, and a ``RelayEnded`` before it how much of the request
the endpoint had taken. A connection that ends without an empty frame was broken: an answer without
a length must not look complete then. A ``RelayDeclined`` after ``RelayOpened`` says that no byte
reached the endpoint.
"""

import struct
from dataclasses import dataclass

import msgspec

_LENGTH = struct.Struct(">I")
# Set in the length of a frame that holds a message.
_MESSAGE_BIT = 1 << 31
MAX_FRAME_BYTES = 1024 * 1024
MAX_MESSAGE_BYTES = 1024


class OpenRelay(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Asks a peer for a connection to an endpoint.

    Attributes
    ----------
    origin : str
        Peer address of the asking host.
    request_id : str
        The request for which it is, for the logs.
    instance_id, started_ms : str and int
        The start of the endpoint that is meant.
    timeout_ms : int
        Time within which the connection must be established.
    wants_taken : bool
        Whether the asking host understands ``RelayEnded``.
    """

    origin: str
    request_id: str
    instance_id: str
    started_ms: int
    timeout_ms: int
    wants_taken: bool = False


class RelayOpened(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """The connection is established; ``load`` is the fraction of the helper's room that is used."""

    load: float


class RelayDeclined(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """There is no connection.

    Attributes
    ----------
    retry_after_ms : int
        For how long the endpoint wants nothing from the helper.
    reason : str
        The value of a ``DeclineReason``.
    """

    retry_after_ms: int
    reason: str


class RelayEnded(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """The endpoint has closed its side.

    Attributes
    ----------
    taken_bytes : int
        Bytes of the asking host that had reached the endpoint by then.
    """

    taken_bytes: int


Message = OpenRelay | RelayOpened | RelayDeclined | RelayEnded
_decoder = msgspec.msgpack.Decoder(Message)


class MalformedFrame(Exception):
    """Bytes that are no frame or message of a relayed connection."""


def encode_frame(data: bytes) -> bytes:
    """Return a frame that holds the bytes."""
    return _LENGTH.pack(len(data)) + data


def encode_message(message: Message) -> bytes:
    """Return a frame that holds a message."""
    content = msgspec.msgpack.encode(message)
    return _LENGTH.pack(len(content) | _MESSAGE_BIT) + content


def decode_message(data: bytes) -> Message:
    """Return the message in a frame.

    Raises
    ------
    MalformedFrame
        If it is none.
    """
    try:
        return _decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise MalformedFrame(str(error)) from error


@dataclass(frozen=True, slots=True)
class Frame:
    """The content of a frame: a message, or bytes of an endpoint."""

    content: bytes
    is_message: bool


class FrameReader:
    """Splits received bytes into frames."""

    def __init__(self, max_bytes: int = MAX_FRAME_BYTES) -> None:
        self._max_bytes = max_bytes
        self._buffer = bytearray()

    @property
    def has_rest(self) -> bool:
        """Whether bytes of an incomplete frame are waiting."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> None:
        """Add received bytes."""
        self._buffer += data

    def next_frame(self) -> Frame | None:
        """Return the next complete frame, or None.

        Raises
        ------
        MalformedFrame
            If the next frame exceeds the size limit.
        """
        if len(self._buffer) < _LENGTH.size:
            return None
        (length,) = _LENGTH.unpack_from(self._buffer)
        size = length & ~_MESSAGE_BIT
        if size > self._max_bytes:
            raise MalformedFrame(f"a frame of {size} bytes")
        end = _LENGTH.size + size
        if len(self._buffer) < end:
            return None
        content = bytes(self._buffer[_LENGTH.size : end])
        del self._buffer[:end]
        return Frame(content, bool(length & _MESSAGE_BIT))
