"""Loggers of the parts. No line may hold a key or a prompt."""

import logging
from collections.abc import MutableMapping
from typing import Any

from pythonjsonlogger.json import JsonFormatter

from poplarrun.logging._writer import NonBlockingHandler

ROOT_NAME = "poplarrun"
LINE_FIELDS = "%(asctime)s %(levelname)s %(message)s"


class _PartLogger(logging.LoggerAdapter[logging.Logger]):
    """Puts the part's prefix before each message and passes ``extra`` on."""

    def process(
        self, msg: str, kwargs: MutableMapping[str, Any]
    ) -> tuple[str, MutableMapping[str, Any]]:
        assert self.extra is not None
        return f"{self.extra['prefix']}: {msg}", kwargs


def component_logger(part: str) -> logging.LoggerAdapter[logging.Logger]:
    """Return the logger of a part; its name is the prefix of each line."""
    return _PartLogger(logging.getLogger(ROOT_NAME), {"prefix": part})


def configure_logging(host: str, level: int = logging.INFO) -> NonBlockingHandler:
    """Write JSON lines to standard output, each with the host's name."""
    handler = NonBlockingHandler()
    handler.setFormatter(JsonFormatter(LINE_FIELDS, static_fields={"host": host}))
    logger = logging.getLogger(ROOT_NAME)
    logger.handlers = [handler]
    logger.setLevel(level)
    logger.propagate = False
    return handler
