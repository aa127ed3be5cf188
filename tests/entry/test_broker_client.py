"""Tests of the asker's side of slot grants."""

from __future__ import annotations

import logging
from unittest import TestCase

from azurewick.entry.backends import Backend
from azurewick.entry.broker_client import BrokerClient
from azurewick.entry.broker_client import FALLBACK_S
from azurewick.entry.broker_election import Group
from azurewick.entry.broker_messages import Ask
from azurewick.entry.broker_messages import Grant
from azurewick.entry.broker_messages import Queued
from azurewick.entry.broker_messages import Refusal
from azurewick.entry.broker_messages import Release
from azurewick.entry.broker_messages import Withdrawal
from azurewick.entry.spillover import SpilloverAsk
from tests.entry.builders import build_demand
from tests.entry.builders import build_entry

HOME = Group("models", "home", 0)
AWAY = Group("models", "away", 0)


class Fleet:
    """Brokers and engines as the client asks for them."""

    def __init__(self):
        self.brokers = {HOME: ["b1", "b2"], AWAY: ["b3"]}
        self.backends = [Backend(entry=build_entry("s1"))]
        self.withheld_names = frozenset()

    def broker(self, group, now_s):
        return next(iter(self.brokers[group]), None)

    def suspect(self, name, now_s):
        for names in self.brokers.values():
            if name in names:
                names.remove(name)

    def trust(self, name):
        pass

    def serving(self, service, demand):
        return self.backends

    def withheld(self, now_s):
        return self.withheld_names

    def is_own_region(self, group):
        return group == HOME


class FakeBrokersCase(TestCase):
    """Test case with a client whose messages are recorded."""

    def setUp(self):
        logging.disable(logging.WARNING)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.fleet = Fleet()
        self.sent = []
        self.results = []
        self.client = BrokerClient(
            own_name="e1",
            incarnation=1,
            brokers=self.fleet,
            engines=self.fleet,
            send=lambda target, message: self.sent.append((target, message)),
            set_timer=lambda delay_s: None,
        )

    def ask(self, now_s=0.0):
        return self.client.ask(
            build_demand(), [HOME, AWAY], 0.5, self.results.append, now_s
        )

    def run_timers(self, start_s: float, end_s: float) -> None:
        for tick in range(round(start_s * 1000), round(end_s * 1000) + 1):
            self.client.on_timer(tick / 1000)

    def asked(self):
        return [to for to, message in self.sent if isinstance(message, Ask)]


