"""Fleet of agents and gateways on loopback, with fake servers and store."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass
from dataclasses import field
import json
from pathlib import Path
from typing import Any

from aiohttp import ClientSession

from azurewick.configuration.snapshot import hash_api_key
from demo.processes import LOOPBACK
from demo.processes import ProcessGroup
from demo.processes import reserve_ports

API_GROUP_PATH = "/apis/azurewick.dev/v1"
ORDER_KEY = {"key_id": "demo-1", "secret": "demo-secret-of-at-least-32-bytes"}
# Region and name of each failure domain.
FAILURE_DOMAINS = (
    ("lima", "lima-a"),
    ("lima", "lima-b"),
    ("arequipa", "arequipa-a"),
)
API_KEYS = {
    "film-crew": "key-film-crew",
    "theatre": "key-theatre",
    "television": "key-television",
}
CLASS_QUICK = "quick-answer"
CLASS_DRAFT = "contract-draft"
CLASS_TAG = "message-tag"
CLASS_DEPOSIT = "deposit"
POOL_ASSISTANT = "assistant"
POOL_BOOKING = "booking"


@dataclass(frozen=True, kw_only=True)
class BackendSpec:
    """Fake backend server that the demonstration starts with its agent.

    speed is a multiple of the fake engine's usual rates. domain is the
    index of its failure domain in FAILURE_DOMAINS.
    """

    name: str
    pool: str
    version: str = "v1"
    speed: float = 1.0
    domain: int = 0

    @property
    def is_model(self) -> bool:
        """Return whether this is a model engine."""
        return self.pool == POOL_ASSISTANT


INITIAL_BACKENDS = (
    BackendSpec(name="engine-1", pool=POOL_ASSISTANT, speed=8.0, domain=0),
    BackendSpec(name="engine-2", pool=POOL_ASSISTANT, speed=4.0, domain=1),
    BackendSpec(name="engine-3", pool=POOL_ASSISTANT, speed=8.0, domain=0),
    BackendSpec(name="engine-4", pool=POOL_ASSISTANT, speed=8.0, domain=2),
    BackendSpec(name="booking-1", pool=POOL_BOOKING, domain=0),
    BackendSpec(name="booking-2", pool=POOL_BOOKING, domain=1),
)


def build_configuration() -> dict[str, Any]:
    """Return the fleet configuration of the demonstration."""
    classes = [
        _build_class(CLASS_QUICK, POOL_ASSISTANT, 0, {"first_token_s": 1.9}),
        _build_class(CLASS_DRAFT, POOL_ASSISTANT, 1, {"completion_s": 10}),
        _build_class(CLASS_TAG, POOL_ASSISTANT, 2, {"completion_s": 10}),
        _build_class(CLASS_DEPOSIT, POOL_BOOKING, 0, {"completion_s": 5}),
    ]
    classes[-1]["repeatable"] = False
    for item in classes[:-1]:
        item["version"] = "v1"
    return {
        "pools": [
            {"name": POOL_ASSISTANT, "kind": "model"},
            {"name": POOL_BOOKING, "kind": "service"},
        ],
        "classes": classes,
        "customers": [
            {
                "name": name,
                "key_hashes": [hash_api_key(key)],
                "classes": [item["name"] for item in classes],
                "rate_limit_per_s": 500,
                "burst_requests": 1000,
            }
            for name, key in API_KEYS.items()
        ],
    }


def _build_class(
    name: str, pool: str, tier: int, target: dict[str, float]
) -> dict[str, Any]:
    return {"name": name, "pool": pool, "tier": tier, "target": target}


@dataclass(kw_only=True)
class Fleet:
    """Starts the processes of the fleet and has their addresses.

    directory is for their settings files.
    """

    group: ProcessGroup
    session: ClientSession
    directory: Path
    store_url: str = ""
    gateway_urls: dict[str, str] = field(default_factory=dict)
    backend_urls: dict[str, str] = field(default_factory=dict)
    backends: dict[str, BackendSpec] = field(default_factory=dict)
    gateway_control_addresses: list[str] = field(default_factory=list)
    drain_delay_s: float = 0.0

    async def async_start(
        self, backends: tuple[BackendSpec, ...] = INITIAL_BACKENDS
    ) -> None:
        """Start the store, the backend servers, agents and gateways."""
        (port,) = reserve_ports(1)
        self.store_url = f"http://{LOOPBACK}:{port}"
        self.group.start(
            "store",
            "fakes.object_api",
            ["--port", str(port)],
            f"{self.store_url}{API_GROUP_PATH}/configurations",
        )
        await self.group.async_wait_ready(self.session, ["store"])
        await self._async_create("configurations", "fleet")
        ports = reserve_ports(4)
        self.gateway_control_addresses = [f"{LOOPBACK}:{p}" for p in ports[2:]]
        names = await self.async_start_backends(backends)
        for index, name in enumerate(("gateway-1", "gateway-2")):
            await self._async_start_gateway(name, index, ports[index])
        await self.group.async_wait_ready(
            self.session, [*names, *self.gateway_urls]
        )

    async def async_start_backends(
        self, specs: tuple[BackendSpec, ...]
    ) -> list[str]:
        """Start backend servers with their agents; return their names."""
        names: list[str] = []
        for spec in specs:
            backend_port, port, control_port = reserve_ports(3)
            self._start_backend(spec, backend_port)
            await self._async_start_agent(spec, port, control_port)
            names += [spec.name, f"{spec.name}-agent"]
        return names

    def _start_backend(self, spec: BackendSpec, port: int) -> None:
        url = f"http://{LOOPBACK}:{port}"
        arguments = ["--port", str(port)]
        if spec.is_model:
            arguments += ["--speed", str(spec.speed)]
        module = "fakes.model_engine" if spec.is_model else None
        self.group.start(
            spec.name,
            module or "fakes.plain_service",
            arguments,
            f"{url}/health",
        )
        self.backend_urls[spec.name] = url
        self.backends[spec.name] = spec

    async def _async_start_agent(
        self, spec: BackendSpec, port: int, control_port: int
    ) -> None:
        region, domain = FAILURE_DOMAINS[spec.domain]
        name = f"{spec.name}-agent"
        kind = "model" if spec.is_model else "service"
        settings = self._build_node_settings(
            name, "agent", spec.domain, port, control_port
        ) | {
            "pool": spec.pool,
            "kind": kind,
            "version": spec.version,
            "backend_url": self.backend_urls[spec.name],
        }
        self._start_daemon(name, settings)
        await self._async_register(
            name,
            {
                "role": "agent",
                "state": "live",
                "region": region,
                "failure_domain": domain,
                "control_address": settings["control_address"],
                "address": settings["address"],
                "pool": spec.pool,
                "kind": kind,
                "version": spec.version,
            },
        )

    async def _async_start_gateway(
        self, name: str, index: int, port: int
    ) -> None:
        control_port = int(
            self.gateway_control_addresses[index].rsplit(":", 1)[1]
        )
        settings = self._build_node_settings(
            name, "gateway", index, port, control_port
        )
        self._start_daemon(name, settings)
        self.gateway_urls[name] = f"http://{LOOPBACK}:{port}"
        await self._async_register(
            name,
            {
                "role": "gateway",
                "state": "live",
                "region": settings["region"],
                "failure_domain": settings["failure_domain"],
                "control_address": settings["control_address"],
            },
        )

    def _build_node_settings(
        self,
        name: str,
        role: str,
        domain_index: int,
        port: int,
        control_port: int,
    ) -> dict[str, Any]:
        region, failure_domain = FAILURE_DOMAINS[domain_index]
        return {
            "role": role,
            "name": name,
            "region": region,
            "failure_domain": failure_domain,
            "address": f"{LOOPBACK}:{port}",
            "control_address": f"{LOOPBACK}:{control_port}",
            "store": {"url": self.store_url, "calls_per_s": 50},
            "peers": self.gateway_control_addresses,
            "order_keys": [ORDER_KEY],
            "sync_interval_s": 0.5,
            "drain_delay_s": self.drain_delay_s,
            "drain_timeout_s": 12,
        }

    def _start_daemon(self, name: str, settings: dict[str, Any]) -> None:
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(settings, indent=2), encoding="utf-8")
        self.group.start(
            name,
            "azurewick.daemon",
            [str(path)],
            f"http://{settings['address']}/ready",
        )

    async def async_restart_daemon(self, name: str) -> None:
        """Start an ended agent or gateway again; wait until it is ready."""
        health_url = self.group.processes[name].health_url
        path = self.directory / f"{name}.json"
        self.group.start(name, "azurewick.daemon", [str(path)], health_url)
        await self.group.async_wait_ready(self.session, [name])

    async def _async_create(self, plural: str, name: str) -> None:
        body = {"metadata": {"name": name}, "spec": build_configuration()}
        async with self.session.post(
            f"{self.store_url}{API_GROUP_PATH}/{plural}", json=body
        ) as response:
            response.raise_for_status()

    async def _async_register(self, name: str, spec: dict[str, Any]) -> None:
        async with self.session.put(
            f"{self.store_url}/admin/instances/{name}", json=spec
        ) as response:
            response.raise_for_status()

    async def async_set_faults(self, url: str, **faults: object) -> None:
        """Set faults of a fake server or of the fake store."""
        async with self.session.post(
            f"{url}/admin/faults", json=faults
        ) as response:
            response.raise_for_status()

    async def async_read(self, url: str) -> dict[str, Any]:
        """Return the JSON document at a URL."""
        async with self.session.get(url) as response:
            response.raise_for_status()
            document: dict[str, Any] = await response.json()
            return document

    async def async_read_counters(self) -> dict[str, dict[str, Any]]:
        """Return the counters of each running engine by its name."""
        names = [
            name
            for name, spec in self.backends.items()
            if spec.is_model and self.group.processes[name].is_running
        ]
        counters = await asyncio.gather(
            *(
                self.async_read(f"{self.backend_urls[n]}/admin/counters")
                for n in names
            )
        )
        return dict(zip(names, counters, strict=True))

    async def async_read_deposit_runs(self) -> Counter[str]:
        """Return how often all plain services ran each claim key."""
        runs: Counter[str] = Counter()
        for name, spec in self.backends.items():
            if not spec.is_model:
                url = f"{self.backend_urls[name]}/admin/runs"
                runs.update((await self.async_read(url))["runs"])
        return runs
