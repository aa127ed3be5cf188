"""Tests of the learned limits of servers."""

from __future__ import annotations

from random import Random
from statistics import mean
from unittest import TestCase

from azurewick.entry.backends import Backend
from azurewick.entry.capacity_policy import CapacityReport
from azurewick.entry.capacity_policy import LoadSample
from azurewick.entry.learned_capacity import LearnedCapacity
from azurewick.entry.learned_capacity import MIN_LEADER_SAMPLES
from azurewick.entry.learned_capacity import PEER_TTL_S
from azurewick.entry.peers import PeerReport
from azurewick.entry.report_codec import decode_report
from azurewick.entry.report_codec import encode_report
from azurewick.entry.server_capacity import MAX_REPORTED_SAMPLES
from azurewick.entry.server_capacity import ServerCapacity
from azurewick.errors import AzurewickError
from tests.entry.builders import build_entry
from tests.entry.capacity_model import CapacityModel
from tests.entry.capacity_model import Result
from tests.entry.capacity_model import Scenario

SEEDS = (1, 2, 3)
HALF = {
    "crowding": lambda share: max(1.0, 2 * share) ** 1.5,
    "capacity_share": 0.5,
    "load": 0.95,
    "work_sigma": 0.1,
}


def turns_slow(index: int, now_s: float) -> float:
    return 4.0 if index == 0 and 15 < now_s < 25 else 1.0


def flaps(index: int, now_s: float) -> float:
    return 4.0 if index == 0 and int(now_s) % 4 < 2 else 1.0


def is_uneven(index: int, now_s: float) -> float:
    is_slow = (int(now_s * 3) * 7919 + index * 31) % 100 < 15
    return 2.5 if is_slow else 1.0


PLAIN = {
    "is_engine": False,
    "slots": 6,
    "run_s": 0.08,
    "work_sigma": 0.5,
    "max_queue": 18,
    "pace": is_uneven,
    "duration_s": 30.0,
}


def run_all(policy: str, scenario: Scenario) -> list[Result]:
    return [CapacityModel(scenario, policy, seed).run() for seed in SEEDS]


def on_time(results: list[Result]) -> float:
    return mean(result.on_time_share for result in results)


class HarmTest(TestCase):
    """Guards against limits that fall although a server isn't crowded."""

    def test_limits_stay_at_the_announced_slots(self):
        for name, scenario in {
            "busy": Scenario(load=0.97, work_sigma=0.1),
            "overload": Scenario(load=1.3),
            "two speeds": Scenario(speeds=(0.6, 1.6), load=0.9),
            "slow for 10 s": Scenario(pace=turns_slow, load=0.95),
            "flapping": Scenario(pace=flaps, load=0.9),
            "plain": Scenario(**PLAIN, load=0.8),
        }.items():
            for result in run_all("learned", scenario):
                with self.subTest(name):
                    lowest = min(map(min, result.limits.values()))
                    self.assertEqual(12, lowest)

    def test_callers_lose_nothing(self):
        for name, scenario in {
            "two speeds": Scenario(speeds=(0.6, 1.6), load=0.9),
            "slow for 10 s": Scenario(pace=turns_slow, load=0.95),
            "flapping": Scenario(pace=flaps, load=0.9),
            "long prompts": Scenario(long_prompt_share=0.05, load=0.85),
            "rejects": Scenario(**{**PLAIN, "max_queue": 1}, load=0.8),
        }.items():
            with self.subTest(name):
                self.assertGreater(
                    on_time(run_all("learned", scenario)),
                    on_time(run_all("announced", scenario)) - 0.02,
                )


