"""Exchange of usage reports between entry instances by UDP datagrams."""

from __future__ import annotations

import asyncio
from asyncio import DatagramProtocol
from asyncio import DatagramTransport
from asyncio import Task
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Mapping
from dataclasses import replace
from logging import getLogger
from typing import Any

from azurewick.entry.broker_messages import decode_message
from azurewick.entry.broker_messages import encode_message
from azurewick.entry.broker_messages import is_broker_message
from azurewick.entry.broker_messages import Message
from azurewick.entry.capacity_policy import CapacityReport
from azurewick.entry.instances import PeerInstance
from azurewick.entry.peers import LARGE_FLEET_INSTANCES
from azurewick.entry.peers import PeerReport
from azurewick.entry.report_codec import decode_report
from azurewick.entry.report_codec import encode_report
from azurewick.errors import AzurewickError
from azurewick.helpers.address import split_address
from azurewick.helpers.clock import monotonic_s
from azurewick.helpers.log_limit import LogLimit
from azurewick.helpers.tasks import async_cancel
from azurewick.helpers.tasks import create_supervised_task

_LOGGER = getLogger(__name__)

# Bounds of the interval between reports. With the longest one, two datagrams
# in a row can be lost before a peer in another region counts as silent.
MIN_REPORT_INTERVAL_S = 0.08
MAX_REPORT_INTERVAL_S = 0.22
LARGE_FLEET_INTERVAL_S = 0.4
# In a large fleet, outcomes are sent once in this many rounds.
OUTCOME_REPORT_ROUNDS = 4
# The interval grows with the number of peers to limit the datagrams that an
# instance sends a second.
REPORT_INTERVAL_PER_PEER_S = 0.010
# Peers in other regions get a report once in this many rounds: the link
# between regions is narrow and billed by volume.
REMOTE_REPORT_ROUNDS = 2
# Speeds are sent once in this many rounds: they change over seconds. It is a
# multiple of REMOTE_REPORT_ROUNDS.
SPEED_REPORT_ROUNDS = 10
# Measurements of the capacity are sent once in this many rounds, so that a
# limit follows a server within seconds. From CAPACITY_FLEET_INSTANCES on they
# are sent as often as speeds, as their volume grows with the square.
CAPACITY_REPORT_ROUNDS = 2
CAPACITY_FLEET_INSTANCES = 100
# Times of engines are sent once in this many rounds: they hardly change.
TIMES_REPORT_ROUNDS = 40


