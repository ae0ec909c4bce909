"""Loggers with a component prefix, and the set-up of JSON log lines.

No line may contain an API key or a prompt.
"""

import logging
from collections.abc import MutableMapping
from typing import Any

from poplarrun.logging._formatter import LineFormatter
from poplarrun.logging._writer import NonBlockingHandler

ROOT_NAME = "poplarrun"


class _ComponentLogger(logging.LoggerAdapter[logging.Logger]):
    """Prefixes each message with the component's name and passes ``extra`` on."""

    def process(
        self, msg: str, kwargs: MutableMapping[str, Any]
    ) -> tuple[str, MutableMapping[str, Any]]:
        assert self.extra is not None
        return f"{self.extra['prefix']}: {msg}", kwargs


def component_logger(component: str) -> logging.LoggerAdapter[logging.Logger]:
    """Return the logger of a component, whose name prefixes each message."""
    return _ComponentLogger(logging.getLogger(ROOT_NAME), {"prefix": component})


def configure_logging(host: str, level: int = logging.INFO) -> NonBlockingHandler:
    """Send all log lines as JSON to standard output, each with the host's name."""
    # No line names a thread, a process or a task, so that no record has to look for them.
    logging.logThreads = logging.logProcesses = logging.logMultiprocessing = False
    handler = NonBlockingHandler()
    handler.setFormatter(LineFormatter(host))
    logger = logging.getLogger(ROOT_NAME)
    logger.handlers = [handler]
    logger.setLevel(level)
    logger.propagate = False
    return handler
