"""Tests of the poison detector and of the placement of suspects."""

from __future__ import annotations

from random import Random
from unittest import TestCase

from azurewick.poison.detector import POISON_CRASH_RETENTION_S
from azurewick.poison.detector import PoisonDetector
from azurewick.poison.placement import SuspectPlacement
from bench.poison import run


class PoisonDetectorTest(TestCase):
    """Guards against serving poison requests and refusing harmless ones."""

    def setUp(self):
        self.detector = PoisonDetector()

    def record_crashes(self, *crashes, now_s=0.0):
        for source, incarnation in crashes:
            self.detector.record_crash(source, incarnation, ["bad"], now_s)

    def test_three_crashes_of_distinct_incarnations(self):
        cases = (
            ((("a", "1"),), True, False),
            ((("a", "1"), ("b", "1")), True, False),
            ((("a", "1"), ("b", "1"), ("c", "1")), True, True),
            ((("a", "1"), ("a", "2"), ("a", "3")), True, True),
            # Several gateways report the same crash.
            ((("a", "1"),) * 5, True, False),
            ((("a", "1"), ("b", "1")) * 5, True, False),
        )
        for crashes, is_suspect, is_poison in cases:
            with self.subTest(crashes):
                self.setUp()
                self.record_crashes(*crashes)
                self.assertEqual(
                    is_suspect, self.detector.is_suspect("bad", 1.0)
                )
                self.assertEqual(
                    is_poison, self.detector.is_poison("bad", 1.0)
                )
                self.assertFalse(self.detector.is_suspect("good", 1.0))

    def test_crashes_expire_one_by_one(self):
        self.record_crashes(("a", "1"), now_s=0.0)
        self.record_crashes(("b", "1"), ("c", "1"), now_s=100.0)
        for now_s, count in (
            (100.0, 3),
            (POISON_CRASH_RETENTION_S - 1.0, 3),
            (POISON_CRASH_RETENTION_S, 2),
            (POISON_CRASH_RETENTION_S + 99.0, 2),
            (POISON_CRASH_RETENTION_S + 100.0, 0),
        ):
            with self.subTest(now_s=now_s):
                self.assertEqual(
                    count, self.detector.crash_count("bad", now_s)
                )

    def test_repeated_report_does_not_renew_a_crash(self):
        self.record_crashes(("a", "1"), now_s=0.0)
        self.record_crashes(("a", "1"), now_s=POISON_CRASH_RETENTION_S - 1.0)
        self.assertFalse(
            self.detector.is_suspect("bad", POISON_CRASH_RETENTION_S)
        )

    def test_success_clears_the_crashes(self):
        self.record_crashes(("a", "1"), ("b", "1"))
        self.detector.record_success("bad")
        self.record_crashes(("c", "1"))
        self.assertFalse(self.detector.is_poison("bad", 0.0))

    def test_exported_crashes_keep_their_age(self):
        self.record_crashes(("a", "1"), ("b", "1"), now_s=100.0)
        self.detector.record_crash("c", "1", ["other", "bad"], 300.0)
        self.assertEqual(2, len(self.detector.export_crashes(400.0, 2)))
        peer = PoisonDetector()
        for _ in range(2):
            for crash in self.detector.export_crashes(400.0, 100):
                peer.record_crash(
                    crash.source,
                    crash.incarnation,
                    [crash.fingerprint],
                    5000.0 + crash.remaining_s - POISON_CRASH_RETENTION_S,
                )
        for later_s, count in ((0.0, 3), (599.0, 3), (600.0, 1), (800.0, 0)):
            for detector, base_s in ((self.detector, 400.0), (peer, 5000.0)):
                self.assertEqual(
                    count, detector.crash_count("bad", base_s + later_s)
                )

    def test_oldest_and_expired_histories_are_evicted(self):
        detector = PoisonDetector(max_fingerprints=100)
        for i in range(1000):
            detector.record_crash("a", str(i), [f"f{i}", "bad"], 1.0)
            self.assertLessEqual(len(detector), 100)
        self.assertTrue(detector.is_poison("bad", 1.0))
        self.assertFalse(detector.is_suspect("f0", 1.0))
        detector.record_crash(
            "a", "last", ["last"], POISON_CRASH_RETENTION_S + 2.0
        )
        self.assertEqual(1, len(detector))


class SuspectPlacementTest(TestCase):
    """Guards against suspects that crash several servers at once."""

    def test_random_runs_never_mix_suspects_on_a_server(self):
        random = Random(5)
        names = [f"server-{i}" for i in range(6)]
        placement = SuspectPlacement()
        running: dict[int, tuple[str, str]] = {}
        for i in range(5000):
            if running and random.random() < 0.5:
                number = random.choice(list(running))
                placement.release(running.pop(number)[0], str(number))
            fingerprint = f"f{random.randrange(10)}"
            live_servers = random.sample(names, random.randrange(1, 7))
            name = placement.acquire(fingerprint, str(i), live_servers, 2)
            if name is None:
                continue
            self.assertIn(name, live_servers)
            running[i] = fingerprint, name
            pairs = set(running.values())
            self.assertEqual(len(pairs), len({f for f, _ in pairs}))
            self.assertEqual(len(pairs), len({n for _, n in pairs}))

    def test_gateways_choose_the_same_server(self):
        names = [f"server-{i}" for i in range(6)]
        for i in range(50):
            first = SuspectPlacement().acquire(f"f{i}", "a", names, 1)
            second = SuspectPlacement().acquire(f"f{i}", "b", names[::-1], 1)
            self.assertEqual(first, second)

    def test_suspect_waits_for_copies_on_other_servers(self):
        names = [f"server-{i}" for i in range(6)]
        placement = SuspectPlacement()
        preferred = placement.acquire("bad", "1", names, 1)
        placement.release("bad", "1")
        other = next(name for name in names if name != preferred)
        placement.record_start("bad", "2", other)
        self.assertIsNone(placement.acquire("bad", "3", names, 1))
        placement.release("bad", "2")
        self.assertEqual(preferred, placement.acquire("bad", "3", names, 1))

    def test_release_of_unknown_run_is_ignored(self):
        placement = SuspectPlacement()
        self.assertEqual("a", placement.acquire("bad", "1", ["a"], 2))
        placement.release("bad", "2")
        placement.release("other", "1")
        # A suspect with one crash doesn't wait for another suspect.
        self.assertEqual("a", placement.acquire("third", "9", ["a"], 1))
        self.assertIsNone(placement.acquire("other", "3", ["a"], 2))
        placement.release("bad", "1")
        self.assertEqual("a", placement.acquire("other", "3", ["a"], 2))
        self.assertIsNone(placement.acquire("other", "4", [], 2))


class PoisonBenchTest(TestCase):
    """Guards against exceeding the bounds of the poison benchmark."""

    def test_bounds_hold_and_baselines_exceed_them(self):
        rows = run(1)
        self.assertEqual([True, True], [row.ok for row in rows], rows)
        crashes, innocents = rows
        # Without placement, copies of a request crash more servers; with a
        # refusal after the first crash, harmless requests are refused.
        self.assertGreater(crashes.baseline["refuse_after_three"], 3)
        self.assertGreater(innocents.baseline["refuse_after_one"], 1e-4)
        self.assertEqual(rows, run(1))
