"""Entry instances as processes, with the store and the backend servers."""

from __future__ import annotations

import asyncio
import json
import os
from pathlib import Path
from random import Random
import signal
import subprocess
import sys
from time import monotonic

from aiohttp import ClientError
from aiohttp import ClientSession
from aiohttp import ClientTimeout

from azurewick.platform.const import ENV_NODE_FILE
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
from soak.ports import PortBlock
from soak.proxy import FaultProxy
from soak.records import BackendDrain
from soak.records import ConfigurationChange
from soak.records import History

RESTART_DELAY_S = 0.4
START_TIMEOUT_S = 30.0
# The load balancer stops using an instance after this many failed checks.
MAX_MISSED_CHECKS = 2
CHECK_INTERVAL_S = 1.0
CHECK_TIMEOUT_S = 0.8
BACKENDS_PER_SERVICE = 3
PORTS_PER_INSTANCE = 4
SERVICES = (SERVICE_PLAIN, SERVICE_NEXT, SERVICE_STREAM)


class EntryProcess:
    """One entry instance: its process, settings file and proxied links.

    front_link carries the connections of callers, store_link those to the
    store. missed_checks counts the readiness checks failed in a row.
    """

    def __init__(self, name: str, folder: Path, store_port: int) -> None:
        self.name = name
        self.process: subprocess.Popen[bytes] | None = None
        self.expects_exit = False
        self.missed_checks = MAX_MISSED_CHECKS
        # Set once the instance has been ready for the first time.
        self.ready = asyncio.Event()
        self._port_block = PortBlock(PORTS_PER_INSTANCE)
        ports = self._port_block.ports
        self.front_link = FaultProxy(ports[0])
        self.store_link = FaultProxy(store_port)
        self.ready_port = ports[1]
        self._ports = ports
        self._settings = folder / f"{name}.json"
        self._log = folder / f"{name}.log"
        self._revision = 0

    async def async_start(self) -> None:
        """Open the links and start the process."""
        await self.front_link.async_start()
        await self.store_link.async_start()
        self.write_settings()
        self.start()

    def start(self) -> None:
        """Start the process."""
        self.expects_exit = False
        self.missed_checks = MAX_MISSED_CHECKS
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "azurewick.platform"],
                env={**os.environ, ENV_NODE_FILE: str(self._settings)},
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def write_settings(self) -> None:
        """Write the settings file.

        Each file has a higher max_fds, so that a reload finds a change. The
        limit is far above the number of connections of the soak test.
        """
        self._revision += 1
        front_port, ready_port, metrics_port, _ = self._ports
        text = json.dumps(
            {
                "node_name": self.name,
                "zone": "zone-a",
                "region": "region-a",
                "zones": {"zone-a": "region-a"},
                "listen": {
                    "front": f"{HOST}:{front_port}",
                    "ready_addr": f"{HOST}:{ready_port}",
                },
                "port_range": [metrics_port, metrics_port + 1],
                "limits": {"max_fds": 1024 + self._revision},
                "bounds": {
                    "grace_s": GRACE_S,
                    "retry_ratio": 0.2,
                    "retry_slack": 50,
                },
                "platform": {"addr": f"{HOST}:{self.store_link.port}"},
            }
        )
        part_file = self._settings.with_suffix(".part")
        part_file.write_text(text, encoding="utf-8")
        part_file.replace(self._settings)

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.process is not None and self.process.poll() is None:
            os.kill(self.process.pid, signal_number)

    async def async_stop(self) -> None:
        """Kill the process and close the links."""
        self.expects_exit = True
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            await asyncio.to_thread(self.process.wait)
        await self.front_link.async_stop()
        await self.store_link.async_stop()
        self._port_block.release()


