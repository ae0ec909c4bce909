"""Structured logs: JSON lines, a fixed prefix for each part."""

from poplarrun.logs._logs import part_logger, set_up_logs

__all__ = ["part_logger", "set_up_logs"]