class CrowdedServerTest(TestCase):
    """Guards against servers that slow down long before they are full."""

    def test_engine_that_slows_at_half_of_its_slots(self):
        shares = {
            policy: on_time(run_all(policy, Scenario(**HALF, duration_s=90.0)))
            for policy in ("announced", "delay", "none", "learned")
        }
        best = max(shares.values())
        self.assertEqual(best, shares["learned"], shares)
        self.assertGreater(best, shares["announced"] + 0.2, shares)

    def test_sixty_instances(self):
        scenario = Scenario(**HALF, instances=60, servers=8)
        announced, learned = (
            CapacityModel(scenario, policy).run()
            for policy in ("announced", "learned")
        )
        self.assertGreater(
            learned.on_time_share, announced.on_time_share + 0.05
        )

    def test_plain_server_that_runs_half(self):
        scenario = Scenario(
            **PLAIN,
            load=0.9,
            capacity_share=0.5,
            crowding=lambda share: max(1.0, 2 * share),
        )
        self.assertGreater(
            on_time(run_all("learned", scenario)),
            on_time(run_all("announced", scenario)) + 0.03,
        )

    def feed(self, knee_until_s: float, duration_s: int) -> list[int]:
        """Return the limits of a server with a knee at 6 for some time."""
        server = ServerCapacity(Backend(entry=build_entry(slots=12)), 0.0)
        random = Random(1)
        limits = []
        for step in range(duration_s * 10):
            now_s = step * 0.1
            load = random.randint(1, server.limit)
            is_crowded = load > 6 and now_s < knee_until_s
            crowding = (load / 6) ** 1.5 if is_crowded else 1.0
            noise = random.lognormvariate(0, 0.1)
            server.add(load, crowding * noise, now_s)
            server.update(now_s, leads=True)
            limits.append(server.limit)
        return limits

    def test_limit_rises_again_after_recovery(self):
        limits = self.feed(knee_until_s=40.0, duration_s=150)
        self.assertLess(max(limits[200:400]), 9)
        self.assertEqual({12}, set(limits[1400:]))

    def test_limit_does_not_oscillate(self):
        limits = self.feed(knee_until_s=300.0, duration_s=300)
        self.assertLessEqual(set(limits[200:]), {4, 5, 6, 7, 8})
        above = sum(limit > 7 for limit in limits[200:])
        self.assertLess(above / len(limits), 0.1)


class SharingTest(TestCase):
    """Guards against views of the instances that don't add up."""

    def setUp(self):
        self.members = tuple(f"e{number}" for number in range(1, 5))
        self.backend = Backend(entry=build_entry(slots=12))
        self.learned = self.build("e1")

    def build(self, name: str) -> LearnedCapacity:
        return LearnedCapacity(name, lambda: self.members)

    def record_peer(self, report: CapacityReport, now_s: float) -> None:
        self.learned.record_peer(
            "e2", 1, report, {"s1": self.backend}.get, now_s
        )

    def test_instance_uses_the_limit_of_the_leader_until_it_is_silent(self):
        self.record_peer(CapacityReport(limits={"s1": 5}), 1.0)
        self.assertEqual(5, self.learned.limit(self.backend, 2.0))
        later_s = 1.0 + PEER_TTL_S
        self.assertEqual(12, self.learned.limit(self.backend, later_s))

    def test_one_instance_leads(self):
        leaders = []
        for name in self.members:
            learned = self.build(name)
            for _ in range(MIN_LEADER_SAMPLES):
                learned.record(self.backend, 2.0, 1.0, 1.0)
            leaders.extend(learned.report(1.0).limits)
        self.assertEqual(["s1"], leaders)

    def test_measurement_counts_once_and_unknown_servers_do_not(self):
        samples = tuple(
            LoadSample(number=number, server=name, load=2.0, slowdown=3.0)
            for number, name in enumerate(("s1", "s1", "gone"), start=4)
        )
        for now_s in (1.0, 1.2):
            self.record_peer(CapacityReport(samples=samples), now_s)
        self.assertAlmostEqual(
            3.0 ** (2 / 4), self.learned.slowdown(self.backend, 1.0, 1.0)
        )

    def test_new_run_of_a_server_starts_from_its_slots(self):
        for number in range(30):
            self.learned.record(self.backend, 2.0, 9.0, number * 0.1)
        self.assertGreater(self.learned.slowdown(self.backend, 1.0, 3.0), 5)
        fresh = Backend(entry=build_entry(slots=12, started_ms=7))
        self.assertEqual(1.0, self.learned.slowdown(fresh, 1.0, 3.0))


class CapacityReportTest(TestCase):
    """Guards against reports that are unbounded or can't be read."""

    def build(self, **changes) -> PeerReport:
        return PeerReport(name="e2", incarnation=1, sequence=1, **changes)

    def test_measurements_are_sent_and_bounded(self):
        learned = LearnedCapacity("e1", lambda: ("e1",))
        backend = Backend(entry=build_entry(slots=12))
        for number in range(30):
            learned.record(backend, 3.0, 1.25, number * 0.1)
        report = learned.report(3.0)
        self.assertEqual(MAX_REPORTED_SAMPLES, len(report.samples))
        decoded = decode_report(encode_report(self.build(capacity=report)))
        self.assertEqual(30, decoded.capacity.samples[-1].number)
        self.assertEqual(1.25, decoded.capacity.samples[-1].slowdown)

    def test_report_without_measurements_has_no_such_part(self):
        plain = encode_report(self.build())
        self.assertFalse(decode_report(plain).capacity)

    def test_odd_measurements_are_refused(self):
        for load in (-1.0, 1e9):
            sample = LoadSample(number=1, server="s1", load=load, slowdown=1.0)
            report = CapacityReport(samples=(sample,))
            with self.assertRaises(AzurewickError):
                decode_report(encode_report(self.build(capacity=report)))