class BrokerClientTest(FakeBrokersCase):
    """Guards against requests that hang, or that keep or lose a slot."""

    def test_refused_request_is_asked_for_in_the_other_region(self):
        pending = self.ask()
        self.client.handle(Refusal(key=pending.key, wait_s=2.0), "b1", 0.01)
        self.assertEqual(["b1", "b3"], self.asked())
        self.client.handle(Refusal(key=pending.key, wait_s=3.0), "b3", 0.03)
        self.assertEqual(2.0, self.results[0].refused_wait_s)

    def test_own_shares_come_before_the_other_region(self):
        self.fleet.brokers[HOME] = []
        self.ask()
        self.assertFalse(self.sent)
        self.assertIsNone(self.results[0].refused_wait_s)

    def test_without_time_the_other_region_is_not_asked(self):
        pending = self.ask()
        self.client.handle(Refusal(key=pending.key, wait_s=2.0), "b1", 0.45)
        self.assertEqual(["b1"], self.asked())
        self.assertEqual(2.0, self.results[0].refused_wait_s)

    def test_unanswered_request_ends_at_the_own_shares(self):
        self.ask()
        self.run_timers(0.0, 0.13)
        self.assertEqual(["b1"] * 3 + ["b2"] * 3, self.asked())
        result = self.results[0]
        self.assertIsNone(result.backend or result.refused_wait_s)
        # For a time the others don't even ask.
        self.fleet.brokers[HOME] = ["b1"]
        self.ask(0.2)
        self.assertEqual(2, len(self.results))
        self.ask(0.2 + FALLBACK_S)
        self.assertEqual("b1", self.asked()[-1])

    def test_held_up_event_loop_is_no_missing_answer(self):
        pending = self.ask()
        self.client.on_timer(0.02)
        self.client.on_timer(0.09)
        self.client.handle(Queued(key=pending.key, wait_s=0.1), "b1", 0.091)
        self.run_timers(0.1, 0.2)
        self.assertEqual({"b1"}, set(self.asked()))

    def test_waiting_request_is_asked_for_again_at_times(self):
        pending = self.ask()
        self.client.handle(Queued(key=pending.key, wait_s=0.1), "b1", 0.01)
        self.run_timers(0.0, 0.24)
        self.assertEqual(1, len(self.asked()))
        self.run_timers(0.25, 0.26)
        self.assertEqual(2, len(self.asked()))

    def test_late_grant_is_returned_and_a_repeated_one_is_kept(self):
        pending = self.ask()
        key = pending.key
        self.client.withdraw(pending)
        self.assertIsInstance(self.sent[-1][1], Withdrawal)
        self.client.handle(Grant(key=key, server="s1"), "b1", 0.11)
        self.assertEqual(("b1", Release(key=key, server="s1")), self.sent[-1])
        key = self.ask(0.2).key
        for _ in range(2):
            self.client.handle(Grant(key=key, server="s1"), "b1", 0.21)
        (backend,) = self.fleet.backends
        self.assertEqual(1, backend.in_flight)
        self.assertIsInstance(self.sent[-1][1], Ask)
        self.client.release(backend, 0.3)
        self.assertEqual(("b1", Release(key=key, server="s1")), self.sent[-1])

    def test_withheld_server_is_excluded_and_its_grant_returned(self):
        """Else a cold server got more than this instance's part."""
        self.fleet.withheld_names = frozenset({"s1"})
        key = self.ask().key
        self.assertEqual(("s1",), self.sent[0][1].excluded)
        self.client.handle(Grant(key=key, server="s1"), "b1", 0.01)
        self.assertIn(("b1", Release(key=key, server="s1")), self.sent)
        self.assertEqual([], self.results)


class SpilloverTest(FakeBrokersCase):
    """Guards against requests that wait while another region has free slots.

    Most callers may be in one region and most engines in another.
    """

    def spill(self, now_s=0.0):
        ask = SpilloverAsk(
            self.client,
            build_demand(),
            [HOME, AWAY],
            0.5,
            self.results.append,
            now_s,
            self.full_until_s,
        )
        main = self.sent[-1][1].key
        self.client.handle(Queued(key=main, wait_s=0.1), "b1", now_s)
        return ask, main

    def setUp(self):
        super().setUp()
        self.full_until_s = {}

    def test_free_slot_elsewhere_ends_the_wait(self):
        _, main = self.spill()
        to, probe = self.sent[-1]
        self.assertEqual(("b3", False), (to, probe.may_wait))
        self.client.handle(Grant(key=probe.key, server="s1"), "b3", 0.02)
        (backend,) = self.fleet.backends
        self.assertIs(backend, self.results[0].backend)
        self.assertEqual(("b1", Withdrawal(key=main)), self.sent[-1])
        # The slot of the own region may have been granted meanwhile.
        self.client.handle(Grant(key=main, server="s1"), "b1", 0.03)
        self.assertEqual(1, backend.in_flight)
        self.assertEqual(1, len(self.results))
        self.assertIsInstance(self.sent[-1][1], Release)

    def test_full_region_is_not_asked_for_each_request(self):
        self.spill()
        probe = self.sent[-1][1]
        self.client.handle(Refusal(key=probe.key, wait_s=0.0), "b3", 0.02)
        self.spill(0.1)
        self.assertEqual(["b1", "b3", "b1"], self.asked())
        self.spill(0.3)
        self.assertEqual("b3", self.asked()[-1])

    def test_withdrawal_ends_both_asks(self):
        ask, main = self.spill()
        probe = self.sent[-1][1].key
        ask.withdraw()
        withdrawn = {message.key for _, message in self.sent[-2:]}
        self.assertEqual({main, probe}, withdrawn)
