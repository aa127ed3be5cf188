"""Tests that the parts of an entry instance are connected to each other."""

from __future__ import annotations

from dataclasses import replace
from unittest import IsolatedAsyncioTestCase

from azurewick.entry.broker_election import Group
from azurewick.entry.broker_messages import Ask
from azurewick.entry.broker_messages import Grant
from azurewick.entry.broker_messages import Queued
from azurewick.entry.broker_messages import RequestKey
from azurewick.helpers.clock import monotonic_s
from azurewick.platform.application import build_entry
from tests.entry.builders import build_demand
from tests.entry.instance_case import build_settings
from tests.entry.test_state import build_object
from tests.platform.builders import CONFIGURATION
from tests.platform.builders import SERVER

SERVICE = {"name": SERVER["service"], "cold_s": 3.0, "cold_per_s": 15.0}


class WiringTest(IsolatedAsyncioTestCase):
    """Guards against parts that work alone and don't reach each other."""

    async def asyncSetUp(self):
        settings = build_settings("127.0.0.1:1")
        self.instance = build_entry(
            replace(settings, follows_evacuations=True, processor_cores=2.0)
        )
        spec = {**CONFIGURATION, "services": [SERVICE]}
        state = self.instance.state
        state.update_configuration({"main": build_object("main", spec)})
        state.update_servers({"i-1": build_object("i-1", SERVER)}, 3)

    def evacuate_and_return(self):
        evacuations = self.instance.state.evacuations
        for revision, domains in ((4, ["north"]), (5, [])):
            evacuations.update_from_store(domains, revision, monotonic_s())

    async def test_servers_are_cold_after_an_evacuation(self):
        self.assertEqual(0, self.instance.cold_servers.count)
        self.evacuate_and_return()
        self.assertEqual(1, self.instance.cold_servers.count)

    async def test_asks_for_slots_exclude_cold_servers_without_budget(self):
        self.evacuate_and_return()
        withheld = self.instance._grants.client._engines.withheld
        self.assertEqual({"i-1"}, withheld(monotonic_s()))

    async def test_broker_grants_cold_servers_to_other_instances(self):
        """Its own part of a cold server's rate says nothing about theirs."""
        self.evacuate_and_return()
        now_s = monotonic_s()
        sent = []
        broker = self.instance._grants.broker
        broker._send = lambda to, message: sent.append(message)
        key = RequestKey("e2", 1, 1)
        demand = build_demand(target_s=now_s + 1, deadline_at_s=now_s + 9)
        group = Group(SERVER["service"], "home", 0)
        broker.handle(Ask(key=key, group=group, demand=demand), now_s)
        self.assertEqual([Grant(key=key, server="i-1")], sent)

    async def test_broker_queues_a_begun_stream_that_would_wait_long(self):
        """Its refusal broke off an answer that the caller had in part."""
        now_s = monotonic_s()
        sent = []
        broker = self.instance._grants.broker
        broker._send = lambda to, message: sent.append(message)
        group = Group(SERVER["service"], "home", 0)
        late = build_demand(target_s=now_s, deadline_at_s=now_s + 15)
        begun = replace(late, is_started=True)
        # More work, all of it more urgent, than a late request may wait for.
        urgent = build_demand(
            rank=(-9, 0), target_s=now_s + 9, deadline_at_s=now_s + 15
        )
        demands = [*[urgent] * 60, late, begun]
        for number, demand in enumerate(demands):
            key = RequestKey("e2", 1, number)
            broker.handle(Ask(key=key, group=group, demand=demand), now_s)
        kinds = [type(message).__name__ for message in sent[-2:]]
        self.assertEqual(["Refusal", Queued.__name__], kinds)

    async def test_large_instances_weigh_more_as_brokers(self):
        """Brokers on small instances were late in bursts."""
        self.assertEqual(4.0, self.instance._grants.election.own_share)
