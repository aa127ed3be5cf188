"""Confirmation of a pool's admission floor before a request is shed."""

from __future__ import annotations

from asyncio import create_task
from asyncio import gather
from asyncio import shield
from asyncio import sleep
from asyncio import Task
from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from grpclib.client import Channel
from grpclib.exceptions import GRPCError
from grpclib.exceptions import StreamTerminatedError

from azurewick.const import ADMISSION_FLOOR_HOLD_S
from azurewick.const import PERMIT_DURATION_S
from azurewick.control.control_grpc import AgentControlStub
from azurewick.control.control_pb2 import AdmissionFloorRequest
from azurewick.gateway.protocols import ClusterState
from azurewick.gateway.protocols import FloorRound
from azurewick.helpers.address import split_address
from azurewick.helpers.clock import monotonic_s
from azurewick.models import BackendServer

CALL_TIMEOUT_S = 1.0
RETRY_INTERVAL_S = 0.25
# No lower tier may be dispatched in the second after a refusal, so an
# acknowledgement counts until 1.5 s before the floor expires.
CONFIRMED_FOR_S = ADMISSION_FLOOR_HOLD_S - 1.5
# Silent agents lose their permit within it, so a round that lasts longer
# has met an agent that answers some calls only.
ROUND_TIMEOUT_S = 2 * PERMIT_DURATION_S


class FloorClient(Protocol):
    """Calls SetAdmissionFloor of one agent."""

    async def async_set_floor(
        self, server: BackendServer, floor_tier: int
    ) -> bool:
        """Return whether the agent has set the floor."""

    def keep_only(self, control_addresses: frozenset[str]) -> None:
        """Close the connections to all other agents."""


class GrpcFloorClient:
    """Calls the agents over grpclib."""

    def __init__(
        self, gateway: str, hold_s: float = ADMISSION_FLOOR_HOLD_S
    ) -> None:
        self._gateway = gateway
        self._hold_ms = int(hold_s * 1000)
        self._channels: dict[str, Channel] = {}

    async def async_set_floor(
        self, server: BackendServer, floor_tier: int
    ) -> bool:
        """Return whether the agent has set the floor."""
        address = server.control_address
        if address not in self._channels:
            self._channels[address] = Channel(*split_address(address))
        request = AdmissionFloorRequest(
            pool=server.pool,
            floor_tier=floor_tier,
            hold_ms=self._hold_ms,
            gateway=self._gateway,
        )
        try:
            reply = await AgentControlStub(
                self._channels[address]
            ).SetAdmissionFloor(request, timeout=CALL_TIMEOUT_S)
        except (GRPCError, StreamTerminatedError, OSError, TimeoutError):
            return False
        return bool(reply.floor_tier <= floor_tier)

    def keep_only(self, control_addresses: frozenset[str]) -> None:
        """Close the connections to all other agents."""
        for address in self._channels.keys() - control_addresses:
            self._channels.pop(address).close()


@dataclass(frozen=True, slots=True)
class _Confirmation:
    floor_tier: int
    agents: frozenset[str]
    acked_s: float


class _RoundState:
    """Agents of a round and the times of their acknowledgements.

    A round knows its agents from the start, so a server that joins the pool
    needs a new one.
    """

    def __init__(
        self, agents: dict[str, BackendServer], floor_round: FloorRound
    ) -> None:
        self.agents = agents
        self.floor_round = floor_round
        self.acked_s: dict[str, float] = {}

    def record_ack(self, name: str, sent_s: float, now_s: float) -> None:
        """Note an acknowledgement of a call that was sent at a time."""
        self.floor_round.record_ack(name, now_s)
        self.acked_s[name] = sent_s

    def find_waiting(self, now_s: float) -> tuple[BackendServer, ...]:
        """Return the agents to call.

        While the round waits for a silent agent, the floors of the others
        are renewed, because they would expire.
        """
        return tuple(
            server
            for name, server in self.agents.items()
            if name not in self.acked_s
            or now_s - self.acked_s[name] >= CONFIRMED_FOR_S / 2
        )

    def is_confirmed(self, now_s: float) -> bool:
        """Return whether each agent has the floor now or no permit."""
        return self.floor_round.is_confirmed(now_s) and all(
            now_s - acked_s < CONFIRMED_FOR_S
            for acked_s in self.acked_s.values()
        )


