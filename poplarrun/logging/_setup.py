"""Loggers with a component prefix, and the set-up of JSON log lines.

No line may contain an API key or a prompt.
"""

import logging
from collections.abc import MutableMapping
from typing import Any

from pythonjsonlogger.json import JsonFormatter

from poplarrun.logging._writer import NonBlockingHandler

ROOT_NAME = "poplarrun"
LINE_FIELDS = "%(asctime)s %(levelname)s %(message)s"


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
    handler = NonBlockingHandler()
    handler.setFormatter(JsonFormatter(LINE_FIELDS, static_fields={"host": host}))
    logger = logging.getLogger(ROOT_NAME)
    logger.handlers = [handler]
    logger.setLevel(level)
    logger.propagate = False
    return handler
