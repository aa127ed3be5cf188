"""Builders and fake agents for the tests of the gateway."""

from __future__ import annotations

from asyncio import Event
from asyncio import sleep
from asyncio import timeout
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import replace
import json
from logging import Logger
from logging import NullHandler
from random import Random
from typing import Any

from aiohttp import ClientSession
from aiohttp import web

from azurewick.configuration.snapshot import build_snapshot
from azurewick.configuration.snapshot import ConfigurationSnapshot
from azurewick.configuration.snapshot import hash_api_key
from azurewick.const import HEADER_LOAD
from azurewick.const import HEADER_OFFER
from azurewick.const import HEADER_OUTCOME
from azurewick.const import PATH_AGENT_CANCEL
from azurewick.const import PATH_AGENT_DISPATCH
from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Outcome
from azurewick.errors import Step
from azurewick.gateway.agent_client import AgentClient
from azurewick.gateway.application import Gateway
from azurewick.gateway.shedding import FloorConfirmer
from azurewick.models import BackendServer
from azurewick.models import PoolKind
from azurewick.settings.models import GatewaySettings
from azurewick.settings.models import StoreSettings
from tests.gateway.doubles import FakeFloorClient
from tests.gateway.doubles import InMemoryClaims
from tests.gateway.stubs import AllAgentsRound
from tests.gateway.stubs import AnyVersion
from tests.gateway.stubs import build_components
from tests.gateway.stubs import EmptyCluster

# Timeout that keeps a test from hanging; no test depends on its length.
HANG_TIMEOUT_S = 20.0
API_KEYS = {"north": "north-key", "south": "south-key"}
# Name, pool, tier and repeatability; no customer may use the last class.
CLASSES = (
    ("quick", "models", 0, True),
    ("draft", "models", 2, True),
    ("lookup", "shop", 1, True),
    ("deposit", "shop", 0, False),
    ("internal", "models", 1, True),
)
ANSWER = b'{"usage": {"prompt_tokens": 3, "completion_tokens": 2}}'

Behaviour = Callable[["FakeAgent", web.Request], Awaitable[web.StreamResponse]]


def create_snapshot(**class_fields: Any) -> ConfigurationSnapshot:
    """Return a configuration with two customers.

    class_fields are set on each class.
    """
    classes = [
        {"name": name, "pool": pool, "tier": tier, "repeatable": repeatable}
        | class_fields
        for name, pool, tier, repeatable in CLASSES
    ]
    return build_snapshot(
        {
            "pools": [
                {"name": "models", "kind": "model"},
                {"name": "shop", "kind": "service"},
            ],
            "classes": classes,
            "customers": [
                {
                    "name": name,
                    "key_hashes": [hash_api_key(key)],
                    "classes": [name for name, *_ in CLASSES[:-1]],
                }
                for name, key in API_KEYS.items()
            ],
        },
        7,
    )


def create_settings(**fields: Any) -> GatewaySettings:
    """Return settings with ports chosen by the operating system."""
    return GatewaySettings(
        role="gateway",
        name="gateway-1",
        region="lima",
        failure_domain="lima-a",
        address="127.0.0.1:0",
        control_address="127.0.0.1:0",
        store=StoreSettings(url="http://127.0.0.1:1"),
        **fields,
    )


async def async_answer(
    agent: FakeAgent, request: web.Request
) -> web.StreamResponse:
    """Send the complete answer of a request that has run."""
    return web.Response(
        body=ANSWER,
        content_type="application/json",
        headers={HEADER_OUTCOME: "ran", HEADER_LOAD: agent.load},
    )


def refuse_with(code: ErrorCode) -> Behaviour:
    """Return the behaviour of an agent that refuses all offers."""

    async def async_refuse(
        agent: FakeAgent, request: web.Request
    ) -> web.StreamResponse:
        error = AzurewickError(code, "refused", step=Step.QUEUE)
        return web.json_response(
            error.as_body(),
            status=error.http_status,
            headers={HEADER_OUTCOME: "not_run", HEADER_LOAD: agent.load},
        )

    return async_refuse


async def async_stream_events(
    agent: FakeAgent, request: web.Request
) -> web.StreamResponse:
    """Send one event, wait until continue_event is set, then send the rest."""
    response = web.StreamResponse(
        headers={
            HEADER_OUTCOME: "ran",
            HEADER_LOAD: agent.load,
            "Content-Type": "text/event-stream",
        }
    )
    await response.prepare(request)
    await response.write(b"data: first\n\n")
    await agent.continue_event.wait()
    await response.write(b"data: last\n\ndata: [DONE]\n\n")
    return response


async def async_wait_then_answer(
    agent: FakeAgent, request: web.Request
) -> web.StreamResponse:
    """Echo the request body after continue_event is set."""
    await agent.continue_event.wait()
    return web.Response(
        body=b'{"echo": %s}' % agent.bodies[-1],
        headers={HEADER_OUTCOME: "ran", HEADER_LOAD: agent.load},
    )


async def async_reset(
    agent: FakeAgent, request: web.Request
) -> web.StreamResponse:
    """Abort the connection instead of answering the offer."""
    assert request.transport is not None
    request.transport.abort()
    return web.Response()


