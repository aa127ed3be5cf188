"""Confirmation of a pool's admission floor before a request is shed.

No request may be shed while a lower tier is served. Before a gateway sheds a
request, it therefore raises the admission floor, the lowest tier that agents
may dispatch, at all agents of the pool. A round of calls ends when each agent
has acknowledged the floor or has lost its permit to dispatch lower tiers,
which happens to an agent that nothing has reached for some seconds.
"""

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

from azurewick.const import ADMISSION_FLOOR_DURATION_S
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
# No lower tier may be dispatched in the second after a request was shed, so
# an acknowledgement is valid until 1.5 s before the floor expires.
CONFIRMATION_VALID_S = ADMISSION_FLOOR_DURATION_S - 1.5
# Unreachable agents lose their permit within this time. A round that lasts
# longer has an agent that answers only some of the calls.
ROUND_TIMEOUT_S = 2 * PERMIT_DURATION_S


class FloorClient(Protocol):
    """Client that sets the admission floor at agents."""

    async def async_set_floor(
        self, server: BackendServer, floor_tier: int
    ) -> bool:
        """Return whether the agent has set the floor."""

    def close_connections_except(
        self, control_addresses: frozenset[str]
    ) -> None:
        """Close the connections to all other agents."""


class GrpcFloorClient:
    """Calls SetAdmissionFloor of the agents with grpclib."""

    def __init__(
        self,
        gateway: str,
        floor_duration_s: float = ADMISSION_FLOOR_DURATION_S,
    ) -> None:
        self._gateway = gateway
        self._hold_ms = int(floor_duration_s * 1000)
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

    def close_connections_except(
        self, control_addresses: frozenset[str]
    ) -> None:
        """Close the connections to all other agents."""
        for address in self._channels.keys() - control_addresses:
            self._channels.pop(address).close()


@dataclass(frozen=True, slots=True)
class _Confirmation:
    """Floor that all agents of a pool have confirmed.

    valid_from_s is the time of the oldest acknowledged call.
    """

    floor_tier: int
    agents: frozenset[str]
    valid_from_s: float


class _RoundState:
    """Agents of a round and the start of each acknowledged floor.

    valid_from_s has the time at which the acknowledged call to an agent was
    sent, because the agent may have set its floor just after it. The agents
    of a round are fixed, so a server that joins the pool needs a new round.
    """

    def __init__(
        self, agents: dict[str, BackendServer], floor_round: FloorRound
    ) -> None:
        self.agents = agents
        self.floor_round = floor_round
        self.valid_from_s: dict[str, float] = {}

    def record_ack(self, name: str, sent_s: float, now_s: float) -> None:
        """Record the acknowledgement of a call that was sent at sent_s."""
        self.floor_round.record_ack(name, now_s)
        self.valid_from_s[name] = sent_s

    def find_agents_to_call(self, now_s: float) -> tuple[BackendServer, ...]:
        """Return the agents without a floor or with one to be renewed.

        While the round waits for an unreachable agent, the floors of the
        others would expire without a renewal.
        """
        return tuple(
            server
            for name, server in self.agents.items()
            if name not in self.valid_from_s
            or now_s - self.valid_from_s[name] >= CONFIRMATION_VALID_S / 2
        )

    def is_confirmed(self, now_s: float) -> bool:
        """Return whether each agent has a valid floor or lost its permit."""
        return self.floor_round.is_confirmed(now_s) and all(
            now_s - valid_from_s < CONFIRMATION_VALID_S
            for valid_from_s in self.valid_from_s.values()
        )


class FloorConfirmer:
    """Confirms floors; requests of one pool and tier share a round."""

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
        # Servers that may dispatch, by pool and name. A server that is no
        # longer listed still runs its queue and needs the floor as well.
        self._agents: dict[str, dict[str, BackendServer]] = {}
        self._confirmed: dict[str, _Confirmation] = {}
        self._rounds: dict[tuple[str, int], Task[bool]] = {}
        self.rounds_started = 0
        self.messages_sent = 0

    async def async_stop(self) -> None:
        """Cancel the rounds and close the connections."""
        for task in tuple(self._rounds.values()):
            task.cancel()
        self._client.close_connections_except(frozenset())

    def add_servers(self, pool: str, servers: Sequence[BackendServer]) -> None:
        """Add the listed servers of a pool; delisted ones are kept."""
        self._agents.setdefault(pool, {}).update(
            {server.name: server for server in servers}
        )

    def has_lower_tier(self, pool: str, tier: int) -> bool:
        """Return whether a class of the pool has a lower tier than this."""
        snapshot = self._cluster.snapshot
        return snapshot is not None and any(
            item.pool == pool and item.tier > tier
            for item in snapshot.classes.values()
        )

    async def async_confirm(self, pool: str, tier: int) -> bool:
        """Return whether a request of the tier may be shed in the pool.

        Returns False when, until the time-out of the round, an agent has
        neither set the floor nor lost its permit.
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
        if now_s - confirmed.valid_from_s >= CONFIRMATION_VALID_S:
            return False
        return self._update_agents(pool, now_s).keys() <= confirmed.agents

    def _update_agents(
        self, pool: str, now_s: float
    ) -> dict[str, BackendServer]:
        """Add the servers listed now; return all agents that need calls."""
        self.add_servers(pool, self._cluster.backend_servers(pool, now_s))
        return self._agents[pool]

    async def _async_run_round(self, pool: str, tier: int) -> bool:
        started_s = monotonic_s()
        self.rounds_started += 1
        state = self._create_state(pool, started_s)
        while (now_s := monotonic_s()) - started_s < self._round_timeout_s:
            if self._update_agents(pool, now_s).keys() - state.agents.keys():
                state = self._create_state(pool, now_s)
            await self._async_call_agents(state, tier)
            if state.is_confirmed(monotonic_s()):
                self._store_confirmation(pool, tier, state)
                return True
            await sleep(RETRY_INTERVAL_S)
        return False

    def _create_state(self, pool: str, now_s: float) -> _RoundState:
        agents = dict(self._update_agents(pool, now_s))
        return _RoundState(agents, self._create_round(tuple(agents), now_s))

    async def _async_call_agents(self, state: _RoundState, tier: int) -> None:
        sent_s = monotonic_s()
        servers = state.find_agents_to_call(sent_s)
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

    def _store_confirmation(
        self, pool: str, tier: int, state: _RoundState
    ) -> None:
        now_s = monotonic_s()
        self._confirmed[pool] = _Confirmation(
            tier,
            frozenset(state.agents),
            min(state.valid_from_s.values(), default=now_s),
        )
        listed = {
            server.name
            for server in self._cluster.backend_servers(pool, now_s)
        }
        for name in state.agents.keys() - state.valid_from_s.keys() - listed:
            self._agents[pool].pop(name, None)
        self._client.close_connections_except(
            frozenset(
                server.control_address
                for servers in self._agents.values()
                for server in servers.values()
            )
        )
