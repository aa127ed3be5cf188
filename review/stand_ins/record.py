"""Record of what was sent, answered and run."""

from __future__ import annotations

from pathlib import Path
from time import monotonic


class Record:
    """Lines with the time since the start of the case."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_s = monotonic()

    def write(self, event: str, **fields: object) -> None:
        """Write one line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        time_s = monotonic() - self._started_s
        self._file.write(f"{time_s:9.3f} {event} {text}\n")
        self._file.flush()
