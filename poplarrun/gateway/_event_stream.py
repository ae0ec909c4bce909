"""Events of a stream (``text/event-stream``), cut from the bytes of an endpoint."""

import re
from dataclasses import dataclass

EVENT_END = b"\n\n"
EVENT_ID = re.compile(rb"(?:^|\n)id: ?(\d{1,15})(?:\n|$)")
# An event longer than this is no event, in bytes.
MOST_EVENT_BYTES = 1024 * 1024


class MalformedStream(Exception):
    """The bytes are no stream of events."""


@dataclass(frozen=True, slots=True)
class Event:
    """One whole event.

    Attributes
    ----------
    data : bytes
        As it came, with its end.
    id : int, optional
        Its id; ids of a stream increase by one.
    """

    data: bytes
    id: int | None


class EventParser:
    """Cuts bytes into whole events.

    An endpoint may stop in the middle of an event. What is passed on ends with a
    whole one, so that another endpoint can go on behind it.
    """

    def __init__(self) -> None:
        self._rest = b""

    @property
    def is_between(self) -> bool:
        """Whether no part of an event is left over."""
        return not self._rest

    def feed(self, data: bytes) -> list[Event]:
        """Take in bytes and return the events that are whole now.

        Raises
        ------
        NoEvents
            When no event ends for too long.
        """
        rest = self._rest + data
        events = []
        while (end := rest.find(EVENT_END)) >= 0:
            whole, rest = rest[: end + len(EVENT_END)], rest[end + len(EVENT_END) :]
            match = EVENT_ID.search(whole)
            events.append(Event(whole, int(match.group(1)) if match else None))
        if len(rest) > MOST_EVENT_BYTES:
            raise MalformedStream("an event has no end")
        self._rest = rest
        return events
