"""Tests of the verdict on a new version by a share of the requests."""

from __future__ import annotations

from math import log
from random import Random
from unittest import TestCase

from azurewick.rollout.canary import assess_canary
from azurewick.rollout.canary import CanaryVerdict
from azurewick.rollout.canary import merge_evidence
from azurewick.rollout.canary import RouteEvidence
from azurewick.rollout.canary import VersionCounts

ROUTES = ("drafts", "reports", "lookups")
SERVERS = 9
# Slowdowns of a version's servers, which have different speeds.
SPEEDS = (0.55, 0.7, 0.85, 1.0, 1.0, 1.2, 1.6, 2.2, 2.8)


class CanaryTest(TestCase):
    """Guards against accepted bad versions and rejected good ones.

    A bad version fails or is several times slower in a part of its answers,
    at once or later, on all routes or on one. Servers differ in speed, and
    some routes fail often with the old version too.
    """

    def play(self, seed, *, new=60, failing=0.0, slow=0.0, factor=6.0, **kind):
        """Return the assessment after as many answers of the new version.

        failing and slow are shares of the new version's answers, after the
        first bad_after ones and on the given routes.
        """
        random = Random(seed)
        bad_routes = kind.get("routes", ROUTES)
        bad_after = kind.get("bad_after", 0)
        evidence = {route: RouteEvidence() for route in ROUTES}
        assessment = None
        for number in range(new):
            for _ in range(8):
                self.answer(evidence, random, is_new=False)
            route = random.choice(ROUTES)
            is_bad = number >= bad_after and route in bad_routes
            self.answer(
                evidence,
                random,
                is_new=True,
                route=route,
                failing=failing if is_bad else 0.0,
                factor=factor if is_bad and random.random() < slow else 1.0,
            )
            assessment = assess_canary(
                evidence, new_servers=SERVERS, old_servers=SERVERS
            )
            if assessment.verdict is CanaryVerdict.REJECTED:
                break
        return assessment

    def answer(
        self, evidence, random, *, is_new, route=None, failing=0.0, factor=1.0
    ):
        route = route or random.choice(ROUTES)
        counts = evidence[route]
        version = counts.new if is_new else counts.old
        version.sent += 1
        version.ended += 1
        usual_failures = 0.14 if route == "lookups" else 0.005
        if random.random() < max(usual_failures, failing):
            version.failed += 1
            return
        speed = random.choice(SPEEDS) * random.lognormvariate(0, 0.4)
        value = log(speed * factor)
        version.firsts += 1
        version.log_first_sum += value
        version.slow_firsts += value > log(3.0 * 1.15)
        version.totals += 1
        version.log_total_sum += value
        version.slow_totals += value > log(3.0 * 1.15)

    def share(self, verdict, seeds=200, **kind):
        found = [self.play(seed, **kind).verdict for seed in range(seeds)]
        return found.count(verdict) / seeds

    def test_good_version_is_accepted(self):
        self.assertGreaterEqual(self.share(CanaryVerdict.ACCEPTED), 0.95)

    def test_bad_versions_are_rejected(self):
        kinds = {
            "failing": {"failing": 0.3},
            "slow": {"slow": 1.0, "factor": 4.0},
            "half slow": {"slow": 0.5, "factor": 8.0},
            "one route fails": {"failing": 0.5, "routes": ("drafts",)},
            "later": {"failing": 0.4, "bad_after": 25},
        }
        for name, kind in kinds.items():
            with self.subTest(name):
                rejected = self.share(CanaryVerdict.REJECTED, 60, **kind)
                self.assertGreaterEqual(rejected, 0.95)

    def test_failing_version_gets_few_requests(self):
        answers = [self.play(seed, failing=0.5).answers for seed in range(50)]
        self.assertLessEqual(max(answers), 40)

    def test_few_answers_decide_nothing(self):
        evidence = {
            "drafts": RouteEvidence(
                old=VersionCounts(sent=50, ended=50),
                new=VersionCounts(sent=4, ended=4),
            )
        }
        assessment = assess_canary(evidence, new_servers=2, old_servers=2)
        self.assertEqual(CanaryVerdict.OPEN, assessment.verdict)

    def test_service_with_few_requests_is_judged_by_half_of_them(self):
        evidence = {
            "drafts": RouteEvidence(
                old=VersionCounts(sent=4, ended=4),
                new=VersionCounts(sent=4, ended=4),
            )
        }
        assessment = assess_canary(evidence, new_servers=2, old_servers=2)
        self.assertEqual(CanaryVerdict.ACCEPTED, assessment.verdict)

    def test_evidence_of_instances_adds_up(self):
        part = {
            "drafts": RouteEvidence(
                new=VersionCounts(sent=2, ended=2, failed=1)
            )
        }
        merged = merge_evidence([part, part, part])
        self.assertEqual(3, merged["drafts"].new.failed)
        self.assertEqual(1, part["drafts"].new.failed)
