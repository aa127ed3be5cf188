"""Tests that servers that have left get no requests."""

from __future__ import annotations

import asyncio
from unittest import IsolatedAsyncioTestCase
from unittest.mock import patch

from azurewick.entry.departures import Departure
from azurewick.entry.departures import DepartureSource
from azurewick.entry.state import FleetState
from azurewick.errors import AzurewickError
from azurewick.helpers.bounded_head import BoundedHeadConnector
from azurewick.helpers.clock import monotonic_s
from azurewick.platform.application import PlatformDocuments
from azurewick.platform.store import PlatformStore
from fakes.platform_store import FakePlatformStore
from tests.entry.builders import answer
from tests.entry.builders import build_replicator
from tests.entry.builders import build_watches
from tests.entry.builders import replies
from tests.entry.instance_case import EntryInstanceCase
from tests.entry.test_peers import build_report
from tests.platform.builders import CONFIGURATION
from tests.platform.builders import SERVER

# Requests may reach a server for 2.5 s after the store has confirmed that it
# leaves. The tests ask for less, as an instance also needs time to send.
NOTICE_BOUND_S = 2.0
SERVICE = "huvo11a"


class LeavingServerCase(IsolatedAsyncioTestCase):
    """Base class that follows the servers of a fake store."""

    async def asyncSetUp(self):
        self.fake = FakePlatformStore()
        self.store = PlatformStore(await self.fake.async_start())
        self.addAsyncCleanup(self.fake.async_stop)
        self.addAsyncCleanup(self.store.async_close)
        self.fake.put("config", "main", {**CONFIGURATION, "version": 1})
        self.fake.put("servers", "i-1", {**SERVER, "born": 5})
        self.fake.put("servers", "i-2", {**SERVER, "born": 5})
        self.state = FleetState(PlatformDocuments(), monotonic_s)
        self.peers_list_age_s: float | None = None
        watches = build_watches(
            self.store,
            self.state,
            peers_list_age_s=lambda: self.peers_list_age_s,
        )
        replicator = build_replicator(self.store, self.state)
        replicator.start()
        self.addAsyncCleanup(replicator.async_stop)
        watches.start()
        self.addAsyncCleanup(watches.async_stop)
        await self.async_until(lambda: self.state.is_ready)
        await asyncio.sleep(0.2)

    async def async_until(self, condition, timeout_s=NOTICE_BOUND_S):
        async with asyncio.timeout(timeout_s):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(0.01)

    def is_used(self, name="i-1") -> bool:
        now_s = monotonic_s()
        return any(
            server.name == name and server.is_available(now_s)
            for server in self.state.servers_of(SERVICE)
        )

    async def async_until_unused(self, timeout_s=NOTICE_BOUND_S):
        await self.async_until(lambda: not self.is_used(), timeout_s)


