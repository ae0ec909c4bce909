"""Connections on which an answer counts only if its whole head has arrived."""

import http.client
from typing import Any, BinaryIO

import urllib3


class _HeadLines:
    """Passes on the lines of a head, and notes whether the connection ended among them."""

    def __init__(self, file: BinaryIO) -> None:
        self.file = file
        self.has_ended = False

    def readline(self, limit: int = -1) -> bytes:
        line = self.file.readline(limit)
        self.has_ended = not line
        return line

    def close(self) -> None:
        self.file.close()


class WholeHeadResponse(http.client.HTTPResponse):
    """A response whose head ends with an empty line.

    The library takes the end of the connection for the end of the head. The answer would then have
    no length, and be complete without a body.
    """

    fp: Any

    def begin(self) -> None:
        """Read the head.

        Raises
        ------
        http.client.RemoteDisconnected
            When the connection ends before the head does.
        """
        lines = _HeadLines(self.fp)
        self.fp = lines
        try:
            super().begin()
        finally:
            if self.fp is lines:
                self.fp = lines.file
        if lines.has_ended:
            raise http.client.RemoteDisconnected("the connection ended inside the answer's head")


class PlainConnection(urllib3.connection.HTTPConnection):
    """A connection without TLS."""

    response_class = WholeHeadResponse


class TlsConnection(urllib3.connection.HTTPSConnection):
    """A connection over TLS."""

    response_class = WholeHeadResponse


class PlainPool(urllib3.HTTPConnectionPool):
    """Connections without TLS to one address."""

    ConnectionCls = PlainConnection


class TlsPool(urllib3.HTTPSConnectionPool):
    """Connections over TLS to one address."""

    ConnectionCls = TlsConnection
