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

    def models(self, *, servers=1, seeds=(1,)):
        for instances in FLEETS:
            for seed in seeds:
                self.label = f"{instances} instances, seed {seed}"
                yield ColdModel(instances, servers, seed)

    def check(self, model, from_s, until_s, least):
        model.run(until_s)
        for entry in model.entries:
            received = [
                time_s
                for time_s in model.received.get(entry.name, [])
                if time_s >= from_s
            ]
            self.assertGreaterEqual(len(received), least, self.label)
            for start_s in received:
                in_second = sum(0 <= time - start_s < 1 for time in received)
                self.assertLessEqual(in_second, BOUND, self.label)

    def add_cold_run(self, model):
        entry = build_entry("s0", started_ms=9, revision=9, cold_left_s=3.0)
        model.entries = [entry]
        for instance in model.instances.values():
            instance.cold.update_servers([entry], 0.0)

    def test_server_is_used_at_its_rate(self):
        for model in self.models():
            self.add_cold_run(model)
            model.offer(300.0)
            self.check(model, 0.0, 2.9, least=25)

    def test_domain_that_returns_cold_at_once(self):
        for model in self.models(servers=12):
            for instance in model.instances.values():
                model.after(
                    model.random.uniform(0.0, 0.5), instance.end_evacuation
                )
            self.check(model, 0.0, 2.9, least=20)

    def test_restart_that_no_entry_shows_yet(self):
        for model in self.models(seeds=range(3)):
            model.down["s0"] = (4.5, 5.5)
            model.offer(60.0)
            self.check(model, 5.5, 8.4, least=10)

    def test_restart_while_no_instance_hears_another(self):
        for model in self.models(seeds=range(3)):
            model.is_linked = lambda _from, _to: False
            model.down["s0"] = (6.5, 7.5)
            model.offer(60.0)
            self.check(model, 7.5, 10.4, least=10)

    def test_restart_while_the_regions_are_cut_off(self):
        for model in self.models():
            model.is_linked = lambda a, b: int(a[1:]) % 2 == int(b[1:]) % 2
            model.down["s0"] = (6.5, 7.5)
            model.offer(60.0)
            self.check(model, 7.5, 10.4, least=10)

    def test_all_instances_restart_with_stale_lists_of_each_other(self):
        for model in self.models():
            model.restart_all(within_s=2.0)
            model.keep_cold()
            model.offer(1500.0)
            self.check(model, 0.0, 14.0, least=30)

    def test_instances_that_disagree_while_some_are_silent(self):
        for model in self.models():
            model.is_linked = lambda a, b: not {a, b} & {"e1", "e2"}
            for instance in model.instances.values():
                names = [
                    name
                    for name in model.instances
                    if model.random.random() < 0.8
                ]
                instance.peers.set_members(names)
                # Without memory of those that it has seen before.
                instance.cold.shares = ColdShares(instance.name)
                instance.cold.refresh(instance.registered_s, 0.0)
            self.add_cold_run(model)
            model.offer(300.0)
            self.check(model, 0.0, 2.9, least=25)

    def test_instance_that_sees_no_other_while_they_see_it(self):
        for model in self.models():
            self.add_cold_run(model)
            model.instances["e0"].peers.set_members(["e0"])
            # As many callers choose it as its whole budget is.
            model.offer(1500.0)
            self.check(model, 0.0, 2.9, least=25)
