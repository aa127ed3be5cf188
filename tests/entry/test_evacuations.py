"""Tests that servers of evacuated failure domains get no requests."""

from __future__ import annotations

import asyncio
import re
from unittest import TestCase
from unittest.mock import patch

from azurewick.entry.evacuations import decode_evacuations
from azurewick.entry.evacuations import EvacuationList
from azurewick.entry.evacuations import Evacuations
from azurewick.entry.evacuations import NEWS_S
from azurewick.entry.evacuations import UNREADABLE_AFTER_S
from azurewick.entry.report_codec import decode_report
from azurewick.entry.report_codec import encode_report
from azurewick.entry.state import FleetState
from azurewick.helpers.bounded_head import BoundedHeadConnector
from azurewick.platform.application import PlatformDocuments
from tests.entry.builders import answer
from tests.entry.builders import replies
from tests.entry.instance_case import EntryInstanceCase
from tests.entry.test_peers import build_report
from tests.entry.test_state import build_object
from tests.platform.builders import SERVER

NORTH = frozenset({"north"})
NONE = frozenset()


def build_list(revision, *domains):
    return EvacuationList(revision=revision, domains=frozenset(domains))


class EvacuationsTest(TestCase):
    """Guards against an older list that replaces a newer one."""

    def setUp(self):
        self.evacuations = Evacuations(is_followed=True)

    def test_newest_revision_wins_whatever_the_order_of_arrival(self):
        evacuations = self.evacuations
        evacuations.update_from_store(["north"], 5, 0.0)
        for revision, domains, expected in (
            (4, NONE, NORTH),
            (7, NONE, NONE),
            (6, NORTH, NONE),
            (9, {"far", "north"}, {"far", "north"}),
        ):
            evacuations.record_peer(build_list(revision, *domains), "e2", 0.0)
            self.assertEqual(expected, evacuations.domains)
        # The own watch goes through the changes that a peer has told.
        evacuations.update_from_store(["north"], 8, 0.0)
        self.assertEqual({"far", "north"}, evacuations.domains)
        evacuations.update_from_store([], 9, 0.0)
        self.assertEqual(NONE, evacuations.domains)

    def test_withdrawal_is_reported_until_the_peers_know_it(self):
        evacuations = self.evacuations
        evacuations.update_from_store([], 4, 0.0)
        self.assertIsNone(evacuations.news(0.0))
        evacuations.update_from_store(["north"], 5, 0.0)
        self.assertEqual(NORTH, evacuations.news(NEWS_S + 1).domains)
        evacuations.update_from_store([], 6, 100.0)
        self.assertEqual(build_list(6), evacuations.news(100.0))
        self.assertIsNone(evacuations.news(101.0 + NEWS_S))
        evacuations.record_peer(build_list(5, "north"), "e2", 200.0)
        self.assertEqual(build_list(6), evacuations.news(200.0))

    def test_report_keeps_the_list_and_never_holds_a_part_of_it(self):
        for known in (build_list(7, "a", "b"), build_list(8), None):
            report = build_report("e2", evacuations=known)
            decoded = decode_report(encode_report(report))
            self.assertEqual(known, decoded.evacuations)
        names = [f"zone-{index}" for index in range(200)]
        self.evacuations.update_from_store(names, 9, 0.0)
        self.assertIsNone(self.evacuations.news(0.0))
        for body in ([1], [True, "a"], ["1", []], [-1, []], [1, [2]]):
            with self.assertRaises((TypeError, ValueError)):
                decode_evacuations(body)

    def test_start_waits_for_the_list_unless_the_store_is_unreadable(self):
        self.evacuations.set_readable(False, 0.0)
        for now_s, has_peer_copy, expected in (
            (UNREADABLE_AFTER_S, False, False),
            (UNREADABLE_AFTER_S / 2, True, False),
            (UNREADABLE_AFTER_S, True, True),
        ):
            is_settled = self.evacuations.is_settled(
                now_s, has_peer_copy=has_peer_copy
            )
            self.assertEqual(expected, is_settled)

    def test_servers_added_meanwhile_are_evacuated_and_used_afterwards(self):
        state = FleetState(
            PlatformDocuments(), lambda: 0.0, follows_evacuations=True
        )
        ended = []
        state.evacuations.on_evacuation_end += [
            lambda domain, now_s: 1 / 0,
            lambda domain, now_s: ended.append((domain, now_s)),
        ]
        state.evacuations.update_from_store(["north", "unknown"], 1, 0.0)
        state.update_servers({"s1": build_object("s1", SERVER)})
        (server,) = state.registry
        self.assertFalse(server.accepts_work(0.0) or server.is_leaving)
        state.evacuations.update_from_store(["unknown"], 2, 3.0)
        self.assertTrue(server.accepts_work(0.0))
        self.assertEqual([("north", 3.0)], ended)


class EvacuationInstanceTest(EntryInstanceCase):
    """Guards against requests to an evacuated domain by an instance."""

    async def async_start_following(self):
        await self.async_start(replies(answer()), follows_evacuations=True)
        (self.backend,) = self.instance.state.registry

    async def async_until_evacuated(self, evacuated=True):
        await self.async_until(lambda: self.backend.is_evacuated is evacuated)

    async def test_order_and_withdrawal_come_through_the_watch(self):
        await self.async_start_following()
        for _ in range(2):
            self.store.put("evacuations", "north", {})
            await self.async_until_evacuated()
            self.assertEqual(503, (await self.async_send())[0])
            self.assertEqual([], self.servers[0].requests)
            self.store.remove("evacuations", "north")
            await self.async_until_evacuated(False)
        self.assertEqual(200, (await self.async_send())[0])

    async def test_order_and_withdrawal_come_from_a_peer(self):
        await self.async_start_following()
        peer = await self.async_start_peer(follows_evacuations=True)
        (self.backend,) = peer.state.registry
        self.store.refused_ports.add(self.peer_port)
        await asyncio.sleep(0.5)
        with self.assertLogs("azurewick.entry.evacuations") as logs:
            self.store.put("evacuations", "north", {})
            await self.async_until_evacuated()
            self.store.remove("evacuations", "north")
            await self.async_until_evacuated(False)
        sources = [record.learned_from for record in logs.records]
        self.assertEqual(
            ["peer", "store"] * 2, sorted(sources[:2]) + sorted(sources[2:])
        )

    async def test_lost_watch_and_dropped_history_hide_no_order(self):
        await self.async_start_following()
        poll = re.compile(r"evacuations\?watch=\d+&wait_ms=2000$")
        # The first poll is short as the instance doesn't know its rank yet.
        await self.async_until(
            lambda: len(list(filter(poll.search, self.store.calls))) > 2,
            12.0,
        )
        self.store.loses_watches = self.store.is_stale_behind = True
        self.store.put("evacuations", "north", {})
        self.store.forget_history()
        # A watch of the usual length would lose its answer for 12 s.
        await self.async_until(lambda: self.backend.is_evacuated, 8.0)

    async def test_order_during_the_set_up_of_a_connection_stops_the_send(
        self,
    ):
        await self.async_start_following()
        connect = BoundedHeadConnector.connect
        evacuations = self.instance.state.evacuations

        async def async_evacuate_then_connect(*args, **kwargs):
            evacuations.update_from_store(["north"], 10**6, 0.0)
            await asyncio.sleep(0)
            return await connect(*args, **kwargs)

        with patch.object(
            BoundedHeadConnector, "connect", async_evacuate_then_connect
        ):
            self.assertEqual(503, (await self.async_send())[0])
        self.assertEqual([], self.servers[0].requests)
