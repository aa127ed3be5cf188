"""Entry instances as processes, with the store and the backend servers."""

from __future__ import annotations

import asyncio
import json
import os
from pathlib import Path
from random import Random
import signal
import socket
import subprocess
import sys
from time import monotonic

from aiohttp import ClientError
from aiohttp import ClientSession
from aiohttp import ClientTimeout

from fakes.platform_store import FakePlatformStore
from soak.backend import SoakBackend
from soak.callers import Target
from soak.const import API_KEY
from soak.const import CALLER_HOST
from soak.const import CUSTOMER
from soak.const import GRACE_S
from soak.const import HOST
from soak.const import MAX_ATTEMPTS
from soak.const import PATH_BOOKING
from soak.const import PATH_DRAFT
from soak.const import PATH_LOOKUP
from soak.const import PATH_PROBE
from soak.const import ROUTE_TIMEOUT_S
from soak.const import SERVICE_NEXT
from soak.const import SERVICE_PLAIN
from soak.const import SERVICE_STREAM
from soak.proxy import FaultProxy
from soak.records import ConfigurationChange
from soak.records import Departure
from soak.records import History

RESTART_DELAY_S = 0.4
START_TIMEOUT_S = 30.0
# The balancer stops to use an instance after this many missed checks.
MISSED_CHECKS = 2
CHECK_INTERVAL_S = 1.0
CHECK_TIMEOUT_S = 0.8
BACKENDS_PER_SERVICE = 3
PORTS_PER_INSTANCE = 4
SERVICES = (SERVICE_PLAIN, SERVICE_NEXT, SERVICE_STREAM)


class EntryProcess:
    """One entry instance: its process, settings and links."""

    def __init__(self, name: str, folder: Path, store_port: int) -> None:
        self.name = name
        self.process: subprocess.Popen[bytes] | None = None
        self.expects_exit = False
        self.missed = MISSED_CHECKS
        # Set once the instance has been ready for the first time.
        self.ready = asyncio.Event()
        ports = _free_ports(PORTS_PER_INSTANCE)
        self.front = FaultProxy(ports[0])
        self.store = FaultProxy(store_port)
        self.ready_port = ports[1]
        self._ports = ports
        self._settings = folder / f"{name}.json"
        self._log = folder / f"{name}.log"
        self._revision = 0

    async def async_start(self) -> None:
        """Open the links and start the process."""
        await self.front.async_start()
        await self.store.async_start()
        self.write_settings()
        self.start()

    def start(self) -> None:
        """Start the process."""
        self.expects_exit = False
        self.missed = MISSED_CHECKS
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "azurewick.platform.daemon",
                    str(self._settings),
                ],
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def write_settings(self) -> None:
        """Write the settings; each time some unused field differs."""
        self._revision += 1
        front, ready, metrics, _ = self._ports
        text = json.dumps(
            {
                "node_name": self.name,
                "zone": "zone-a",
                "region": "region-a",
                "zones": {"zone-a": "region-a"},
                "listen": {
                    "front": f"{HOST}:{front}",
                    "ready_addr": f"{HOST}:{ready}",
                },
                "port_range": [metrics, metrics + 1],
                "limits": {"max_fds": 1024 + self._revision},
                "bounds": {
                    "grace_s": GRACE_S,
                    "retry_ratio": 0.2,
                    "retry_slack": 50,
                },
                "platform": {"addr": f"{HOST}:{self.store.port}"},
            }
        )
        part = self._settings.with_suffix(".part")
        part.write_text(text, encoding="utf-8")
        part.replace(self._settings)

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            os.kill(self.process.pid, number)

    async def async_stop(self) -> None:
        """End the process and close the links."""
        self.expects_exit = True
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.process is not None:
            await asyncio.to_thread(self.process.wait)
        await self.front.async_stop()
        await self.store.async_stop()


