"""Frame of a case: start, check, end of all processes, exit code."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import os
from pathlib import Path
import sys
from tempfile import TemporaryDirectory
import traceback

from fakes.platform_store import FakePlatformStore
from stand_ins.deployment import async_start_store
from stand_ins.entry_process import EntryProcess
from stand_ins.record import Record
from stand_ins.replica import Replica

EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2
TIME_LIMIT_S = 110.0
# After this time without disturbance a machine is in touch.
STABLE_WINDOW_S = 3.0


class Case:
    """Running case. trouble is unset for the run without the disruption."""

    def __init__(self, folder: Path, record: Record) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = record
        self.store: FakePlatformStore | None = None
        self.entries: list[EntryProcess] = []
        self.replicas: list[Replica] = []
        self._folder = folder

    async def async_start(
        self,
        replicas: Sequence[Replica],
        *,
        memory_mb: int | None = None,
        answer_attempts: int = 2,
    ) -> EntryProcess:
        """Start the store, the replicas and one entry instance in touch."""
        self.replicas = list(replicas)
        self.store, address = await async_start_store(
            replicas, answer_attempts
        )
        entry = EntryProcess(
            "edge-pl-north-1",
            self._folder,
            address,
            self.record,
            memory_mb=memory_mb,
        )
        self.entries.append(entry)
        await entry.async_start()
        await asyncio.sleep(STABLE_WINDOW_S)
        self.record.write("in touch", machine=entry.name)
        return entry

    async def async_stop(self) -> None:
        """End everything that was started."""
        for entry in self.entries:
            await entry.async_stop()
        for replica in self.replicas:
            await replica.async_stop()
        if self.store is not None:
            await self.store.async_stop()

    def keep_logs(self, target: Path) -> None:
        """Copy the logs of the entry instances for a look at a failure."""
        for entry in self.entries:
            path = target / f"{entry.name}.log"
            path.write_text(entry.log_text(), encoding="utf-8")


def run_case(
    file: str, async_check: Callable[[Case], Awaitable[bool]]
) -> None:
    """Run a case and exit; async_check returns whether the rule broke."""
    record = Record(Path(file).parent / "record.txt")
    code = asyncio.run(_async_run(async_check, record))
    record.write("exit", code=code)
    sys.exit(code)


async def _async_run(
    async_check: Callable[[Case], Awaitable[bool]], record: Record
) -> int:
    with TemporaryDirectory() as name:
        case = Case(Path(name), record)
        try:
            async with asyncio.timeout(TIME_LIMIT_S):
                broken = await async_check(case)
        except Exception as err:
            traceback.print_exc()
            record.write("the case couldn't run", error=repr(err))
            return EXIT_NOT_RUN
        finally:
            await case.async_stop()
            logs = os.environ.get("KEEP_LOGS")
            if logs:
                case.keep_logs(Path(logs))
    return EXIT_BROKEN if broken else EXIT_HELD
