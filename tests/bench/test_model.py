"""Tests of the benchmarks' model, its tier check and the known failures."""

from __future__ import annotations

from pathlib import Path
import tempfile
import unittest

from bench.__main__ import read_known_failures
from bench.model.run import association_scenario
from bench.model.run import AZUREWICK
from bench.model.run import ORACLE
from bench.model.run import run
from bench.model.run import RunResult
from bench.model.trace import find_tier_violations
from bench.model.trace import TraceEvent
from bench.model.trace import TraceKind

QUEUED = TraceKind.QUEUED
DISPATCHED = TraceKind.DISPATCHED
SHED = TraceKind.SHED


def build_trace(*events: tuple[float, TraceKind, str, int]) -> list:
    return [
        TraceEvent(t, kind, name, tier, "p") for t, kind, name, tier in events
    ]


class TierCheckTest(unittest.TestCase):
    """find_tier_violations reports each kind of violation, and no others."""

    def test_finds_only_violations(self) -> None:
        """Guards against a missed violation and against a false one.

        The benchmark's rows of violations rely on this check alone.
        """
        cases = {
            "dispatched within a second": (
                1,
                [(5.0, SHED, "h", 0), (5.9, DISPATCHED, "l", 2)],
            ),
            "queued at the time, dispatched later": (
                1,
                [
                    (1.0, QUEUED, "l", 2),
                    (5.0, SHED, "h", 1),
                    (9.0, DISPATCHED, "l", 2),
                ],
            ),
            "dispatched before": (
                0,
                [(4.0, DISPATCHED, "l", 2), (5.0, SHED, "h", 0)],
            ),
            "arrived after and dispatched after the window": (
                0,
                [
                    (5.0, SHED, "h", 0),
                    (5.5, QUEUED, "l", 2),
                    (6.1, DISPATCHED, "l", 2),
                ],
            ),
            "same tier": (
                0,
                [(5.0, SHED, "h", 1), (5.1, DISPATCHED, "l", 1)],
            ),
        }
        for name, (expected, events) in cases.items():
            with self.subTest(name):
                found = find_tier_violations(build_trace(*events))
                self.assertEqual(expected, len(found))

    def test_pools_are_checked_separately(self) -> None:
        """Guards against matching a shed with a dispatch of another pool."""
        trace = [
            TraceEvent(5.0, SHED, "h", 0, "p"),
            TraceEvent(5.1, DISPATCHED, "l", 1, "q"),
        ]
        self.assertEqual([], find_tier_violations(trace))


class ModelTest(unittest.TestCase):
    """Short runs of the model give plausible figures."""

    def run_short(self, policy: str, **fields: object) -> RunResult:
        scenario = association_scenario(
            replicas=4, warm_s=5.0, measured_s=5.0, tail_s=1.0, **fields
        )
        return run(scenario, policy, 3)

    def test_same_seed_gives_same_figures(self) -> None:
        """Guards against figures that differ between runs of one seed."""
        first = self.run_short(AZUREWICK, load=1.5)
        second = self.run_short(AZUREWICK, load=1.5)
        self.assertEqual(first.good_count(), second.good_count())
        self.assertEqual(
            first.wasted_prefill_ratio(), second.wasted_prefill_ratio()
        )

    def test_top_tier_in_overload(self) -> None:
        """Guards against top-tier requests that miss their target in overload.

        At twice the capacity lower tiers have to give way to the top tier.
        The round-robin baseline, which ignores tiers, shows that the load
        is high enough for the test.
        """
        for policy in (AZUREWICK, ORACLE):
            with self.subTest(policy):
                result = self.run_short(policy, load=2.0)
                part = result.good_count(0) / result.offered_count(0)
                self.assertGreater(part, 0.9)
                self.assertEqual(0, result.violations)
        baseline = self.run_short("round_robin", load=2.0)
        self.assertLess(
            baseline.good_count(0), 0.9 * baseline.offered_count(0)
        )

    def test_crash_loses_only_its_own_requests(self) -> None:
        """Guards against a crash that affects requests on other servers."""
        result = self.run_short(AZUREWICK, load=0.4, crash=True)
        lost = {job.request_id for job in result.jobs if job.is_lost}
        self.assertTrue(lost <= result.affected_ids)
        others = [
            job
            for job in result.jobs
            if job.request_id not in result.affected_ids
        ]
        good = sum(job.is_good for job in others)
        self.assertGreater(good, 0.95 * len(others))


class KnownRedTest(unittest.TestCase):
    """Rows that KNOWN-RED.txt lists as known failures."""

    def test_only_listed_seed_is_known(self) -> None:
        """Guards against an entry that excuses other seeds or other rows."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "KNOWN-RED.txt"
            path.write_text(
                "bench: goodput.x seed 1\n  seen 0.97\ntest: a.b\n",
                encoding="utf-8",
            )
            known = read_known_failures(path)
        self.assertEqual(frozenset({("goodput.x", 1)}), known)