class Fleet:
    """All processes and stand-ins of one soak run."""

    def __init__(
        self, folder: Path, instances: int, seed: int, history: History
    ) -> None:
        self.store = FakePlatformStore()
        self.instances: list[EntryProcess] = []
        self.backends: dict[str, SoakBackend] = {}
        self.links: dict[str, FaultProxy] = {}
        self.history = history
        self._folder = folder
        self._count = instances
        self._random = Random(seed)
        self._version = 0
        self._backend_number = 0
        self._tasks: list[asyncio.Task[None]] = []

    async def async_start(self) -> None:
        """Start everything and wait until the instances are ready."""
        address = await self.store.async_start()
        store_port = int(address.rpartition(":")[2])
        for service in SERVICES:
            for _ in range(BACKENDS_PER_SERVICE):
                await self.async_add_backend(service)
        self.change_configuration()
        for number in range(1, self._count + 1):
            instance = EntryProcess(
                f"entry-{number}", self._folder, store_port
            )
            self.instances.append(instance)
            await instance.async_start()
            self.history.starts.append((instance.name, monotonic()))
        self._tasks = [
            asyncio.create_task(self._async_check(instance))
            for instance in self.instances
        ]
        self._tasks += [
            asyncio.create_task(self._async_restart(instance))
            for instance in self.instances
        ]
        await self._async_wait_ready()

    async def async_stop(self) -> None:
        """Stop everything that was started."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for instance in self.instances:
            await instance.async_stop()
        for name in tuple(self.backends):
            await self.async_crash_backend(name)
        await self.store.async_stop()

    def choose(self, random: Random) -> Target | None:
        """Return an instance as the balancer would."""
        if not self.instances:
            return None
        usable = [
            one for one in self.instances if one.missed < MISSED_CHECKS
        ] or self.instances
        instance = random.choice(usable)
        return Target(name=instance.name, port=instance.front.port)

    async def async_add_backend(self, service: str) -> SoakBackend:
        """Start a backend server and list it in the store."""
        self._backend_number += 1
        backend = SoakBackend(
            f"i-{self._backend_number}",
            service,
            Random(self._random.random()),
            self.history.runs.append,
        )
        await backend.async_start()
        link = FaultProxy(backend.port)
        await link.async_start()
        self.backends[backend.name] = backend
        self.links[backend.name] = link
        self._list(backend, "ready")
        return backend

    async def async_crash_backend(self, name: str) -> None:
        """End a backend server without notice; its entry stays."""
        await self.backends.pop(name).async_stop()
        await self.links.pop(name).async_stop()

    def drain_backend(self, name: str) -> None:
        """Let a backend server say that it leaves."""
        self._list(self.backends[name], "draining")
        self.history.departures.append(
            Departure(backend=name, acknowledged_s=monotonic())
        )

    def remove_entry(self, name: str) -> None:
        """Remove the entry of a backend server, as the store does."""
        self.store.remove("servers", name)

    def change_configuration(self) -> None:
        """Write a newer configuration; the probe route changes service."""
        self._version += 1 + self._random.randrange(3)
        known = self.history.changes
        probe = (
            SERVICE_NEXT
            if known and known[-1].probe_service == SERVICE_PLAIN
            else SERVICE_PLAIN
        )
        self.store.put("config", "main", _configuration(self._version, probe))
        known.append(
            ConfigurationChange(
                version=self._version,
                probe_service=probe,
                acknowledged_s=monotonic(),
            )
        )

    def _list(self, backend: SoakBackend, state: str) -> None:
        address = f"{HOST}:{self.links[backend.name].port}"
        self.store.put(
            "servers",
            backend.name,
            {**backend.entry, "addr": address, "state": state},
        )

    async def _async_wait_ready(self) -> None:
        async with asyncio.timeout(START_TIMEOUT_S):
            for instance in self.instances:
                await instance.ready.wait()

    async def _async_check(self, instance: EntryProcess) -> None:
        """Ask an instance once a second whether it is ready."""
        async with ClientSession(
            timeout=ClientTimeout(total=CHECK_TIMEOUT_S)
        ) as session:
            while True:
                if await _async_is_ready(session, instance.ready_port):
                    instance.missed = 0
                    instance.ready.set()
                else:
                    instance.missed += 1
                await asyncio.sleep(CHECK_INTERVAL_S)

    async def _async_restart(self, instance: EntryProcess) -> None:
        """Start an instance again after its end."""
        while True:
            await asyncio.sleep(0.05)
            process = instance.process
            if process is None or process.poll() is None:
                continue
            if not instance.expects_exit:
                self.history.unexpected_exits.append(
                    f"{instance.name} ended with {process.returncode}"
                )
            await asyncio.sleep(RESTART_DELAY_S)
            instance.start()
            self.history.starts.append((instance.name, monotonic()))


async def _async_is_ready(session: ClientSession, port: int) -> bool:
    try:
        async with session.get(f"http://{HOST}:{port}/readyz") as response:
            return response.status == 200
    except (ClientError, OSError, TimeoutError):
        # The balancer takes any failure for a miss.
        return False


def _configuration(version: int, probe_service: str) -> dict[str, object]:
    routes = [
        _route("lookup", PATH_LOOKUP, "idempotent", SERVICE_PLAIN),
        _route("booking", PATH_BOOKING, "non_idempotent", SERVICE_PLAIN),
        _route("probe", PATH_PROBE, "idempotent", probe_service),
        {
            **_route("draft", PATH_DRAFT, "stream", SERVICE_STREAM),
            "resumable": True,
            "itl_target_ms": 400,
        },
    ]
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": name} for name in SERVICES],
        "tenants": [{"name": CUSTOMER, "api_keys": [API_KEY]}],
    }


def _route(name: str, path: str, kind: str, service: str) -> dict[str, object]:
    return {
        "name": name,
        "host": CALLER_HOST,
        "path_prefix": path,
        "type": kind,
        "service": service,
        "attempts": MAX_ATTEMPTS,
        "goal_ms": 400,
        "timeout_ms": ROUTE_TIMEOUT_S * 1000,
    }


def _free_ports(count: int) -> list[int]:
    """Return free ports; the last two follow each other."""
    while True:
        socks = [socket.socket() for _ in range(count - 1)]
        try:
            for sock in socks:
                sock.bind((HOST, 0))
            ports = [sock.getsockname()[1] for sock in socks]
        finally:
            for sock in socks:
                sock.close()
        if _is_free(ports[-1] + 1) and ports[-1] + 1 not in ports:
            return [*ports, ports[-1] + 1]


def _is_free(port: int) -> bool:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        try:
            sock.bind((HOST, port))
        except OSError:
            return False
        return True