class RemovedServerTest(LeavingServerCase):
    """Guards against requests to servers whose entries are removed."""

    async def test_server_removed_after_single_failed_calls_is_not_kept(self):
        # Four failed calls: one of the directory and the three watches.
        self.fake.fail_calls = 4
        with self.assertRaises(AzurewickError):
            await self.store.async_list("azurewick-instances")
        await self.async_until(lambda: not self.fake.fail_calls)
        await asyncio.sleep(0.7)
        self.fake.remove("servers", "i-1")
        await self.async_until_unused(1.0)

    async def test_server_removed_before_a_failed_call_is_not_kept(self):
        self.fake.loses_watches = True
        self.fake.remove("servers", "i-1")
        self.fake.fail_calls = 4
        with self.assertRaises(AzurewickError):
            await self.store.async_list("azurewick-instances")
        self.fake.loses_watches = False
        await self.async_until_unused()

    async def test_server_that_expired_in_an_outage_is_kept(self):
        self.fake.is_down = True
        await asyncio.sleep(3.0)
        self.fake.remove("servers", "i-1")
        self.fake.is_down = False
        await asyncio.sleep(1.0)
        self.assertTrue(self.is_used())
        self.fake.put("servers", "i-1", {**SERVER, "born": 5})
        await asyncio.sleep(2.0)
        self.assertTrue(self.is_used())

    async def test_server_that_expired_in_a_short_outage_is_kept(self):
        # An entry expires after 3.6 s without a heartbeat. Only the checks of
        # the watches notice this outage.
        self.peers_list_age_s = 0.0
        for kind in ("is_down", "is_silent"):
            with self.subTest(kind):
                self.fake.put("servers", "i-1", {**SERVER, "born": 5})
                await self.async_until(self.is_used)
                setattr(self.fake, kind, True)
                await asyncio.sleep(3.6)
                self.fake.remove("servers", "i-1")
                setattr(self.fake, kind, False)
                ends_s = monotonic_s() + 1.5
                while monotonic_s() < ends_s:
                    self.assertTrue(self.is_used())
                    await asyncio.sleep(0.05)

    async def test_error_in_an_update_does_not_lose_a_change(self):
        draining = {**SERVER, "born": 5, "state": "draining"}
        with patch.object(
            self.state.registry, "update", side_effect=RuntimeError("once")
        ):
            self.fake.put("servers", "i-1", draining)
            await asyncio.sleep(0.2)
        await self.async_until_unused()

    async def test_lost_watch_and_stale_reads_do_not_hide_a_removal(self):
        self.fake.loses_watches = True
        self.fake.is_stale_behind = True
        self.fake.remove("servers", "i-1")
        await self.async_until_unused()

    async def test_watch_lost_after_trouble_does_not_hide_a_removal(self):
        self.fake.fail_calls = 4
        with self.assertRaises(AzurewickError):
            await self.store.async_list("azurewick-instances")
        await self.async_until(lambda: not self.fake.fail_calls)
        await asyncio.sleep(1.0)
        self.fake.loses_watches = True
        self.fake.remove("servers", "i-1")
        await self.async_until_unused()


class DrainingServerTest(LeavingServerCase):
    """Guards against requests to a server that has announced its end."""

    async def test_later_entry_of_the_same_run_does_not_bring_it_back(self):
        entry = {**SERVER, "born": 5}
        self.fake.put("servers", "i-1", {**entry, "state": "draining"})
        await self.async_until_unused()
        self.fake.put("servers", "i-1", entry)
        self.fake.remove("servers", "i-2")
        await self.async_until(lambda: not self.is_used("i-2"))
        self.assertFalse(self.is_used())
        self.fake.put("servers", "i-1", {**entry, "born": 6})
        await self.async_until(self.is_used)


