"""Frame of a case: temporary folder, record and exit code."""

from __future__ import annotations

import asyncio
from asyncio import Task
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import suppress
import os
from pathlib import Path
import subprocess
import sys
import tempfile
from time import monotonic
import traceback

from review.parts.entry import Entry
from review.parts.entry import free_ports
from review.parts.store import Store

EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_FAILED = 2
LIMIT_S = 110.0


class Case:
    """What a case has started, and its record."""

    def __init__(self, folder: Path, record_path: Path) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = folder
        self.store = Store()
        self.entries: list[Entry] = []
        self.helpers: list[subprocess.Popen[str]] = []
        self.started_s = monotonic()
        self._record_path = record_path
        self._lines: list[str] = []

    def record(self, text: str) -> None:
        """Add a line with the time since the start to the record."""
        self._lines.append(f"{monotonic() - self.started_s:8.3f} {text}")

    def say(self, text: str) -> None:
        """Print a line and add it to the record."""
        print(text, flush=True)
        self.record(text)

    def write_record(self) -> None:
        """Write the record."""
        self._record_path.write_text(
            "\n".join(sorted(self._lines)) + "\n", encoding="utf-8"
        )

    async def start_entries(
        self, count: int, limits: dict[str, float] | None = None
    ) -> None:
        """Start entry instances and wait until they are ready."""
        ports = free_ports(4 * count)
        for index in range(count):
            entry = Entry(
                self.folder,
                f"edge-{index}",
                self.store.address,
                ports[4 * index : 4 * index + 4],
            )
            entry.set_limits(limits or {})
            self.entries.append(entry)
            entry.start()
        for entry in self.entries:
            await entry.wait_ready()
            self.record(f"{entry.name} is ready at {entry.address}")

    def start_helper(self, script: Path, *args: str) -> subprocess.Popen[str]:
        """Start a stand-in that runs as a process of its own."""
        process = subprocess.Popen(
            [sys.executable, str(script), *args],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.helpers.append(process)
        return process

    def stop(self) -> None:
        """End all processes that were started."""
        for entry in self.entries:
            entry.stop()
        for process in self.helpers:
            process.kill()
            process.wait()


async def cancel(*tasks: Task[object]) -> None:
    """Cancel tasks and wait for their end."""
    for task in tasks:
        task.cancel()
    for task in tasks:
        with suppress(asyncio.CancelledError):
            await task


def run(record_path: Path, play: Callable[[Case], Awaitable[bool]]) -> int:
    """Play a case; return the exit code. play returns if the rule held."""

    async def play_in_time() -> bool:
        async with asyncio.timeout(LIMIT_S):
            await case.store.start()
            try:
                return await play(case)
            finally:
                # Ends the connections to the stand-ins first.
                case.stop()
                await asyncio.sleep(0.1)

    with tempfile.TemporaryDirectory() as folder:
        case = Case(Path(folder), record_path)
        try:
            held = asyncio.run(play_in_time())
        except Exception:
            traceback.print_exc()
            case.say("the case could not run")
            return EXIT_FAILED
        finally:
            case.stop()
            case.write_record()
    return EXIT_HELD if held else EXIT_BROKEN
