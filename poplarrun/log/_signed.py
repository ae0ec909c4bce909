"""Records signed at the border of the log, in one place for all streams of the hosts."""

import hmac
from collections.abc import Callable
from dataclasses import dataclass, replace

from poplarrun.log._interface import AppendOutcome, Entry, Log, Page, ReadOutcome

# A byte that neither MessagePack nor JSON uses, so no plain record begins so.
_HEADING = b"\xc1S1"
_SIGNATURE_BYTES = 32
_BODY_AT = len(_HEADING) + _SIGNATURE_BYTES
UNSIGNED = "log_record_unsigned"
FORGED = "log_record_forged"
UNCHECKED = "log_record_unchecked"


@dataclass(frozen=True, slots=True)
class LogKeys:
    """The keys that all hosts share.

    Attributes
    ----------
    keys : tuple of bytes
        The first signs; a record that any of them signed counts. Without any,
        nothing is signed and nothing checked.
    accepts_unsigned : bool
        Whether plain records count too, while keys are being introduced.
    """

    keys: tuple[bytes, ...] = ()
    accepts_unsigned: bool = False


class SignedLog:
    """A ``Log`` whose records are signed, and read only with a fitting signature.

    A refused record is given to its reader as an empty one: the offset counts,
    which all folds rely on, and no fold reads anything out of no bytes. The
    signature covers the stream's name, so a record can't be moved to another.

    Parameters
    ----------
    log : Log
        The log itself.
    keys : LogKeys
        The hosts' keys; the same at every host, or their folds differ.
    count : callable
        Counts a record that was refused, or signed and not checked for lack of
        keys, by its reason; called on any thread.
    exempt_streams : frozenset of str
        Streams that carry signatures of their own.
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
        self._plain = exempt_streams

    def append(self, stream: str, data: bytes) -> AppendOutcome:
        """Append one record to a stream, signed when there are keys."""
        if self._keys.keys and stream not in self._plain:
            data = sign_log_record(stream, data, self._keys.keys[0])
        return self._log.append(stream, data)

    def read(self, stream: str, from_offset: int, limit: int) -> ReadOutcome:
        """Read at most ``limit`` records of a stream, refused ones as empty."""
        outcome = self._log.read(stream, from_offset, limit)
        if not isinstance(outcome, Page) or stream in self._plain:
            return outcome
        opened = tuple(Entry(e.offset, self._open(stream, e.data)) for e in outcome.entries)
        return replace(outcome, entries=opened)

    def _open(self, stream: str, data: bytes) -> bytes:
        if not data.startswith(_HEADING):
            if not self._keys.keys or self._keys.accepts_unsigned:
                return data
            self._count(UNSIGNED)
            return b""
        body = data[_BODY_AT:]
        if not self._keys.keys:
            self._count(UNCHECKED)
            return body
        given = data[len(_HEADING) : _BODY_AT]
        # No early end: the time taken tells nothing of the keys.
        fitting = [hmac.compare_digest(given, _sign(stream, body, k)) for k in self._keys.keys]
        if any(fitting):
            return body
        self._count(FORGED)
        return b""


def sign_log_record(stream: str, data: bytes, key: bytes) -> bytes:
    """Return a record with its signature."""
    return _HEADING + _sign(stream, data, key) + data


def _sign(stream: str, data: bytes, key: bytes) -> bytes:
    return hmac.digest(key, stream.encode() + b"\0" + data, "sha256")
