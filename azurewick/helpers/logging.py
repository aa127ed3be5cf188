"""Logging of the daemons."""

from __future__ import annotations

from collections.abc import Callable
from logging import Formatter
from logging import getLogger
from logging import Handler
from logging import LogRecord
from logging import StreamHandler
from logging import WARNING
import os
import sys
from time import monotonic

from pythonjsonlogger.json import JsonFormatter

from azurewick.store.budget import CallBudget

TEXT_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"
JSON_FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"
# Lines a second of one process and its burst. An entry instance writes one
# line a request, and serves fewer requests than this on one core.
LINES_PER_S = 400.0
BURST_LINES = 800.0


class BoundedHandler(Handler):
    """Writes lines to a descriptor without blocking and within a rate.

    Lines that a full pipe or the rate leave out are counted; the next line
    that gets through says how many. Warnings and errors ignore the rate.
    """

    def __init__(
        self,
        descriptor: int,
        *,
        lines_per_s: float = LINES_PER_S,
        burst_lines: float = BURST_LINES,
        clock: Callable[[], float] = monotonic,
    ) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self.left_out = 0
        self._descriptor = descriptor
        self._budget = CallBudget(lines_per_s, burst_lines)
        self._clock = clock
        self._pending = b""

    def emit(self, record: LogRecord) -> None:
        """Write a line, or count it as left out."""
        if not self._flush_pending() or not self._may_write(record.levelno):
            self.left_out += 1
            return
        if self.left_out:
            record.left_out = self.left_out
        try:
            data = self.format(record).encode() + b"\n"
        except (TypeError, ValueError):
            self.handleError(record)
            return
        self.left_out = 0
        self._pending = data
        self._flush_pending()

    def _may_write(self, level: int) -> bool:
        return level >= WARNING or (
            self._budget.reserve(self._clock(), maximum_wait_s=0.0) >= 0
        )

    def _flush_pending(self) -> bool:
        """Write what is left of the last line; return whether all went."""
        if not self._pending:
            return True
        try:
            written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            return False
        except OSError:
            # The reader has gone; the lines have no other place to go.
            self._pending = b""
            return True
        self._pending = self._pending[written:]
        return not self._pending


def setup_logging(log_format: str, log_level: str) -> None:
    """Send log lines to standard error as text or as JSON."""
    _setup(StreamHandler(sys.stderr), log_format, log_level)


def setup_bounded_logging(log_level: str) -> None:
    """Send JSON lines to standard output, bounded and without blocking."""
    _setup(BoundedHandler(sys.stdout.fileno()), "json", log_level)


def _setup(handler: Handler, log_format: str, log_level: str) -> None:
    if log_format == "json":
        handler.setFormatter(JsonFormatter(JSON_FIELDS))
    else:
        handler.setFormatter(Formatter(TEXT_FORMAT))
    root = getLogger()
    root.handlers[:] = [handler]
    root.setLevel(log_level.upper())