class LeavingServerInstanceTest(EntryInstanceCase):
    """Guards against requests to leaving servers through a whole instance."""

    async def test_removed_server_is_not_used_without_the_store(self):
        await self.async_start(replies(answer()), replies(answer()))
        peer = await self.async_start_peer()
        self.store.refused_ports.add(self.peer_port)
        await asyncio.sleep(0.5)
        self.store.remove("servers", "i-1")

        def is_used():
            now_s = monotonic_s()
            return any(
                server.name == "i-1" and server.is_available(now_s)
                for server in peer.state.registry
            )

        await self.async_until(lambda: not is_used(), 1.5)
        await asyncio.sleep(1.0)
        self.store.refused_ports.clear()
        for _ in range(10):
            await asyncio.sleep(0.1)
            self.assertFalse(is_used())

    async def test_server_that_leaves_during_the_connection_gets_nothing(
        self,
    ):
        await self.async_start(replies(answer()), replies(answer()))
        connect = BoundedHeadConnector._create_connection
        chosen = []

        async def async_connect_slowly(connector, req, traces, limits):
            proto = await connect(connector, req, traces, limits)
            if not chosen:
                chosen.append(req.url.port)
                (name,) = (
                    server.name
                    for server in self.instance.state.registry
                    if server.entry.address.endswith(f":{req.url.port}")
                )
                entry = self.store.objects["servers"][name]["spec"]
                draining = {**entry, "state": "draining"}
                self.store.put("servers", name, draining)
                self.left = name
                await self.async_until(
                    lambda: any(
                        server.name == name and server.is_leaving
                        for server in self.instance.state.registry
                    ),
                    2.0,
                )
            return proto

        with patch.object(
            BoundedHeadConnector, "_create_connection", async_connect_slowly
        ):
            status, _, _ = await self.async_send()
        self.assertEqual(200, status)
        requests = {
            server.name: len(server.requests) for server in self.servers
        }
        self.assertEqual(0, requests[self.left])
        self.assertEqual(1, sum(requests.values()))

    async def async_serve_until_leaving(self):
        """Serve until the first of two servers says that it leaves."""
        leaving = answer(extra="Server-Leaving: 1\r\n")
        await self.async_start(replies(leaving), replies(answer()))
        # The server that answers first is preferred as long as it is idle.
        entry = self.store.objects["servers"]["i-2"]["spec"]
        self.store.remove("servers", "i-2")
        await self.async_until(lambda: len(self.instance.state.registry) == 1)
        await self.async_send()
        self.store.put("servers", "i-2", entry)
        await self.async_until(lambda: len(self.instance.state.registry) == 2)

    async def test_servers_own_word_holds_without_the_store(self):
        await self.async_serve_until_leaving()
        self.store.is_down = True
        for _ in range(8):
            self.assertEqual(200, (await self.async_send())[0])
        self.assertEqual(1, len(self.servers[0].requests))

    async def test_ready_entry_does_not_override_the_servers_own_word(self):
        await self.async_serve_until_leaving()
        entry = self.store.objects["servers"]["i-1"]["spec"]
        self.store.put("servers", "i-1", {**entry, "seq": 9})
        await asyncio.sleep(0.8)
        await self.async_send()
        self.assertEqual(1, len(self.servers[0].requests))
        self.store.put("servers", "i-1", {**entry, "born": 7})
        self.store.remove("servers", "i-2")
        async with asyncio.timeout(3.0):
            while len(self.servers[0].requests) < 2:
                await self.async_send()

    async def test_peers_learn_the_servers_own_word(self):
        leaving = answer(extra="Server-Leaving: 1\r\n")
        await self.async_start(replies(leaving))
        peer = await self.async_start_peer()
        await self.async_send()
        (backend,) = peer.state.registry
        await self.async_until(
            lambda: not backend.accepts_work(monotonic_s()), 0.5
        )

    async def test_removal_counts_only_if_most_instances_had_the_store(self):
        await self.async_start(replies(answer()))
        (backend,) = self.instance.state.registry
        removal = Departure(
            run=backend.entry.run_name,
            source=DepartureSource.REMOVED_ENTRY,
            revision=backend.entry.revision,
        )
        outage = self.instance.state.outage
        self.enterContext(patch.object(outage, "is_recent", lambda _: True))
        for sequence, has_lost_store in ((1, True), (2, False)):
            self.instance._handle_report(
                build_report(
                    "e2",
                    sequence,
                    departures=(removal,),
                    has_lost_store=has_lost_store,
                )
            )
            self.assertEqual(
                has_lost_store, backend.accepts_work(monotonic_s())
            )

    async def test_rejection_and_failure_with_the_servers_own_word(self):
        for changes in (
            {"status": "503 Busy", "extra_fields": "X-Not-Executed: 1\r\n"},
            {"status": "500 Failed"},
            {"request_id": "00aa00aa00aa00aa"},
        ):
            with self.subTest(changes):
                extra = "Server-Leaving: 1\r\n" + changes.pop(
                    "extra_fields", ""
                )
                leaving = answer(extra=extra, **changes)
                await self.async_start(replies(leaving))
                await self.async_send()
                (backend,) = self.instance.state.registry
                self.assertFalse(backend.accepts_work(monotonic_s()))

    async def test_word_of_another_server_at_the_address_is_ignored(self):
        leaving = answer("421 Misdirected", extra="Server-Leaving: 1\r\n")
        await self.async_start(replies(leaving))
        await self.async_send()
        (backend,) = self.instance.state.registry
        self.assertTrue(backend.accepts_work(monotonic_s()))

    async def test_stream_head_with_the_servers_own_word(self):
        leaving = answer(
            body=b"id: 1\ndata: a\n\n", extra="Server-Leaving: 1\r\n"
        )
        await self.async_start(replies(leaving))
        await self.async_send("/pufi791/2f")
        (backend,) = self.instance.state.registry
        self.assertFalse(backend.accepts_work(monotonic_s()))
