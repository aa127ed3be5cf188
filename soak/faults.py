"""Random series of overlapping faults, drawn from a seed."""

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

from soak.backend import BackendFaults
from soak.const import CONFIGURATION_DELAY_S
from soak.const import DRAIN_NOTICE_S
from soak.const import GRACE_S
from soak.const import UNDISTURBED_WINDOW_S
from soak.fleet import EntryProcess
from soak.fleet import Fleet
from soak.proxy import FaultProxy
from soak.proxy import LinkState
from soak.records import Disturbance

_LOGGER = getLogger(__name__)

FaultKind = Callable[[], Coroutine[Any, Any, None]]

MEAN_INTERVAL_S = 0.9
# Duration of the phase with planned work only, as a share of the phase with
# faults of all kinds.
PLANNED_SHARE = 0.5
MIN_FAULT_S = 0.3
MAX_FAULT_S = 3.0
# The store removes a server that has missed three heartbeats.
SERVER_EXPIRY_S = 3.6
# Time in which a process that ended is started again and reads its state.
RESTART_S = 2.5
BROKEN_STATES = (
    LinkState.DELAYED,
    LinkState.SILENT,
    LinkState.NO_REPLIES,
    LinkState.RESET,
)


class FaultSeries:
    """Starts random faults at random times, so that they overlap.

    The log names a fault by its method, without the _async_ prefix.
    """

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self._fleet = fleet
        self._random = Random(seed)
        # Grows while it is awaited, as some faults start further tasks.
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
            # Listed twice to be chosen more often, as a fault of a single
            # server rarely coincides with another fault.
            self._async_misbehave,
            self._async_misbehave,
            self._async_crash_backend,
        )

    async def async_run(self, duration_s: float) -> None:
        """Inject faults of all kinds, then do planned work only.

        Planned work must not cut off any request. This can be checked only
        while no other fault affects the instances.
        """
        await self._async_run_faults(
            self._planned + self._unplanned, duration_s
        )
        await asyncio.sleep(UNDISTURBED_WINDOW_S)
        await self._async_run_faults(self._planned, PLANNED_SHARE * duration_s)

    async def _async_run_faults(
        self, kinds: Sequence[FaultKind], duration_s: float
    ) -> None:
        """Start faults for a time, then wait until all have ended."""
        ends_s = monotonic() + duration_s
        while monotonic() < ends_s:
            kind = self._random.choice(kinds)
            _LOGGER.info("fault %s", kind.__name__.removeprefix("_async_"))
            self._tasks.append(asyncio.ensure_future(kind()))
            await asyncio.sleep(self._random.expovariate(1 / MEAN_INTERVAL_S))
        for task in self._tasks:
            await task

    def _random_duration_s(self) -> float:
        return self._random.uniform(MIN_FAULT_S, MAX_FAULT_S)

    def _random_instance(self) -> EntryProcess:
        return self._random.choice(self._fleet.instances)

    def _begin_disturbance(
        self,
        kind: str,
        instance: str = "",
        *,
        is_planned: bool = False,
    ) -> Disturbance:
        """Record a disturbance; it lasts until the caller sets ended_s."""
        disturbance = Disturbance(
            kind=kind,
            started_s=monotonic(),
            ended_s=float("inf"),
            instance=instance,
            is_planned=is_planned,
        )
        self._fleet.history.disturbances.append(disturbance)
        return disturbance

    async def _async_kill(self) -> None:
        """Kill an instance."""
        await self._async_kill_instance(self._random_instance())

    async def _async_kill_many(self) -> None:
        """Kill several instances at once."""
        chosen = [
            instance
            for instance in self._fleet.instances
            if self._random.random() < 0.7
        ]
        await asyncio.gather(
            *(self._async_kill_instance(instance) for instance in chosen)
        )

    async def _async_kill_instance(self, instance: EntryProcess) -> None:
        disturbance = self._begin_disturbance("kill", instance.name)
        instance.expects_exit = True
        instance.send_signal(SIGKILL)
        await asyncio.sleep(RESTART_S)
        disturbance.ended_s = monotonic()

    async def _async_terminate(self) -> None:
        """Stop an instance gracefully; the fleet starts it again."""
        await self._async_stop_gracefully(self._random_instance())

    async def _async_roll(self) -> None:
        """Restart all instances in turn, as in a rolling restart."""
        for instance in tuple(self._fleet.instances):
            task = asyncio.ensure_future(self._async_stop_gracefully(instance))
            self._tasks.append(task)
            await asyncio.sleep(self._random.uniform(0.2, 1.5))

    async def _async_stop_gracefully(self, instance: EntryProcess) -> None:
        if instance.expects_exit:
            return
        disturbance = self._begin_disturbance(
            "term", instance.name, is_planned=True
        )
        instance.expects_exit = True
        process = instance.process
        instance.send_signal(SIGTERM)
        await asyncio.sleep(GRACE_S)
        if instance.process is process:
            instance.send_signal(SIGKILL)
        await asyncio.sleep(RESTART_S)
        disturbance.ended_s = monotonic()

    async def _async_pause(self) -> None:
        """Suspend an instance by SIGSTOP for a random time."""
        instance = self._random_instance()
        disturbance = self._begin_disturbance("pause", instance.name)
        instance.send_signal(SIGSTOP)
        await asyncio.sleep(self._random_duration_s())
        instance.send_signal(SIGCONT)
        disturbance.ended_s = monotonic()

    async def _async_reload(self) -> None:
        """Write new settings and in most cases send SIGHUP."""
        instance = self._random_instance()
        disturbance = self._begin_disturbance(
            "reload", instance.name, is_planned=True
        )
        instance.write_settings()
        if self._random.random() < 0.7 and instance.missed_checks == 0:
            instance.send_signal(SIGHUP)
        await asyncio.sleep(CONFIGURATION_DELAY_S)
        disturbance.ended_s = monotonic()

    async def _async_break_store(self) -> None:
        """Make the store fail, or hold each call, for all instances."""
        disturbance = self._begin_disturbance("store")
        store = self._fleet.store
        if self._random.random() < 0.5:
            store.is_down = True
        else:
            store.is_silent = True
        await asyncio.sleep(self._random_duration_s())
        store.is_down = store.is_silent = False
        disturbance.ended_s = monotonic()

    async def _async_break_store_of_one(self) -> None:
        """Break the link between an instance and the store."""
        instance = self._random_instance()
        await self._async_break_link(
            instance.store_link, "store link", instance.name
        )

    async def _async_lose_writes(self) -> None:
        """Let some writes to the store take effect without a response."""
        disturbance = self._begin_disturbance("lost writes")
        self._fleet.store.lose_answers = self._random.randint(1, 4)
        await asyncio.sleep(self._random_duration_s())
        self._fleet.store.lose_answers = 0
        disturbance.ended_s = monotonic()

    async def _async_forget_history(self) -> None:
        """Drop the history of the store, so that watches expire."""
        disturbance = self._begin_disturbance("forgotten history")
        self._fleet.store.forget_history()
        await asyncio.sleep(MIN_FAULT_S)
        disturbance.ended_s = monotonic()

    async def _async_break_front(self) -> None:
        """Break the link between the callers and an instance."""
        instance = self._random_instance()
        await self._async_break_link(
            instance.front_link, "caller link", instance.name
        )

    async def _async_break_backend_link(self) -> None:
        """Break the link between the instances and a backend server."""
        links = list(self._fleet.backend_links.values())
        await self._async_break_link(
            self._random.choice(links), "server link", ""
        )

    async def _async_break_link(
        self, link: FaultProxy, kind: str, instance: str
    ) -> None:
        disturbance = self._begin_disturbance(kind, instance)
        state = self._random.choice(BROKEN_STATES)
        link.set_state(state, delay_s=self._random.uniform(0.02, 0.4))
        await asyncio.sleep(self._random_duration_s())
        link.set_state(LinkState.OPEN)
        if self._random.random() < 0.5:
            # After a network failure, old connections often stay dead.
            link.reset_connections()
        disturbance.ended_s = monotonic()

    async def _async_misbehave(self) -> None:
        """Inject random faults into backend servers of one service."""
        chosen = self._random.choice(list(self._fleet.backends.values()))
        # Other servers of the service often get the same faults, so that a
        # retry may fail as well.
        affected = [
            backend
            for backend in self._fleet.backends.values()
            if backend is chosen
            or (
                backend.service == chosen.service
                and self._random.random() < 0.5
            )
        ]
        disturbance = self._begin_disturbance("misbehaviour")
        faults = self._random.choice(
            (
                BackendFaults(error_share=0.5),
                BackendFaults(truncation_share=0.3),
                BackendFaults(lost_answer_share=0.3),
                BackendFaults(rejection_share=0.6),
                BackendFaults(
                    error_share=0.4, truncation_share=0.2, rejection_share=0.2
                ),
                BackendFaults(slowdown_factor=8.0),
            )
        )
        for backend in affected:
            backend.faults = faults
        await asyncio.sleep(self._random_duration_s())
        for backend in affected:
            backend.faults = BackendFaults()
        disturbance.ended_s = monotonic()

    async def _async_drain_backend(self) -> None:
        """Replace a backend server: drain it, then stop and remove it."""
        name = self._random.choice(list(self._fleet.backends))
        service = self._fleet.backends[name].service
        await self._fleet.async_add_backend(service)
        self._fleet.drain_backend(name)
        await asyncio.sleep(DRAIN_NOTICE_S + self._random_duration_s())
        if name in self._fleet.backends:
            await self._fleet.async_crash_backend(name)
            self._fleet.remove_entry(name)

    async def _async_crash_backend(self) -> None:
        """Crash a backend server; its entry is removed later."""
        name = self._random.choice(list(self._fleet.backends))
        disturbance = self._begin_disturbance("server crash")
        service = self._fleet.backends[name].service
        await self._fleet.async_crash_backend(name)
        await self._fleet.async_add_backend(service)
        await asyncio.sleep(SERVER_EXPIRY_S)
        self._fleet.remove_entry(name)
        disturbance.ended_s = monotonic()

    async def _async_configure(self) -> None:
        """Write a new configuration."""
        disturbance = self._begin_disturbance("configuration", is_planned=True)
        self._fleet.change_configuration()
        await asyncio.sleep(CONFIGURATION_DELAY_S + 1.0)
        disturbance.ended_s = monotonic()

    async def _async_configure_often(self) -> None:
        """Write several configurations shortly after one another."""
        for _ in range(self._random.randint(2, 5)):
            task = asyncio.ensure_future(self._async_configure())
            self._tasks.append(task)
            await asyncio.sleep(self._random.uniform(0.05, 0.6))
