"""Parser for server-sent events (``text/event-stream``) from an endpoint."""

import re
from dataclasses import dataclass

EVENT_END = b"\n\n"
EVENT_ID_PATTERN = re.compile(rb"(?:^|\n)id: ?(\d{1,15})(?:\n|$)")
# A longer event makes the stream malformed.
MAX_EVENT_BYTES = 1024 * 1024


class MalformedStream(Exception):
    """The bytes are no stream of events."""


@dataclass(frozen=True, slots=True)
class Event:
    """One complete event.

    Attributes
    ----------
    data : bytes
        The event as received, including its terminator.
    id : int, optional
        Its id; the ids of a stream increase by one.
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
        events = []
        begin = 0
        while (end := self._remainder.find(EVENT_END, max(begin, searched))) >= 0:
            event_end = end + len(EVENT_END)
            event_bytes = bytes(self._remainder[begin:event_end])
            match = EVENT_ID_PATTERN.search(event_bytes)
            events.append(Event(event_bytes, int(match.group(1)) if match else None))
            begin = event_end
        if begin:
            del self._remainder[:begin]
        if len(self._remainder) > MAX_EVENT_BYTES:
            raise MalformedStream("an event exceeds the size limit")
        return events
