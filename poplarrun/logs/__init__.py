"""Structured logs: JSON lines, a fixed prefix for each part, never too many."""

from poplarrun.logs import _events as events
from poplarrun.logs._events import EVENTS, Event, write_event
from poplarrun.logs._logs import part_logger, set_up_logs
from poplarrun.logs._writer import BoundedHandler, LineBudget

__all__ = [
    "EVENTS",
    "BoundedHandler",
    "Event",
    "LineBudget",
    "events",
    "part_logger",
    "set_up_logs",
    "write_event",
]
