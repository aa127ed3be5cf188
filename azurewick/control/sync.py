"""Sync between processes: the service of gateways and the client loops."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
from logging import getLogger
from random import Random
from typing import Protocol

from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Stream

from azurewick.control import control_pb2 as pb
from azurewick.control.channels import ChannelPool
from azurewick.control.control_grpc import ControlBase
from azurewick.control.control_grpc import ControlStub
from azurewick.control.documents import DocumentName
from azurewick.control.replica import Replica
from azurewick.control.topology import Place
from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Step
from azurewick.models import GatewayInstance

_LOGGER = getLogger(__name__)

MAX_HOLD_S = 10.0
MAX_HELD_CALLS = 1024
# Time beyond the hold in which a reachable peer answers.
ANSWER_GRACE_S = 1.0
ATTEMPTS_PER_ROUND = 3
# Each fourth round also calls a gateway other than the parent. Nodes with
# different instance lists may call each other in a cycle and would otherwise
# not learn of changes.
ROUNDS_PER_CROSS_CHECK = 4
BOOTSTRAP_PEERS = 3


@dataclass(frozen=True, kw_only=True, slots=True)
class Peer:
    """Gateway to call; the name of a configured peer is its address."""

    name: str
    address: str


class SyncObserver(Protocol):
    """Membership that a sync loop asks for peers and tells of results."""

    def place(self) -> Place:
        """Return the node's place in the tree of live gateways."""

    def choose_cross_check(self, is_due: bool) -> GatewayInstance | None:
        """Return a gateway to call besides the parent, or None.

        A gateway that failed and may have recovered comes first; otherwise
        any other one when the cross-check is due.
        """

    def find_gateway(self, name: str) -> GatewayInstance | None:
        """Return the gateway of that name in the instance list."""

    def record_contact(self, peer: str) -> None:
        """Record that a peer answered."""

    def record_no_contact(self, peer: str) -> None:
        """Record that a peer didn't answer."""

    def record_changes(self, changed: set[DocumentName]) -> None:
        """Record that documents or urgent digest entries changed."""


class SyncTransport(Protocol):
    """Transport for Sync calls to gateways."""

    async def async_call(
        self, address: str, request: pb.SyncRequest
    ) -> pb.SyncReply:
        """Return the answer; GRPCError or OSError when there is none."""

    def close(self) -> None:
        """Close the connections."""


class GrpcTransport:
    """Sync calls over gRPC."""

    def __init__(self) -> None:
        self._channels = ChannelPool()

    async def async_call(
        self, address: str, request: pb.SyncRequest
    ) -> pb.SyncReply:
        """Return the answer; GRPCError or OSError when there is none."""
        reply: pb.SyncReply = await ControlStub(
            self._channels.get(address)
        ).Sync(request)
        return reply

    def close(self) -> None:
        """Close the connections."""
        self._channels.close()


