"""Seeded series of faults that overlap."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Sequence
from logging import getLogger
from random import Random
from signal import SIGCONT
from signal import SIGHUP
from signal import SIGKILL
from signal import SIGSTOP
from signal import SIGTERM
from time import monotonic
from typing import Any

from soak.backend import Misbehaviour
from soak.const import CONFIG_S
from soak.const import DRAIN_S
from soak.const import GRACE_S
from soak.const import STABLE_WINDOW_S
from soak.fleet import EntryProcess
from soak.fleet import Fleet
from soak.proxy import FaultProxy
from soak.proxy import LinkState
from soak.records import Disturbance

_LOGGER = getLogger(__name__)

FaultKind = Callable[[], Coroutine[Any, Any, None]]

MEAN_GAP_S = 0.9
# Time with planned work alone against that with all faults.
PLANNED_PART = 0.5
SHORTEST_S = 0.3
LONGEST_S = 3.0
# The store removes a silent server after three heartbeats.
LAPSE_S = 3.6
# A process that was killed or stopped starts and reads its state.
START_S = 2.5
BROKEN_LINKS = (
    LinkState.DELAYED,
    LinkState.SILENT,
    LinkState.NO_REPLIES,
    LinkState.RESET,
)


class FaultSeries:
    """Starts faults at random times; they overlap."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self._fleet = fleet
        self._random = Random(seed)
        # Grows while it is awaited, as series start further faults.
        self._tasks: list[asyncio.Task[None]] = []
        self._planned: tuple[FaultKind, ...] = (
            self._async_terminate,
            self._async_roll,
            self._async_reload,
            self._async_drain_backend,
            self._async_configure,
            self._async_configure_often,
        )
        self._unplanned: tuple[FaultKind, ...] = (
            self._async_kill,
            self._async_kill_many,
            self._async_pause,
            self._async_break_store,
            self._async_break_store_of_one,
            self._async_lose_writes,
            self._async_forget_history,
            self._async_break_front,
            self._async_break_backend_link,
            # Twice, as one server's fault alone rarely meets another one.
            self._async_misbehave,
            self._async_misbehave,
            self._async_crash_backend,
        )

    async def async_run(self, duration_s: float) -> None:
        """Play faults of all kinds, then planned work alone.

        Planned work may cut off no request, which only shows while nothing
        else disturbs the instances.
        """
        await self._async_play(self._planned + self._unplanned, duration_s)
        await asyncio.sleep(STABLE_WINDOW_S)
        await self._async_play(self._planned, PLANNED_PART * duration_s)

    async def _async_play(
        self, kinds: Sequence[FaultKind], duration_s: float
    ) -> None:
        """Start faults for a time, then wait for the end of the last one."""
        ends_s = monotonic() + duration_s
        while monotonic() < ends_s:
            kind = self._random.choice(kinds)
            _LOGGER.info("fault %s", kind.__name__.removeprefix("_async_"))
            self._tasks.append(asyncio.ensure_future(kind()))
            await asyncio.sleep(self._random.expovariate(1 / MEAN_GAP_S))
        for task in self._tasks:
            await task

    def _duration_s(self) -> float:
        return self._random.uniform(SHORTEST_S, LONGEST_S)

    def _instance(self) -> EntryProcess:
        return self._random.choice(self._fleet.instances)

    def _note(
        self,
        kind: str,
        instance: str = "",
        *,
        is_planned: bool = False,
    ) -> Disturbance:
        """Record a disturbance that lasts until its end is set."""
        noted = Disturbance(
            kind=kind,
            started_s=monotonic(),
            ended_s=float("inf"),
            instance=instance,
            is_planned=is_planned,
        )
        self._fleet.history.disturbances.append(noted)
        return noted

    async def _async_kill(self) -> None:
        await self._async_end(self._instance())

    async def _async_kill_many(self) -> None:
        chosen = [
            one for one in self._fleet.instances if self._random.random() < 0.7
        ]
        await asyncio.gather(*(self._async_end(one) for one in chosen))

    async def _async_end(self, instance: EntryProcess) -> None:
        noted = self._note("kill", instance.name)
        instance.expects_exit = True
        instance.send(SIGKILL)
        await asyncio.sleep(START_S)
        noted.ended_s = monotonic()

    async def _async_terminate(self) -> None:
        await self._async_stop_gracefully(self._instance())

    async def _async_roll(self) -> None:
        for instance in tuple(self._fleet.instances):
            task = asyncio.ensure_future(self._async_stop_gracefully(instance))
            self._tasks.append(task)
            await asyncio.sleep(self._random.uniform(0.2, 1.5))

    async def _async_stop_gracefully(self, instance: EntryProcess) -> None:
        if instance.expects_exit:
            return
        noted = self._note("term", instance.name, is_planned=True)
        instance.expects_exit = True
        process = instance.process
        instance.send(SIGTERM)
        await asyncio.sleep(GRACE_S)
        if instance.process is process:
            instance.send(SIGKILL)
        await asyncio.sleep(START_S)
        noted.ended_s = monotonic()

    async def _async_pause(self) -> None:
        instance = self._instance()
        noted = self._note("pause", instance.name)
        instance.send(SIGSTOP)
        await asyncio.sleep(self._duration_s())
        instance.send(SIGCONT)
        noted.ended_s = monotonic()

    async def _async_reload(self) -> None:
        instance = self._instance()
        noted = self._note("reload", instance.name, is_planned=True)
        instance.write_settings()
        if self._random.random() < 0.7 and instance.missed == 0:
            instance.send(SIGHUP)
        await asyncio.sleep(CONFIG_S)
        noted.ended_s = monotonic()

    async def _async_break_store(self) -> None:
        noted = self._note("store")
        store = self._fleet.store
        if self._random.random() < 0.5:
            store.is_down = True
        else:
            store.is_silent = True
        await asyncio.sleep(self._duration_s())
        store.is_down = store.is_silent = False
        noted.ended_s = monotonic()

    async def _async_break_store_of_one(self) -> None:
        instance = self._instance()
        await self._async_break(instance.store, "store link", instance.name)

    async def _async_lose_writes(self) -> None:
        noted = self._note("lost writes")
        self._fleet.store.lose_answers = self._random.randint(1, 4)
        await asyncio.sleep(self._duration_s())
        self._fleet.store.lose_answers = 0
        noted.ended_s = monotonic()

    async def _async_forget_history(self) -> None:
        noted = self._note("forgotten history")
        self._fleet.store.forget_history()
        await asyncio.sleep(SHORTEST_S)
        noted.ended_s = monotonic()

    async def _async_break_front(self) -> None:
        instance = self._instance()
        await self._async_break(instance.front, "caller link", instance.name)

    async def _async_break_backend_link(self) -> None:
        links = list(self._fleet.links.values())
        await self._async_break(self._random.choice(links), "server link", "")

    async def _async_break(
        self, link: FaultProxy, kind: str, instance: str
    ) -> None:
        noted = self._note(kind, instance)
        state = self._random.choice(BROKEN_LINKS)
        link.set_state(state, delay_s=self._random.uniform(0.02, 0.4))
        await asyncio.sleep(self._duration_s())
        link.set_state(LinkState.OPEN)
        if self._random.random() < 0.5:
            # A cut link often comes back with its old connections dead.
            link.reset_connections()
        noted.ended_s = monotonic()

    async def _async_misbehave(self) -> None:
        chosen = self._random.choice(list(self._fleet.backends.values()))
        # Often all servers of a service: a repeat meets the next fault.
        affected = [
            one
            for one in self._fleet.backends.values()
            if one is chosen
            or (one.service == chosen.service and self._random.random() < 0.5)
        ]
        noted = self._note("misbehaviour")
        misbehaviour = self._random.choice(
            (
                Misbehaviour(error=0.5),
                Misbehaviour(torn=0.3),
                Misbehaviour(mute=0.3),
                Misbehaviour(reject=0.6),
                Misbehaviour(error=0.4, torn=0.2, reject=0.2),
                Misbehaviour(slowdown=8.0),
            )
        )
        for backend in affected:
            backend.misbehaviour = misbehaviour
        await asyncio.sleep(self._duration_s())
        for backend in affected:
            backend.misbehaviour = Misbehaviour()
        noted.ended_s = monotonic()

    async def _async_drain_backend(self) -> None:
        name = self._random.choice(list(self._fleet.backends))
        service = self._fleet.backends[name].service
        await self._fleet.async_add_backend(service)
        self._fleet.drain_backend(name)
        await asyncio.sleep(DRAIN_S + self._duration_s())
        if name in self._fleet.backends:
            await self._fleet.async_crash_backend(name)
            self._fleet.remove_entry(name)

    async def _async_crash_backend(self) -> None:
        name = self._random.choice(list(self._fleet.backends))
        noted = self._note("server crash")
        service = self._fleet.backends[name].service
        await self._fleet.async_crash_backend(name)
        await self._fleet.async_add_backend(service)
        await asyncio.sleep(LAPSE_S)
        self._fleet.remove_entry(name)
        noted.ended_s = monotonic()

    async def _async_configure(self) -> None:
        noted = self._note("configuration", is_planned=True)
        self._fleet.change_configuration()
        await asyncio.sleep(CONFIG_S + 1.0)
        noted.ended_s = monotonic()

    async def _async_configure_often(self) -> None:
        for _ in range(self._random.randint(2, 5)):
            task = asyncio.ensure_future(self._async_configure())
            self._tasks.append(task)
            await asyncio.sleep(self._random.uniform(0.05, 0.6))
