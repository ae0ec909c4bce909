"""Answers with neither a length nor chunks, which end with their connection."""

import asyncio
import socket
import struct
from collections.abc import Sequence

from poplarrun.transport import CallerConnection

# Bytes that the other side has not taken yet, above which no more are written.
MAX_UNSENT_BYTES = 256 * 1024
WAIT_S = 0.001

Headers = list[tuple[bytes, bytes]]


def _encode_head(headers: Headers) -> bytes:
    lines = [b"HTTP/1.1 200 OK", *(name + b": " + value for name, value in headers)]
    return b"\r\n".join(lines) + b"\r\n\r\n"


async def send_unframed(
    caller: CallerConnection,
    headers: Headers,
    pieces: Sequence[bytes],
    interval_s: float,
    is_reset: bool = False,
) -> None:
    """Send a head and pieces of a body, and end the connection, in order or with a reset.

    Parameters
    ----------
    interval_s : float
        Time before each piece and the end; 0 to send them together with the head.
    """
    transport = caller._transport
    assert transport is not None
    transport.write(_encode_head(headers) if interval_s else _encode_head(headers) + pieces[0])
    for piece in pieces if interval_s else pieces[1:]:
        await asyncio.sleep(interval_s)
        transport.write(piece)
    if not is_reset:
        transport.close()
        return
    # What was sent must arrive before the reset.
    await asyncio.sleep(interval_s)
    linger = struct.pack("ii", 1, 0)
    transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    transport.abort()


def send_cut_head(caller: CallerConnection, headers: Headers, end: int, has_interim: bool) -> None:
    """Send a head up to a byte, counted from its end if negative, and end the connection."""
    transport = caller._transport
    assert transport is not None
    interim = b"HTTP/1.1 103 Early Hints\r\n\r\n" if has_interim else b""
    transport.write(interim + _encode_head(headers)[:end])
    transport.close()


async def send_without_end(
    caller: CallerConnection, headers: Headers, beginning: bytes, piece: bytes, interval_s: float
) -> None:
    """Send a head, the beginning of a body, and a piece again and again until this is cancelled.

    Parameters
    ----------
    interval_s : float
        Time before each piece; 0 to send as fast as the other side takes them.
    """
    transport = caller._transport
    assert transport is not None
    transport.write(_encode_head(headers) + beginning)
    while True:
        await asyncio.sleep(interval_s)
        while transport.is_closing() or transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            await asyncio.sleep(WAIT_S)
        transport.write(piece)
