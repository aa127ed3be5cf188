"""Tests of the election of the brokers."""

from __future__ import annotations

from collections import Counter
from unittest import TestCase

from azurewick.entry.broker_election import BrokerElection
from azurewick.entry.broker_election import elect
from azurewick.entry.broker_election import Group
from azurewick.entry.broker_election import MAX_GROUP_ENGINES
from azurewick.entry.broker_election import split_groups
from tests.entry.builders import build_entry

GROUP = Group("models", "home", 0)
REGIONS = {"north": "home", "far": "away"}


class FixedShares:
    """Processor shares that don't change."""

    def __init__(self, shares):
        self.shares = shares

    def processor_shares(self, now_s):
        return self.shares


def build_election(own: str, shares, regions=None) -> BrokerElection:
    others = {name: share for name, share in shares.items() if name != own}
    election = BrokerElection(own, "home", FixedShares(others))
    election.own_share = shares[own]
    election.set_peers(regions or dict.fromkeys(others, "home"))
    return election


class BrokerElectionTest(TestCase):
    """Guards against askers that choose different or unfit brokers."""

    def test_all_instances_choose_the_same_broker(self):
        shares = {f"e{i}": 1.0 - i / 40 for i in range(36)}
        for number in range(8):
            brokers = {
                build_election(own, shares).broker(
                    Group("models", "home", number), 0.0
                )
                for own in shares
            }
            self.assertEqual(1, len(brokers))

    def test_weights_decide_how_often_an_instance_is_broker(self):
        shares = {"e1": 1.0, "e2": 0.25, "e3": 0.0}
        counts = Counter(
            elect(Group("models", "home", number), shares)
            for number in range(2000)
        )
        self.assertEqual(0, counts["e3"])
        self.assertAlmostEqual(0.2, counts["e2"] / 2000, delta=0.04)

    def test_an_ended_broker_is_replaced_and_the_others_stay(self):
        shares = {f"e{i}": 1.0 for i in range(20)}
        groups = [Group("models", "home", number) for number in range(50)]
        gone = elect(groups[0], shares)
        rest = {name: 1.0 for name in shares if name != gone}
        for group in groups:
            before, after = elect(group, shares), elect(group, rest)
            self.assertNotEqual(gone, after)
            self.assertTrue(before in (gone, after))

    def test_a_broker_that_does_not_answer_is_asked_again_later(self):
        election = build_election("e1", {"e1": 0.0, "e2": 1.0, "e3": 1.0})
        broker = election.broker(GROUP, 0.0)
        election.suspect(broker, 0.0)
        self.assertNotEqual(broker, election.broker(GROUP, 0.01))
        self.assertEqual(broker, election.broker(GROUP, 0.5))

    def test_instances_of_the_region_are_preferred(self):
        regions = {"e2": "away", "e3": "away"}
        shares = {"e1": 0.1, "e2": 1.0, "e3": 1.0}
        election = build_election("e1", shares, regions)
        self.assertEqual("e1", election.broker(GROUP, 0.0))
        away = election.broker(Group("models", "away", 0), 0.0)
        self.assertIn(away, regions)
        # A region without instances still gets a broker.
        other = election.broker(Group("models", "third", 0), 0.0)
        self.assertIsNotNone(other)

    def test_groups_are_bounded_and_separate_regions(self):
        entries = [build_entry(f"n{index}") for index in range(70)] + [
            build_entry(f"f{index}", failure_domain="far")
            for index in range(3)
        ]
        groups = split_groups("models", entries, REGIONS)
        self.assertEqual(4, len(groups))
        self.assertEqual(73, sum(len(names) for names in groups.values()))
        for group, names in groups.items():
            self.assertLessEqual(len(names), MAX_GROUP_ENGINES)
            self.assertEqual(
                {"home": "n", "away": "f"}[group.region],
                {name[0] for name in names}.pop(),
            )
