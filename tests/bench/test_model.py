"""Tests of the benchmark's model and of its check of the tier rule."""

from __future__ import annotations

from pathlib import Path
import tempfile
import unittest

from bench.__main__ import read_known_failures
from bench.model.run import association
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
    """The check finds each kind of violation and no other."""

    def test_traces(self) -> None:
        """Guards against a check that passes a trace that breaks the rule."""
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

    def test_other_pool(self) -> None:
        """Guards against counting pools together."""
        trace = [
            TraceEvent(5.0, SHED, "h", 0, "p"),
            TraceEvent(5.1, DISPATCHED, "l", 1, "q"),
        ]
        self.assertEqual([], find_tier_violations(trace))


class ModelTest(unittest.TestCase):
    """Short runs of the model."""

    def run_short(self, policy: str, **fields: object) -> RunResult:
        scenario = association(
            replicas=4, warm_s=5.0, measured_s=5.0, tail_s=1.0, **fields
        )
        return run(scenario, policy, 3)

    def test_verdict_is_the_same_each_run(self) -> None:
        """Guards against figures that depend on more than the seed."""
        first = self.run_short(AZUREWICK, load=1.5)
        second = self.run_short(AZUREWICK, load=1.5)
        self.assertEqual(first.good(), second.good())
        self.assertEqual(first.wasted_prefill(), second.wasted_prefill())

    def test_overload(self) -> None:
        """Guards against a top tier that suffers from lower tiers."""
        for policy in (AZUREWICK, ORACLE):
            with self.subTest(policy):
                result = self.run_short(policy, load=2.0)
                part = result.good(0) / result.offered(0)
                self.assertGreater(part, 0.9)
                self.assertEqual(0, result.violations)
        baseline = self.run_short("round_robin", load=2.0)
        self.assertLess(baseline.good(0), 0.9 * baseline.offered(0))

    def test_crash_loses_only_its_own_requests(self) -> None:
        """Guards against requests lost elsewhere than on the server."""
        result = self.run_short(AZUREWICK, load=0.4, crash=True)
        lost = {job.request_id for job in result.jobs if job.lost}
        self.assertTrue(lost <= result.affected)
        others = [
            job for job in result.jobs if job.request_id not in result.affected
        ]
        good = sum(job.is_good for job in others)
        self.assertGreater(good, 0.95 * len(others))


class KnownRedTest(unittest.TestCase):
    """Rows that KNOWN-RED.txt lists."""

    def test_lines(self) -> None:
        """Guards against a listed seed that excuses another one."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "KNOWN-RED.txt"
            path.write_text(
                "bench: goodput.x seed 1\n  seen 0.97\ntest: a.b\n",
                encoding="utf-8",
            )
            known = read_known_failures(path)
        self.assertEqual(frozenset({("goodput.x", 1)}), known)
