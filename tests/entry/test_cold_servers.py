"""Tests of what tells that a server is cold, and of its budget."""

from __future__ import annotations

from unittest import TestCase

from azurewick.entry.backends import Backend
from azurewick.entry.cold_budget import ColdShares
from azurewick.entry.cold_reports import read_claims
from azurewick.entry.cold_reports import RestartClaim
from azurewick.entry.models import Service
from azurewick.entry.report_codec import decode_report
from azurewick.entry.report_codec import encode_report
from tests.entry.builders import build_demand
from tests.entry.builders import build_entry
from tests.entry.builders import build_peers
from tests.entry.builders import build_placement
from tests.entry.cold_model import build_cold_servers
from tests.entry.cold_model import SERVICE
from tests.entry.test_peers import build_report


class ColdServersTest(TestCase):
    """Guards against servers that are taken for warm too early or too late.

    In the first case they crash, in the second they are left unused.
    """

    def setUp(self):
        self.peers = build_peers("e1", "e1")
        self.service = SERVICE
        self.cold = self.build()
        self.cold.update_servers([build_entry()], 0.0)

    def build(self):
        cold = build_cold_servers(self.peers, lambda _: self.service)
        cold.refresh(-60.0, 0.0)
        return cold

    def list_server(self, now_s, **changes):
        self.cold.update_servers([build_entry(**changes)], now_s)

    def is_cold(self, now_s, cold=None):
        cold = cold or self.cold
        cold.refresh(-60.0, now_s)
        return bool(cold.count)

    def assert_cold_between(self, start_s, end_s):
        self.assertTrue(self.is_cold(start_s))
        self.assertTrue(self.is_cold(end_s - 0.01))
        self.assertFalse(self.is_cold(end_s + 0.01))

    def test_first_list_counts_only_what_entries_say(self):
        self.assertFalse(self.is_cold(0.0))
        self.cold = self.build()
        self.list_server(0.0, cold_left_s=1.5)
        self.assert_cold_between(0.0, 1.5)

    def test_new_run_is_cold_until_a_later_entry_says_0(self):
        self.list_server(1.0, started_ms=5, revision=5)
        self.assert_cold_between(1.0, 4.0)
        self.list_server(5.0, started_ms=6, revision=6)
        self.list_server(5.5, started_ms=6, revision=6)
        self.assertTrue(self.is_cold(6.0))
        self.list_server(6.5, started_ms=6, revision=7)
        self.assertFalse(self.is_cold(6.5))

    def test_entry_that_comes_back_is_cold(self):
        self.cold.update_servers([], 1.0)
        self.assertFalse(self.is_cold(1.0))
        self.list_server(2.0)
        self.assert_cold_between(2.0, 5.0)

    def test_withdrawn_evacuation_leaves_its_domain_cold(self):
        self.cold.end_evacuation("south", 1.0)
        self.assertFalse(self.is_cold(1.0))
        self.cold.end_evacuation("north", 1.0)
        # This entry may have been written before.
        self.list_server(1.5, revision=2)
        self.assert_cold_between(1.5, 4.0)

    def test_lost_server_is_cold_until_after_its_next_success(self):
        self.cold.record_failure(build_entry(), 1.0)
        # This answer belongs to a request to the previous run.
        self.cold.record_success(build_entry(), 0.9, 1.1)
        # That of the loss may be some tenths of a second late.
        self.cold.record_success(build_entry(), 1.3, 1.4)
        self.assertTrue(self.is_cold(6.0))
        self.cold.record_success(build_entry(), 6.0, 6.5)
        self.cold.record_success(build_entry(), 7.0, 7.5)
        self.assert_cold_between(6.5, 9.5)

    def test_lost_server_without_news_is_warm_in_the_end(self):
        self.cold.record_failure(build_entry(), 1.0)
        self.assert_cold_between(1.0, 12.0)

    def test_only_an_entry_after_the_loss_refutes_it(self):
        self.cold.record_failure(build_entry(), 1.0)
        self.list_server(4.0, revision=2)
        self.assertTrue(self.is_cold(4.0))
        self.list_server(5.1, revision=3)
        self.assertFalse(self.is_cold(5.1))

    def test_peer_learns_of_the_loss_and_of_the_success(self):
        other = self.build()
        other.update_servers([build_entry()], 0.0)
        news = []
        self.cold.on_news.append(lambda: news.append(1))
        self.cold.record_failure(build_entry(), 1.0)
        self.cold.record_failure(build_entry(), 1.15)
        self.cold.record_failure(build_entry("unknown"), 1.15)
        self.assertEqual([1], news)
        other.record_claims(self.cold.claims(1.2), 1.3)
        self.assertTrue(self.is_cold(5.0, other))
        # What was heard isn't passed on, or it would never end.
        self.assertEqual([], other.claims(1.4))
        self.cold.record_success(build_entry(), 3.0, 3.1)
        other.record_claims(self.cold.claims(3.2), 3.3)
        self.assertTrue(self.is_cold(6.1, other))
        self.assertFalse(self.is_cold(6.3, other))

    def test_instance_without_the_store_learns_of_a_new_run(self):
        other = self.build()
        other.update_servers([build_entry()], 0.0)
        self.list_server(1.0, started_ms=7, revision=7)
        other.record_claims(self.cold.claims(2.0), 2.0)
        self.assertTrue(self.is_cold(3.9, other))
        self.assertFalse(self.is_cold(4.1, other))

    def test_claims_pass_through_a_report(self):
        claims = (RestartClaim(run="s1/0", failed_age_s=0.5),)
        report = build_report("e1", 1, restarts=claims)
        self.assertEqual(claims, decode_report(encode_report(report)).restarts)
        for body in ([["s1/0", -3, None, None]], [["s" * 400] * 4], 7, [[]]):
            with self.assertRaises((TypeError, ValueError)):
                read_claims(body)

    def test_service_without_cold_servers_has_no_limit(self):
        self.service = Service(name="models")
        self.list_server(1.0, started_ms=5, revision=5, cold_left_s=9.0)
        self.cold.record_failure(build_entry(started_ms=5), 1.0)
        self.assertFalse(self.is_cold(1.0))
        entry = build_entry(started_ms=5)
        self.assertTrue(all(self.cold.try_send(entry, 1.0) for _ in range(99)))

    def test_requests_before_the_news_count_in_the_same_second(self):
        for _ in range(10):
            self.assertTrue(self.cold.try_send(build_entry(), 1.0))
        self.cold.record_failure(build_entry(), 1.1)
        sent = [self.cold.try_send(build_entry(), 1.9) for _ in range(10)]
        self.assertEqual(5, sum(sent))
        self.assertEqual({"s1"}, self.cold.withheld_names(1.9))
        self.assertEqual({"send": 5}, self.cold.withheld)
        self.assertEqual(frozenset(), self.cold.withheld_names(2.1))

    def test_budget_counts_requests_that_wait_for_their_connection(self):
        self.cold.record_failure(build_entry(), 1.0)
        backend = Backend(entry=build_entry(), in_flight=14)
        self.assertTrue(self.cold.usable_slots(backend, 12, 1.0))
        backend.in_flight = 15
        self.assertFalse(self.cold.usable_slots(backend, 12, 1.0))
        backend.sent_in_flight = 15
        self.assertTrue(self.cold.usable_slots(backend, 12, 1.0))

    def test_slots_grow_while_the_server_is_cold(self):
        self.cold.end_evacuation("north", 1.0)
        backend = Backend(entry=build_entry())
        slots = [
            self.cold.usable_slots(backend, 12, now_s)
            for now_s in (1.0, 2.5, 3.9)
        ]
        self.assertEqual([4, 8, 12], slots)

    def list_cold_and_warm(self):
        self.cold = self.build()
        self.placement = build_placement(self.peers, send_limits=self.cold)
        entries = [build_entry("s1"), build_entry("s2")]
        self.cold.update_servers(entries, 0.0)
        self.cold.record_failure(entries[0], 1.0)
        return [Backend(entry=entry) for entry in entries]

    def choose(self, cold, warm, now_s=1.0):
        return self.placement.choose([cold, warm], build_demand(), now_s)

    def test_placement_prefers_warm_servers_and_uses_cold_ones(self):
        cold, warm = self.list_cold_and_warm()
        warm.in_flight = 1
        self.assertIs(warm, self.choose(cold, warm))
        warm.in_flight = 12
        self.assertIs(cold, self.choose(cold, warm))
        while self.cold.try_send(cold.entry, 1.0):
            pass
        self.assertIsNone(self.choose(cold, warm))
        self.assertEqual(16, self.placement.capacity([cold, warm], 1.0))

    def test_unknown_instance_uses_cold_servers_as_a_last_resort(self):
        cold, warm = self.list_cold_and_warm()
        self.cold.shares = ColdShares("e1")
        times_s = [4.0 + 0.25 * step for step in range(16)]
        warm.in_flight = 11
        chosen = [self.choose(cold, warm, now_s) for now_s in times_s]
        self.assertEqual([warm] * 16, chosen)
        warm.in_flight = 12
        chosen = [self.choose(cold, warm, now_s) for now_s in times_s]
        self.assertEqual(1, chosen.count(cold))
        self.assertEqual(15, chosen.count(None))
