"""Signs the records that hosts append to the log, and verifies those they read."""

import hmac
from collections.abc import Callable
from dataclasses import dataclass, replace

from poplarrun.log._interface import AppendOutcome, Entry, Log, Page, ReadOutcome

# Marks a signed record. No unsigned record begins with it: MessagePack never uses the byte
# 0xc1, nor does JSON.
_SIGNED_PREFIX = b"\xc1S1"
_SIGNATURE_BYTES = 32
_BODY_START = len(_SIGNED_PREFIX) + _SIGNATURE_BYTES
UNSIGNED = "log_record_unsigned"
FORGED = "log_record_forged"
UNVERIFIED = "log_record_unchecked"


@dataclass(frozen=True, slots=True)
class LogKeys:
    """The secret keys that all hosts share.

    Attributes
    ----------
    keys : tuple of bytes
        Records are signed with the first and accepted if signed with any of them. If
        empty, records are neither signed nor verified.
    accepts_unsigned : bool
        Whether unsigned records are accepted too, while keys are being introduced.
    """

    keys: tuple[bytes, ...] = ()
    accepts_unsigned: bool = False


class SignedLog:
    """A ``Log`` that signs the records it appends and verifies those it reads.

    A record without a valid signature is returned with empty data: its offset still
    counts, which all readers rely on, and no reader decodes anything from empty data. The
    signature covers the stream's name, so a record can't be copied to another stream.

    Parameters
    ----------
    log : Log
        The underlying log.
    keys : LogKeys
        Must be the same at every host; otherwise hosts accept different records and their
        states diverge.
    count : callable
        Counts, by reason, each record that was rejected, or was signed but could not be
        verified for lack of keys. Called on any thread.
    exempt_streams : frozenset of str
        Streams whose records have signatures of their own; neither signed nor verified.
    """

    def __init__(
        self,
        log: Log,
        keys: LogKeys,
        count: Callable[[str], None],
        exempt_streams: frozenset[str] = frozenset(),
    ) -> None:
        self._log = log
        self._keys = keys
        self._count = count
        self._exempt_streams = exempt_streams

    def append(self, stream: str, data: bytes) -> AppendOutcome:
        """Append one record to a stream, signed if there are keys."""
        if self._keys.keys and stream not in self._exempt_streams:
            data = sign_log_record(stream, data, self._keys.keys[0])
        return self._log.append(stream, data)

    def read(self, stream: str, from_offset: int, limit: int) -> ReadOutcome:
        """Read at most ``limit`` records of a stream; rejected ones have empty data."""
        outcome = self._log.read(stream, from_offset, limit)
        if not isinstance(outcome, Page) or stream in self._exempt_streams:
            return outcome
        verified = tuple(Entry(e.offset, self._verify(stream, e.data)) for e in outcome.entries)
        return replace(outcome, entries=verified)

    def _verify(self, stream: str, data: bytes) -> bytes:
        """Return the data of a record without its signature; empty if it is rejected."""
        if not data.startswith(_SIGNED_PREFIX):
            if not self._keys.keys or self._keys.accepts_unsigned:
                return data
            self._count(UNSIGNED)
            return b""
        body = data[_BODY_START:]
        if not self._keys.keys:
            self._count(UNVERIFIED)
            return body
        signature = data[len(_SIGNED_PREFIX) : _BODY_START]
        # All keys are tried, so that the time taken reveals nothing about them.
        matches = [hmac.compare_digest(signature, _sign(stream, body, k)) for k in self._keys.keys]
        if any(matches):
            return body
        self._count(FORGED)
        return b""


def sign_log_record(stream: str, data: bytes, key: bytes) -> bytes:
    """Return a record preceded by the signature mark and its signature."""
    return _SIGNED_PREFIX + _sign(stream, data, key) + data


def _sign(stream: str, data: bytes, key: bytes) -> bytes:
    return hmac.digest(key, stream.encode() + b"\0" + data, "sha256")