class SyncNode(ControlBase):
    """Exchanges documents and digests with peers.

    A call is held (long polling) while the caller is up to date. So changes
    spread at once, and an idle cluster exchanges few messages.
    """

    def __init__(
        self,
        replica: Replica,
        observer: SyncObserver,
        *,
        peers: Sequence[str],
        interval_s: float,
        clock: Callable[[], float],
        random: Random,
        transport: SyncTransport | None = None,
    ) -> None:
        self._replica = replica
        self._observer = observer
        self._peers = tuple(peers)
        self._interval_s = interval_s
        self._clock = clock
        self._random = random
        self._transport = transport or GrpcTransport()
        self._state_changed = asyncio.Event()
        self._push_requested = asyncio.Event()
        self._newer_callers: dict[str, None] = {}
        self._newer_caller_seen = asyncio.Event()
        self._held_calls = 0
        self._rounds = 0
        self._stopping = False
        self.exchanges = 0

    def close(self) -> None:
        """Answer the held calls and close the connections."""
        self._stopping = True
        self._wake_held_calls()
        self._transport.close()

    def notify(self, *, push: bool = False) -> None:
        """Answer held calls; push also calls the parent gateway now.

        The parent merges urgent entries from that call. It sees the revisions
        of newer documents in it and then requests these.
        """
        self._wake_held_calls()
        if push:
            self._push_requested.set()

    async def Sync(  # noqa: N802 - name of the protocol
        self, stream: Stream[pb.SyncRequest, pb.SyncReply]
    ) -> None:
        """Serve a call of a gateway or agent."""
        request = await stream.recv_message()
        if request is None:
            return
        try:
            reply = await self.async_answer(request)
        except ValueError as err:
            raise GRPCError(Status.INVALID_ARGUMENT, str(err)) from err
        await stream.send_message(reply)

    async def async_answer(self, request: pb.SyncRequest) -> pb.SyncReply:
        """Return the reply to a request, after holding it.

        Raises ValueError when the request is not valid.
        """
        urgent_before = self._replica.digest.urgent_position
        if self._replica.accept_request(request, self._clock()):
            self._newer_callers[request.node] = None
            self._newer_caller_seen.set()
        if self._replica.digest.urgent_position != urgent_before:
            self._observer.record_changes(set())
            self.notify(push=True)
        if self._held_calls < MAX_HELD_CALLS:
            self._held_calls += 1
            try:
                await self._async_hold(request)
            finally:
                self._held_calls -= 1
        return self._replica.build_reply(request, self._clock())

    async def async_bootstrap(self) -> bool:
        """Get documents from configured peers; False when none answers."""
        count = min(BOOTSTRAP_PEERS, len(self._peers))
        chosen = self._random.sample(self._peers, count)
        results = await asyncio.gather(
            *(
                self._async_try_exchange(Peer(name=address, address=address))
                for address in chosen
            )
        )
        return any(results)

    async def async_run_rounds(self) -> None:
        """Exchange with the parent gateway until cancelled."""
        while True:
            started_s = self._clock()
            has_changes = await self._async_round()
            spent_s = self._clock() - started_s
            gap_s = self._interval_s * self._random.uniform(0.05, 0.1)
            if not has_changes:
                gap_s = max(gap_s, self._jittered_interval_s() - spent_s)
            await asyncio.sleep(gap_s)

    async def async_run_pushes(self) -> None:
        """Push changes to the parent between rounds until cancelled."""
        while True:
            await self._push_requested.wait()
            self._push_requested.clear()
            for gateway in self._observer.place().candidates[:2]:
                if await self._async_try_exchange(
                    _as_peer(gateway), digest=True
                ):
                    break
            await asyncio.sleep(self._interval_s * 0.05)

    async def async_run_pulls(self) -> None:
        """Request newer documents from callers that have them."""
        while True:
            await self._newer_caller_seen.wait()
            self._newer_caller_seen.clear()
            callers, self._newer_callers = self._newer_callers, {}
            for name in list(callers)[:ATTEMPTS_PER_ROUND]:
                gateway = self._observer.find_gateway(name)
                if gateway is not None:
                    await self._async_try_exchange(_as_peer(gateway))
            await asyncio.sleep(self._interval_s * 0.05)

    async def async_exchange(
        self, peer: Peer, *, hold_s: float = 0.0, digest: bool = False
    ) -> bool:
        """Make one Sync call; True when it brought a change.

        Raises AzurewickError with code peer_unreachable.
        """
        request, sent_position = self._replica.build_request(
            peer.name, hold_s=hold_s, with_digest=digest, now_s=self._clock()
        )
        urgent_before = self._replica.digest.urgent_position
        self.exchanges += 1
        try:
            async with asyncio.timeout(hold_s + ANSWER_GRACE_S):
                reply = await self._transport.async_call(peer.address, request)
            changed = self._replica.accept_reply(
                peer.name, reply, sent_position, self._clock()
            )
        except (GRPCError, OSError, TimeoutError, ValueError) as err:
            raise AzurewickError(
                ErrorCode.PEER_UNREACHABLE,
                repr(err),
                step=Step.SYNC,
                peer=peer.name,
            ) from err
        self._observer.record_contact(peer.name)
        is_urgent = self._replica.digest.urgent_position != urgent_before
        if changed or is_urgent:
            self._observer.record_changes(changed)
            parents = self._observer.place().candidates[:1]
            is_from_parent = peer.name in {gateway.name for gateway in parents}
            self.notify(push=not is_from_parent)
        return bool(changed) or is_urgent

    async def _async_round(self) -> bool:
        """Call peers until one answers; True when it brought a change."""
        self._rounds += 1
        is_due = self._rounds % ROUNDS_PER_CROSS_CHECK == 0
        checked = self._choose_cross_check(is_due)
        if checked is not None:
            await self._async_try_exchange(checked)
        place = self._observer.place()
        hold_s = self._jittered_interval_s()
        for peer in self._choose_peers(place):
            try:
                return await self.async_exchange(
                    peer, hold_s=hold_s, digest=place.exchanges_digest
                )
            except AzurewickError as err:
                _LOGGER.debug("sync failed: %s", err)
                self._observer.record_no_contact(peer.name)
            # A peer that didn't answer may have used up the hold.
            hold_s = 0.0
        return False

    def _choose_cross_check(self, is_due: bool) -> Peer | None:
        """Return a peer to call besides the parent gateway, or None.

        Configured peers are included for nodes with an outdated instance list.
        """
        is_configured = self._rounds % (2 * ROUNDS_PER_CROSS_CHECK) == 0
        if is_configured and self._peers:
            address = self._random.choice(self._peers)
            return Peer(name=address, address=address)
        gateway = self._observer.choose_cross_check(is_due)
        return None if gateway is None else _as_peer(gateway)

    def _choose_peers(self, place: Place) -> list[Peer]:
        first = place.candidates[:ATTEMPTS_PER_ROUND]
        peers = [_as_peer(gateway) for gateway in first]
        if len(peers) == ATTEMPTS_PER_ROUND:
            return peers
        fallback = self._random.sample(self._peers, len(self._peers))
        known = {peer.address for peer in peers}
        peers += [
            Peer(name=address, address=address)
            for address in fallback
            if address not in known
        ]
        return peers[:ATTEMPTS_PER_ROUND]

    async def _async_try_exchange(
        self, peer: Peer, *, digest: bool = False
    ) -> bool:
        """Make one call without a hold; True when the peer answered."""
        try:
            await self.async_exchange(peer, digest=digest)
        except AzurewickError as err:
            _LOGGER.debug("sync failed: %s", err)
            self._observer.record_no_contact(peer.name)
            return False
        return True

    async def _async_hold(self, request: pb.SyncRequest) -> None:
        """Wait until there is a change for the caller or the hold ends."""
        hold_s = min(MAX_HOLD_S, request.hold_ms / 1000)
        try:
            async with asyncio.timeout(hold_s):
                while not (self._has_changes_for(request) or self._stopping):
                    await self._state_changed.wait()
        except TimeoutError:
            return

    def _has_changes_for(self, request: pb.SyncRequest) -> bool:
        if self._replica.is_behind(request):
            return True
        if not request.digest_limit:
            return False
        is_known = request.peer_incarnation == self._replica.incarnation
        received = request.digest_position if is_known else 0
        return received < self._replica.digest.urgent_position

    def _wake_held_calls(self) -> None:
        changed, self._state_changed = self._state_changed, asyncio.Event()
        changed.set()

    def _jittered_interval_s(self) -> float:
        return self._interval_s * self._random.uniform(0.9, 1.1)


def _as_peer(gateway: GatewayInstance) -> Peer:
    return Peer(name=gateway.name, address=gateway.control_address)
