"""Detection of backend servers that crash under their requests."""

from __future__ import annotations

import asyncio
from asyncio import Task
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
from logging import getLogger

from azurewick.entry.backends import Backend
from azurewick.helpers.connect_probe import async_is_refused
from azurewick.helpers.tasks import async_cancel

_LOGGER = getLogger(__name__)

# All connections to a crashed server end within a few milliseconds. The probe
# waits for the requests that are still to be told of it.
PROBE_DELAY_S = 0.03
# Covers two round trips between regions and a busy machine.
PROBE_TIMEOUT_S = 0.3
# Requests whose connection is lost this long after the crash was found belong
# to it.
CRASH_WINDOW_S = 0.5
MAX_LOGGED_TRAITS = 40


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerCrash:
    """Crash of one run of a backend server.

    server_run names the run: a server that starts again may keep its name.
    traits are those of the requests that the server had been sent and that
    had no sound answer yet.
    """

    server_run: str
    traits: frozenset[str]


class CrashWatch:
    """Tells crashes of backend servers from single broken answers.

    A server that breaks off an answer may go on serving others. One that
    refuses new connections right after it broke off an answer has crashed.
    on_crash is called with each crash, and again when further requests turn
    out to have been in flight there.
    """

    def __init__(
        self,
        on_crash: Callable[[ServerCrash], None],
        clock: Callable[[], float],
        is_refused: Callable[[str, float], Awaitable[bool]] = async_is_refused,
    ) -> None:
        self._on_crash = on_crash
        self._clock = clock
        self._is_refused = is_refused
        # Traits of the requests that each probed server has lost.
        self._pending: dict[str, set[str]] = {}
        self._crashed_s: dict[str, float] = {}
        self._tasks: set[Task[None]] = set()

    async def async_stop(self) -> None:
        """Cancel the running probes."""
        await async_cancel(*self._tasks)

    def record_lost(self, backend: Backend, traits: Iterable[str]) -> None:
        """Record that a request without a sound answer lost its server."""
        run = backend.entry.run_name
        crashed_s = self._crashed_s.get(run)
        if (
            crashed_s is not None
            and self._clock() - crashed_s < CRASH_WINDOW_S
        ):
            self._on_crash(
                ServerCrash(server_run=run, traits=frozenset(traits))
            )
            return
        known = self._pending.get(run)
        if known is not None:
            known.update(traits)
            return
        self._pending[run] = set(traits)
        task = asyncio.create_task(self._async_probe(backend, run))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _async_probe(self, backend: Backend, run: str) -> None:
        try:
            await asyncio.sleep(PROBE_DELAY_S)
            has_crashed = await self._is_refused(
                backend.entry.address, PROBE_TIMEOUT_S
            )
        finally:
            traits = self._pending.pop(run)
        if not has_crashed:
            return
        now_s = self._clock()
        self._crashed_s = {
            name: crashed_s
            for name, crashed_s in self._crashed_s.items()
            if now_s - crashed_s < CRASH_WINDOW_S
        }
        self._crashed_s[run] = now_s
        _LOGGER.info(
            "backend server crashed",
            extra={
                "backend_server": backend.name,
                "started_ms": backend.entry.started_ms,
                "traits": sorted(traits)[:MAX_LOGGED_TRAITS],
            },
        )
        self._on_crash(ServerCrash(server_run=run, traits=frozenset(traits)))
