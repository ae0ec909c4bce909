"""Parser for server-sent events (``text/event-stream``) from an endpoint."""

import re
from dataclasses import dataclass

EVENT_END = b"\n\n"
EVENT_ID_PATTERN = re.compile(rb"(?<![^\n])id: ?(\d{1,15})(?=\n)")
# A longer event makes the stream malformed.
MAX_EVENT_BYTES = 1024 * 1024


class MalformedStream(Exception):
    """The bytes are no stream of events."""


@dataclass(frozen=True, slots=True)
class Event:
    """One complete event with an id, or the bytes between two such events.

    Attributes
    ----------
    data : bytes
        The bytes as received, including the terminator.
    id : int, optional
        Its id; the ids of a stream increase by one. None for comments, blank lines, and events that
        can't be resumed after, however many follow each other.
    """

    data: bytes
    id: int | None


class EventParser:
    """Splits received bytes into complete events.

    An endpoint may stop in the middle of an event. Only complete events are forwarded, so that
    another endpoint can resume the stream after the last one.
    """

    def __init__(self) -> None:
        self._remainder = bytearray()

    @property
    def is_at_boundary(self) -> bool:
        """Whether all received bytes belong to complete events."""
        return not self._remainder

    @property
    def incomplete_bytes(self) -> int:
        """Bytes received of the event that is not complete yet."""
        return len(self._remainder)

    def feed(self, data: bytes) -> list[Event]:
        """Add received bytes and return the events that they complete.

        Raises
        ------
        MalformedStream
            If an event exceeds the maximum size.
        """
        # What was searched before is not searched again: an event may come in a million pieces.
        searched = max(0, len(self._remainder) - len(EVENT_END) + 1)
        self._remainder += data
        last_end = self._remainder.rfind(EVENT_END, searched)
        events = []
        if last_end >= 0:
            events = _split_events(bytes(self._remainder[: last_end + len(EVENT_END)]))
            del self._remainder[: last_end + len(EVENT_END)]
        if len(self._remainder) > MAX_EVENT_BYTES:
            raise MalformedStream("an event exceeds the size limit")
        return events


def _split_events(data: bytes) -> list[Event]:
    """Split complete events; those without an id between two others stay together."""
    events = []
    begin = 0
    while (match := EVENT_ID_PATTERN.search(data, begin)) is not None:
        before = data.rfind(EVENT_END, begin, match.start())
        event_begin = begin if before < 0 else before + len(EVENT_END)
        if event_begin > begin:
            events.append(Event(data[begin:event_begin], None))
        begin = data.find(EVENT_END, match.end()) + len(EVENT_END)
        events.append(Event(data[event_begin:begin], int(match.group(1))))
    if begin < len(data):
        events.append(Event(data[begin:], None))
    return events