class Fleet:
    """Entry instances, store and backend servers of one soak run.

    instances is the number of entry instances. Backend servers and their
    links are kept by the name of the server.
    """

    def __init__(
        self, folder: Path, instances: int, seed: int, history: History
    ) -> None:
        self.store = FakePlatformStore()
        self.instances: list[EntryProcess] = []
        self.backends: dict[str, SoakBackend] = {}
        self.backend_links: dict[str, FaultProxy] = {}
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
            asyncio.create_task(self._async_check_readiness(instance))
            for instance in self.instances
        ]
        self._tasks += [
            asyncio.create_task(self._async_restart_after_exit(instance))
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

    def choose_target(self, random: Random) -> Target | None:
        """Return a random instance, as a load balancer would.

        Instances that failed too many checks are used only when there is no
        other one. Returns None when no instance has been started.
        """
        if not self.instances:
            return None
        usable = [
            instance
            for instance in self.instances
            if instance.missed_checks < MAX_MISSED_CHECKS
        ] or self.instances
        instance = random.choice(usable)
        return Target(
            name=instance.name,
            port=instance.front_link.port,
            has_refused=instance.front_link.has_refused,
        )

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
        self.backend_links[backend.name] = link
        self._write_server_entry(backend, "ready")
        return backend

    async def async_crash_backend(self, name: str) -> None:
        """Stop a backend server abruptly; its entry stays in the store."""
        await self.backends.pop(name).async_stop()
        await self.backend_links.pop(name).async_stop()

    def drain_backend(self, name: str) -> None:
        """Mark a backend server as draining in the store."""
        self._write_server_entry(self.backends[name], "draining")
        self.history.drains.append(
            BackendDrain(backend=name, acknowledged_s=monotonic())
        )

    def remove_entry(self, name: str) -> None:
        """Remove the entry of a backend server from the store.

        The store does so itself when a server has stopped its heartbeats.
        """
        self.store.remove("servers", name)

    def change_configuration(self) -> None:
        """Write a newer configuration that changes the probe's service."""
        self._version += 1 + self._random.randrange(3)
        changes = self.history.changes
        probe = (
            SERVICE_NEXT
            if changes and changes[-1].probe_service == SERVICE_PLAIN
            else SERVICE_PLAIN
        )
        self.store.put("config", "main", _configuration(self._version, probe))
        changes.append(
            ConfigurationChange(
                version=self._version,
                probe_service=probe,
                acknowledged_s=monotonic(),
            )
        )

    def _write_server_entry(self, backend: SoakBackend, state: str) -> None:
        address = f"{HOST}:{self.backend_links[backend.name].port}"
        self.store.put(
            "servers",
            backend.name,
            {**backend.server_spec, "addr": address, "state": state},
        )

    async def _async_wait_ready(self) -> None:
        async with asyncio.timeout(START_TIMEOUT_S):
            for instance in self.instances:
                await instance.ready.wait()

    async def _async_check_readiness(self, instance: EntryProcess) -> None:
        """Check every CHECK_INTERVAL_S whether an instance is ready."""
        async with ClientSession(
            timeout=ClientTimeout(total=CHECK_TIMEOUT_S)
        ) as session:
            while True:
                if await _async_is_ready(session, instance.ready_port):
                    instance.missed_checks = 0
                    instance.ready.set()
                else:
                    instance.missed_checks += 1
                await asyncio.sleep(CHECK_INTERVAL_S)

    async def _async_restart_after_exit(self, instance: EntryProcess) -> None:
        """Start the process of an instance again whenever it has ended."""
        while True:
            await asyncio.sleep(0.05)
            process = instance.process
            if process is None or process.poll() is None:
                continue
            if not instance.expects_exit:
                self.history.unexpected_exits.append(
                    f"{instance.name} exited unexpectedly with code"
                    f" {process.returncode}"
                )
            await asyncio.sleep(RESTART_DELAY_S)
            instance.start()
            self.history.starts.append((instance.name, monotonic()))


async def _async_is_ready(session: ClientSession, port: int) -> bool:
    try:
        async with session.get(f"http://{HOST}:{port}/readyz") as response:
            return response.status == 200
    except (ClientError, OSError, TimeoutError):
        # As for a load balancer, any error counts as a failed check.
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
