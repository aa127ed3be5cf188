"""Starts real processes on loopback for the capacity benchmark."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
import json
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from aiohttp import ClientSession

from azurewick.configuration.snapshot import hash_api_key
from bench.capacity_memory import build_configuration_spec
from demo.processes import LOOPBACK
from demo.processes import ProcessGroup
from demo.processes import reserve_ports

API_KEY = "key-of-the-benchmark"
POOL = "pool-00"
REQUEST_CLASS = "class-00-0"
API_GROUP_PATH = "/apis/azurewick.dev/v1"
ENGINE_ARGUMENTS = (
    "--prefill-tokens-per-s=50000",
    "--decode-tokens-per-s=40",
    "--batch-slowdown=0",
    "--max-batch=256",
)
DAEMON_MODULE = "bench.capacity_process"
KILOBYTE = 1e3


@asynccontextmanager
async def open_fleet() -> AsyncIterator[ProcessFleet]:
    """Open a fleet whose processes are stopped when the context ends."""
    with TemporaryDirectory() as directory:
        group = ProcessGroup(Path(directory))
        async with ClientSession() as session:
            try:
                yield ProcessFleet(group, session, Path(directory))
            finally:
                group.stop_all()


class ProcessFleet:
    """Starts processes: fake stores and engines, agents and gateways."""

    def __init__(
        self, group: ProcessGroup, session: ClientSession, directory: Path
    ) -> None:
        self.process_group = group
        self.session = session
        self._directory = directory

    def read_pid(self, name: str) -> int:
        """Return the process id of a process by its name."""
        return self.process_group.processes[name].popen.pid

    async def async_start_store(
        self,
        name: str,
        configuration: dict[str, Any],
        instances: dict[str, Any],
    ) -> str:
        """Start a fake store and fill it; return its URL."""
        (port,) = reserve_ports(1)
        url = f"http://{LOOPBACK}:{port}"
        self.process_group.start(
            name,
            "fakes.object_api",
            ["--port", str(port)],
            f"{url}{API_GROUP_PATH}/configurations",
        )
        await self.process_group.async_wait_ready(self.session, [name])
        body = {"metadata": {"name": "fleet"}, "spec": configuration}
        async with self.session.post(
            f"{url}{API_GROUP_PATH}/configurations", json=body
        ) as response:
            response.raise_for_status()
        for instance, spec in instances.items():
            async with self.session.put(
                f"{url}/admin/instances/{instance}", json=spec
            ) as response:
                response.raise_for_status()
        return url

    async def async_start_engine(self, name: str) -> str:
        """Start a fake model engine; return its URL."""
        (port,) = reserve_ports(1)
        url = f"http://{LOOPBACK}:{port}"
        self.process_group.start(
            name,
            "fakes.model_engine",
            ["--port", str(port), *ENGINE_ARGUMENTS],
            f"{url}/health",
        )
        await self.process_group.async_wait_ready(self.session, [name])
        return url

    async def async_start_daemon(
        self, mode: str, content: dict[str, Any]
    ) -> str:
        """Start a gateway or agent; return its URL.

        mode is a key of MODES in capacity_process, which reads content from
        a file.
        """
        settings = content["settings"]
        name = settings["name"]
        path = self._directory / f"{name}.json"
        path.write_text(json.dumps(content), encoding="utf-8")
        arguments = [mode, str(path)]
        url = f"http://{settings['address']}"
        self.process_group.start(
            name, DAEMON_MODULE, arguments, f"{url}/ready"
        )
        await self.process_group.async_wait_ready(self.session, [name])
        return url


def build_settings(
    role: str, name: str, store_url: str, **extra: Any
) -> dict[str, Any]:
    """Return the settings of a gateway or agent on free ports."""
    port, control_port = reserve_ports(2)
    return {
        "role": role,
        "name": name,
        "region": "lima",
        "failure_domain": "domain-0",
        "address": f"{LOOPBACK}:{port}",
        "control_address": f"{LOOPBACK}:{control_port}",
        "store": {"url": store_url, "calls_per_s": 50},
        "drain_timeout_s": 2,
        **extra,
    }


def build_configuration(customers: int) -> dict[str, Any]:
    """Return a configuration whose first customer has the API key.

    REQUEST_CLASS has no latency target, so that no request is refused
    before the rates of the engine have been measured.
    """
    spec = build_configuration_spec(customers)
    for item in spec["classes"]:
        if item["name"] == REQUEST_CLASS:
            del item["target"]
    spec["customers"][0] |= {
        "classes": [REQUEST_CLASS],
        "key_hashes": [hash_api_key(API_KEY)],
        "rate_limit_per_s": 1e6,
        "burst_requests": 1e6,
    }
    return spec


def build_instance_spec(settings: dict[str, Any]) -> dict[str, Any]:
    """Return the spec of a process in the platform's list of instances."""
    names = ["role", "region", "failure_domain", "control_address"]
    if settings["role"] == "agent":
        names += ["address", "pool", "kind", "version"]
    return {"state": "live"} | {name: settings[name] for name in names}


def read_resident_mb(pid: int) -> tuple[float, float]:
    """Return the resident memory of a process and its peak, in MB."""
    fields = {}
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        name, _, value = line.partition(":")
        fields[name] = value.split()
    return (
        int(fields["VmRSS"][0]) * 1024 / 1e6,
        int(fields["VmHWM"][0]) * 1024 / 1e6,
    )