class PeerGossip(DatagramProtocol):
    """Sends this instance's reports and receives those of the peers."""

    def __init__(
        self,
        own: PeerInstance,
        build_report: Callable[[int], PeerReport],
        on_report: Callable[[PeerReport], None],
        *,
        own_name: str = "",
        on_message: Callable[[str, Message, float], None] | None = None,
    ) -> None:
        self._own = own
        self._build_report = build_report
        self._on_report = on_report
        self._own_name = own_name
        self._on_message = on_message
        self._peer_addresses: dict[str, tuple[str, int]] = {}
        # Names of the peers in other regions.
        self._remote_peers: frozenset[str] = frozenset()
        self._transport: DatagramTransport | None = None
        self._task: Task[None] | None = None
        self._log_limit = LogLimit()
        self._sequence = 0
        self._rounds = 0

    async def async_start(self) -> None:
        """Open the UDP port and start to send reports."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=split_address(self._own.address)
        )
        self._task = create_supervised_task("peer reports", self._async_send)

    async def async_stop(self) -> None:
        """Tell the peers that this instance leaves, and close the UDP port."""
        if self._task is not None:
            await async_cancel(self._task)
        if self._transport is not None:
            self._send(replace(self._next_report(), is_leaving=True))
            self._transport.close()
            # Requests that end later still return their slots.
            self._transport = None

    def set_peers(self, peers: Mapping[str, PeerInstance]) -> None:
        """Set the other instances by name; send a report to new ones at once.

        The replies give an instance that has just started the current quota
        levels. Until then its quotas hold what each instance starts with: the
        refill of RESTART_CREDIT_S and a part of the allowed overrun.
        """
        added = peers.keys() - self._peer_addresses.keys()
        self._peer_addresses = {
            name: split_address(peer.address) for name, peer in peers.items()
        }
        self._remote_peers = frozenset(
            name
            for name, peer in peers.items()
            if peer.region != self._own.region
        )
        if added and self._transport is not None:
            data = encode_report(self._next_report())
            for name in added:
                self._send_data(data, self._peer_addresses[name])

    def announce(self, names: Collection[str] | None = None) -> None:
        """Send a report out of turn, to all peers or to some of them."""
        if self._transport is None:
            return
        data = encode_report(
            replace(
                self._next_report(),
                speeds={},
                outcomes=None,
                capacity=CapacityReport(),
                engine_times={},
            )
        )
        for name, address in self._peer_addresses.items():
            if names is None or name in names:
                self._send_data(data, address)

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        """Handle a report; ignore those of unknown names or addresses."""
        try:
            if is_broker_message(data):
                self._receive_message(data, addr[0])
                return
            report = decode_report(data)
        except AzurewickError as err:
            if self._log_limit.allows(addr[0], monotonic_s()):
                _LOGGER.warning("datagram from %s ignored: %s", addr[0], err)
            return
        peer_address = self._peer_addresses.get(report.name)
        if peer_address is None or peer_address[0] != addr[0]:
            return
        self._on_report(report)
        if report.wants_levels:
            self._reply(peer_address)

    def send_message(self, name: str, message: Message) -> None:
        """Send a peer a message about slots."""
        address = self._peer_addresses.get(name)
        if address is not None and self._transport is not None:
            data = encode_message(message, self._own_name, monotonic_s())
            self._send_data(data, address)

    def error_received(self, exc: Exception) -> None:
        """Log that a peer's port is closed.

        The peer counts as silent once its reports stop.
        """
        _LOGGER.debug("datagram to a peer not delivered: %s", exc)

    def _receive_message(self, data: bytes, host: str) -> None:
        """Handle a message about slots; ignore those of unknown senders.

        Raises AzurewickError with code invalid_request.
        """
        now_s = monotonic_s()
        sender, message = decode_message(data, self._own_name, now_s)
        address = self._peer_addresses.get(sender)
        if address is None or address[0] != host or self._on_message is None:
            return
        self._on_message(sender, message, now_s)

    def _next_report(self) -> PeerReport:
        self._sequence += 1
        return self._build_report(self._sequence)

    def _reply(self, address: tuple[str, int]) -> None:
        """Send the levels of the quotas to a peer that has just started.

        A reply doesn't ask for levels itself: two instances that start
        together would reply to each other's replies without end.
        """
        report = replace(self._next_report(), wants_levels=False)
        if report.quota_levels and self._transport is not None:
            self._send_data(encode_report(report), address)

    def _send(self, report: PeerReport) -> None:
        assert self._transport is not None
        self._rounds += 1
        if self._rounds % SPEED_REPORT_ROUNDS:
            report = replace(report, speeds={})
        if self._rounds % TIMES_REPORT_ROUNDS:
            report = replace(report, engine_times={})
        if self._rounds % self._capacity_rounds:
            report = replace(report, capacity=CapacityReport())
        if self._is_large_fleet and self._rounds % OUTCOME_REPORT_ROUNDS:
            report = replace(report, outcomes=None)
        data = encode_report(report)
        skips_remote = not report.is_leaving and (
            self._rounds % REMOTE_REPORT_ROUNDS
        )
        for name, address in self._peer_addresses.items():
            if not (skips_remote and name in self._remote_peers):
                self._send_data(data, address)

    def _send_data(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram; the others go out if one address is invalid."""
        assert self._transport is not None
        try:
            self._transport.sendto(data, address)
        except (OSError, ValueError) as err:
            if self._log_limit.allows(address, monotonic_s()):
                _LOGGER.warning("can't send to peer %s: %r", address, err)

    async def _async_send(self) -> None:
        while True:
            self._send(self._next_report())
            await asyncio.sleep(self._interval_s)

    @property
    def _is_large_fleet(self) -> bool:
        return len(self._peer_addresses) >= LARGE_FLEET_INSTANCES

    @property
    def _capacity_rounds(self) -> int:
        if len(self._peer_addresses) >= CAPACITY_FLEET_INSTANCES:
            return SPEED_REPORT_ROUNDS
        return CAPACITY_REPORT_ROUNDS

    @property
    def _interval_s(self) -> float:
        if self._is_large_fleet:
            return LARGE_FLEET_INTERVAL_S
        interval_s = REPORT_INTERVAL_PER_PEER_S * len(self._peer_addresses)
        return min(
            MAX_REPORT_INTERVAL_S, max(MIN_REPORT_INTERVAL_S, interval_s)
        )
