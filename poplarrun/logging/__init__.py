"""Structured logging: rate-limited JSON lines, each prefixed with its component."""

from poplarrun.logging import _events as events
from poplarrun.logging._events import EVENTS, Event, count_unwritten, write_event
from poplarrun.logging._formatter import LineFormatter
from poplarrun.logging._setup import component_logger, configure_logging
from poplarrun.logging._writer import LineRateLimiter, NonBlockingHandler

__all__ = [
    "EVENTS",
    "Event",
    "LineFormatter",
    "LineRateLimiter",
    "NonBlockingHandler",
    "component_logger",
    "configure_logging",
    "count_unwritten",
    "events",
    "write_event",
]
