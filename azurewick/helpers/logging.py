"""Log handlers and formats of the daemons."""

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

from azurewick.store.budget import TokenBucket

TEXT_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"
JSON_FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"
# Rate and burst of the log lines of one process. An entry instance writes one
# line per request and serves fewer requests per second than this on one core.
LINES_PER_S = 400.0
BURST_LINES = 800.0


class RateLimitedHandler(Handler):
    """Writes lines to a file descriptor, rate-limited and without blocking.

    Lines are dropped when the pipe is full or the rate is exceeded. The next
    line that is written reports their number in the field left_out. The
    rate doesn't limit warnings and errors.
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
        self.dropped_lines = 0
        self._descriptor = descriptor
        self._bucket = TokenBucket(lines_per_s, burst_lines)
        self._clock = clock
        self._pending = b""

    def emit(self, record: LogRecord) -> None:
        """Write a line, or drop and count it."""
        if not self._flush_pending() or not self._is_within_rate(
            record.levelno
        ):
            self.dropped_lines += 1
            return
        if self.dropped_lines:
            record.left_out = self.dropped_lines
        try:
            data = self.format(record).encode() + b"\n"
        except (TypeError, ValueError):
            self.handleError(record)
            return
        self.dropped_lines = 0
        self._pending = data
        self._flush_pending()

    def _is_within_rate(self, level: int) -> bool:
        return level >= WARNING or (
            self._bucket.reserve(self._clock(), maximum_wait_s=0.0) >= 0
        )

    def _flush_pending(self) -> bool:
        """Write the rest of the last line; return whether it is complete."""
        if not self._pending:
            return True
        try:
            written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            return False
        except OSError:
            # The reader has closed the pipe; discard the line.
            self._pending = b""
            return True
        self._pending = self._pending[written:]
        return not self._pending


def setup_logging(log_format: str, log_level: str) -> None:
    """Send log lines to standard error as text or as JSON."""
    _install_handler(StreamHandler(sys.stderr), log_format, log_level)


def setup_rate_limited_logging(log_level: str) -> None:
    """Send JSON lines to standard output, rate-limited, not blocking."""
    _install_handler(
        RateLimitedHandler(sys.stdout.fileno()), "json", log_level
    )


def _install_handler(
    handler: Handler, log_format: str, log_level: str
) -> None:
    if log_format == "json":
        handler.setFormatter(JsonFormatter(JSON_FIELDS))
    else:
        handler.setFormatter(Formatter(TEXT_FORMAT))
    root = getLogger()
    root.handlers[:] = [handler]
    root.setLevel(log_level.upper())