class FakeAgent:
    """Agent that records offers and handles them with its behaviour."""

    def __init__(
        self,
        name: str,
        pool: str = "models",
        behaviour: Behaviour = async_answer,
    ) -> None:
        self.name = name
        self.pool = pool
        self.behaviour = behaviour
        self.offers: list[dict[str, Any]] = []
        self.bodies: list[bytes] = []
        self.answered = 0
        self.cancelled: list[str] = []
        self.cancel_seen = Event()
        self.offered = Event()
        self.continue_event = Event()
        self.load = json.dumps(
            {"backend_server": name, "incarnation": f"{name}-1", "version": ""}
        )
        self.runner: web.AppRunner | None = None
        self.address = ""

    async def async_start(self) -> None:
        """Listen on a port chosen by the operating system."""
        app = web.Application()
        app.router.add_post(PATH_AGENT_DISPATCH, self._async_dispatch)
        app.router.add_post(PATH_AGENT_CANCEL, self._async_cancel)
        # Many tests break connections on purpose; don't log the errors.
        logger = Logger("agent")
        logger.addHandler(NullHandler())
        self.runner = web.AppRunner(
            app,
            shutdown_timeout=0.1,
            logger=logger,
            handler_cancellation=True,
        )
        await self.runner.setup()
        await web.TCPSite(self.runner, "127.0.0.1", 0).start()
        self.address = f"127.0.0.1:{self.runner.addresses[0][1]}"

    async def async_stop(self) -> None:
        """Close the port."""
        if self.runner is not None:
            await self.runner.cleanup()

    async def _async_dispatch(
        self, request: web.Request
    ) -> web.StreamResponse:
        self.offers.append(json.loads(request.headers[HEADER_OFFER]))
        self.bodies.append(await request.read())
        self.offered.set()
        return await self.behaviour(self, request)

    async def _async_cancel(self, request: web.Request) -> web.Response:
        self.cancelled.append((await request.json())["request_id"])
        self.cancel_seen.set()
        return web.Response()

    @property
    def server(self) -> BackendServer:
        """Return the backend server of this agent."""
        return BackendServer(
            name=self.name,
            pool=self.pool,
            kind=PoolKind.MODEL,
            address=self.address,
            control_address=self.address,
            failure_domain="lima-a",
            region="lima",
            version="v1",
        )


class FixedCluster(EmptyCluster):
    """Cluster state with a fixed configuration and list of servers."""

    def __init__(self, snapshot: ConfigurationSnapshot | None) -> None:
        self.snapshot = snapshot
        self.is_ready = snapshot is not None
        self.servers: dict[str, BackendServer] = {}
        self.failures: list[str] = []

    def backend_servers(self, pool, now_s):
        """Return the servers of a pool."""
        return tuple(s for s in self.servers.values() if s.pool == pool)

    def record_failure(self, name, now_s):
        """Record the name of the server."""
        self.failures.append(name)


class GatewayBench:
    """Test bench: a gateway on a loopback port with fake agents."""

    def __init__(
        self,
        *agents: FakeAgent,
        snapshot: ConfigurationSnapshot | None = None,
        answer_timeout_s: float = 30.0,
        versions: Any = None,
        **settings: Any,
    ) -> None:
        self.agents = agents
        self.cluster = FixedCluster(snapshot or create_snapshot())
        self.claims = InMemoryClaims()
        self.floor_client = FakeFloorClient()
        self.components = replace(
            build_components(create_settings(**settings)),
            cluster=self.cluster,
            claims=self.claims,
            versions=versions or AnyVersion(),
            agents=AgentClient(answer_timeout_s),
            floor_confirmer=FloorConfirmer(
                self.cluster, self.floor_client, AllAgentsRound
            ),
        )
        self.gateway = Gateway(self.components, Random(1))

    async def __aenter__(self) -> GatewayBench:
        for agent in self.agents:
            await agent.async_start()
            self.cluster.servers[agent.name] = agent.server
        await self.gateway.async_start()
        self.session = ClientSession(f"http://127.0.0.1:{self.gateway.port}")
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self.session.close()
        for agent in self.agents:
            agent.continue_event.set()
        await self.gateway.async_stop()
        for agent in self.agents:
            await agent.async_stop()

    def post(
        self,
        request_class: str = "quick",
        *,
        customer: str = "north",
        key: str = "",
        body: bytes = b'{"messages": []}',
        **kwargs: Any,
    ) -> Any:
        """Send a request of a class; use with async with or await."""
        path = "/v1/chat/completions"
        if request_class in ("lookup", "deposit"):
            path = "/services/shop/orders"
        headers = {
            "Authorization": f"Bearer {API_KEYS.get(customer, customer)}",
            "X-Request-Class": request_class,
        }
        if key:
            headers["Idempotency-Key"] = key
        headers |= kwargs.pop("headers", {})
        return self.session.post(path, data=body, headers=headers, **kwargs)

    async def async_post(self, *args: Any, **kwargs: Any) -> tuple[int, Any]:
        """Send a request; return the status and the parsed answer."""
        async with self.post(*args, **kwargs) as response:
            return response.status, json.loads(await response.read())

    @property
    def dispatch_count(self) -> int:
        """Return the number of offers that reached an agent."""
        return sum(len(agent.offers) for agent in self.agents)


async def async_wait_for(condition: Callable[[], object]) -> None:
    """Wait until a condition holds."""
    async with timeout(HANG_TIMEOUT_S):
        while True:
            if condition():
                return
            await sleep(0.005)


def get_error(body: dict[str, Any]) -> tuple[str, str]:
    """Return the code and the outcome of an error body."""
    error = body["error"]
    return error["code"], Outcome(error["outcome"]).value
