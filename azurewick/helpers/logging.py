"""Logging of the daemons."""

from __future__ import annotations

from logging import Formatter
from logging import getLogger
from logging import StreamHandler
import sys

from pythonjsonlogger.json import JsonFormatter

TEXT_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"
JSON_FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"


def setup_logging(
    log_format: str, log_level: str, *, to_stdout: bool = False
) -> None:
    """Send log lines to standard error or output as text or as JSON."""
    handler = StreamHandler(sys.stdout if to_stdout else sys.stderr)
    if log_format == "json":
        handler.setFormatter(JsonFormatter(JSON_FIELDS))
    else:
        handler.setFormatter(Formatter(TEXT_FORMAT))
    root = getLogger()
    root.handlers[:] = [handler]
    root.setLevel(log_level.upper())
