"""Tests that fleets of instances keep to the rates of cold servers."""

from __future__ import annotations

from unittest import TestCase

from azurewick.entry.cold_budget import ColdShares
from tests.entry.builders import build_entry
from tests.entry.cold_model import BOUND
from tests.entry.cold_model import ColdModel

FLEETS = (1, 5, 31, 68)


class ColdFleetTest(TestCase):
    """Guards against cold servers that crash from too many requests.

    All instances together must keep to the bound in any second, also when
    they disagree or don't know of the restart, and must not leave the server
    without requests either.
    """

    def check(self, model, server="s0", from_s=0.0, until_s=1e9, least=1):
        self.assertLessEqual(
            model.largest_second(server, from_s, until_s), BOUND
        )
        received = [
            time_s
            for time_s in model.received.get(server, [])
            if from_s <= time_s < until_s
        ]
        self.assertGreaterEqual(len(received), least)

    def add_cold_run(self, model):
        """Let the entry of a new run reach each instance at its own time."""
        entry = build_entry("s0", started_ms=9, revision=9, cold_left_s=3.0)
        model.entries = [entry]
        for instance in model.instances.values():
            instance.cold.update_servers([entry], 0.0)

    def test_server_is_used_at_its_rate(self):
        for instances in FLEETS:
            with self.subTest(instances):
                model = ColdModel(instances)
                self.add_cold_run(model)
                model.offer(300.0)
                model.run(2.9)
                self.check(model, least=25)

    def test_domain_that_returns_cold_at_once(self):
        for instances in FLEETS:
            with self.subTest(instances):
                model = ColdModel(instances, servers=12)
                for instance in list(model.instances.values()):
                    self.learn_withdrawal(model, instance)
                model.run(2.9)
                for entry in model.entries:
                    self.check(model, entry.name, until_s=2.9, least=20)

    def learn_withdrawal(self, model, instance):
        """Let an instance learn that an evacuation has ended, and send."""

        def learn():
            instance.cold.end_evacuation("north", model.now_s)
            send()

        def send():
            for entry in model.entries:
                if instance.try_send(entry):
                    model.deliver(instance, entry)
            model.after(0.02, send)

        model.after(model.random.uniform(0.0, 0.5), learn)

    def test_restart_that_no_entry_shows_yet(self):
        for instances in FLEETS:
            for seed in range(3):
                with self.subTest((instances, seed)):
                    model = ColdModel(instances, seed=seed)
                    model.down["s0"] = (4.5, 5.5)
                    model.offer(60.0)
                    model.run(8.4)
                    self.check(model, from_s=5.5, until_s=8.5, least=10)

    def test_restart_while_no_instance_hears_another(self):
        for instances in FLEETS:
            for seed in range(3):
                with self.subTest((instances, seed)):
                    model = ColdModel(instances, seed=seed)
                    model.is_linked = lambda _from, _to: False
                    model.down["s0"] = (6.5, 7.5)
                    model.offer(60.0)
                    model.run(10.4)
                    self.check(model, from_s=7.5, until_s=10.5)

    def test_restart_while_the_regions_are_cut_off(self):
        for instances in FLEETS[1:]:
            with self.subTest(instances):
                model = ColdModel(instances)
                model.is_linked = lambda a, b: (int(a[1:]) ^ int(b[1:])) % 2
                model.down["s0"] = (6.5, 7.5)
                model.offer(60.0)
                model.run(10.4)
                self.check(model, from_s=7.5, until_s=10.5, least=10)

    def test_all_instances_restart_with_stale_lists_of_each_other(self):
        for instances in FLEETS:
            with self.subTest(instances):
                model = ColdModel(instances)
                model.restart_all(within_s=2.0)
                model.after(2.5, lambda model=model: model.offer(300.0))

                self.keep_cold(model)
                model.run(20.0)
                self.check(model, until_s=13.0)
                self.check(model, from_s=16.0, until_s=20.0, least=35)

    def test_instances_that_disagree_while_some_are_silent(self):
        for instances in FLEETS[1:]:
            with self.subTest(instances):
                model = ColdModel(instances)
                names = list(model.instances)
                model.is_linked = lambda a, b: not {a, b} & {"e1", "e2"}
                for instance in model.instances.values():
                    seen = [
                        name for name in names if model.random.random() < 0.8
                    ]
                    instance.peers.set_members(seen)
                    # Without memory of those that it has seen before.
                    instance.cold.shares = ColdShares(instance.name)
                self.add_cold_run(model)
                model.offer(300.0)
                model.run(2.9)
                self.check(model, least=25)

    def keep_cold(self, model):
        for instance in model.instances.values():
            instance.cold.end_evacuation("north", model.now_s)
        model.after(0.5, lambda: self.keep_cold(model))

    def test_instances_that_vanish_from_the_list_may_still_send(self):
        # One instance sees none of the others, which see all.
        for instances in (5, 15, 31):
            with self.subTest(instances):
                model = ColdModel(instances)
                self.add_cold_run(model)
                model.instances["e0"].peers.set_members(["e0"])
                model.offer(300.0)
                model.run(2.9)
                self.check(model, least=25)