class FloorConfirmer:
    """Confirms floors; requests that wait for one pool share a round."""

    def __init__(
        self,
        cluster: ClusterState,
        client: FloorClient,
        create_round: Callable[[Sequence[str], float], FloorRound],
        *,
        round_timeout_s: float = ROUND_TIMEOUT_S,
    ) -> None:
        self._cluster = cluster
        self._client = client
        self._create_round = create_round
        self._round_timeout_s = round_timeout_s
        # Servers that may dispatch, by pool and name: those that left the
        # list work off their queues and need the floor as well.
        self._agents: dict[str, dict[str, BackendServer]] = {}
        self._confirmed: dict[str, _Confirmation] = {}
        self._rounds: dict[tuple[str, int], Task[bool]] = {}
        self.rounds_started = 0
        self.messages_sent = 0

    async def async_stop(self) -> None:
        """End the rounds and close the connections."""
        for task in tuple(self._rounds.values()):
            task.cancel()
        self._client.keep_only(frozenset())

    def observe_servers(
        self, pool: str, servers: Sequence[BackendServer]
    ) -> None:
        """Note the servers of a pool after each change of the list."""
        self._agents.setdefault(pool, {}).update(
            {server.name: server for server in servers}
        )

    def has_lower_tier(self, pool: str, tier: int) -> bool:
        """Return whether a class of the pool has a lower tier."""
        snapshot = self._cluster.snapshot
        return snapshot is not None and any(
            item.pool == pool and item.tier > tier
            for item in snapshot.classes.values()
        )

    async def async_confirm(self, pool: str, tier: int) -> bool:
        """Return whether a request of the tier may be shed in the pool.

        Returns False when an agent neither set the floor nor lost its
        permit within the round.
        """
        if not self.has_lower_tier(pool, tier):
            return True
        if self._is_confirmed(pool, tier, monotonic_s()):
            return True
        key = (pool, tier)
        task = self._rounds.get(key)
        if task is None:
            task = create_task(self._async_run_round(pool, tier))
            self._rounds[key] = task
            task.add_done_callback(lambda _: self._rounds.pop(key, None))
        return await shield(task)

    def _is_confirmed(self, pool: str, tier: int, now_s: float) -> bool:
        confirmed = self._confirmed.get(pool)
        if confirmed is None or confirmed.floor_tier > tier:
            return False
        if now_s - confirmed.acked_s >= CONFIRMED_FOR_S:
            return False
        return self._find_agents(pool, now_s).keys() <= confirmed.agents

    def _find_agents(
        self, pool: str, now_s: float
    ) -> dict[str, BackendServer]:
        self.observe_servers(pool, self._cluster.backend_servers(pool, now_s))
        return self._agents[pool]

    async def _async_run_round(self, pool: str, tier: int) -> bool:
        started_s = monotonic_s()
        self.rounds_started += 1
        state = self._create_state(pool, started_s)
        while (now_s := monotonic_s()) - started_s < self._round_timeout_s:
            if self._find_agents(pool, now_s).keys() - state.agents.keys():
                state = self._create_state(pool, now_s)
            await self._async_call_agents(state, tier)
            if state.is_confirmed(monotonic_s()):
                self._note(pool, tier, state)
                return True
            await sleep(RETRY_INTERVAL_S)
        return False

    def _create_state(self, pool: str, now_s: float) -> _RoundState:
        agents = dict(self._find_agents(pool, now_s))
        return _RoundState(agents, self._create_round(tuple(agents), now_s))

    async def _async_call_agents(self, state: _RoundState, tier: int) -> None:
        sent_s = monotonic_s()
        servers = state.find_waiting(sent_s)
        self.messages_sent += len(servers)
        acks = await gather(
            *(self._client.async_set_floor(item, tier) for item in servers),
            return_exceptions=True,
        )
        now_s = monotonic_s()
        for server, ack in zip(servers, acks, strict=True):
            if ack is True:
                state.record_ack(server.name, sent_s, now_s)
            else:
                state.floor_round.record_unreachable(server.name, now_s)

    def _note(self, pool: str, tier: int, state: _RoundState) -> None:
        now_s = monotonic_s()
        self._confirmed[pool] = _Confirmation(
            tier,
            frozenset(state.agents),
            min(state.acked_s.values(), default=now_s),
        )
        listed = {
            server.name
            for server in self._cluster.backend_servers(pool, now_s)
        }
        for name in state.agents.keys() - state.acked_s.keys() - listed:
            self._agents[pool].pop(name, None)
        self._client.keep_only(
            frozenset(
                server.control_address
                for servers in self._agents.values()
                for server in servers.values()
            )
        )
