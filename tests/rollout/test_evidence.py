"""Tests of the counting of outcomes."""

from __future__ import annotations

from unittest import TestCase

from azurewick.rollout.counts import Counts
from azurewick.rollout.counts import EvidenceKey
from azurewick.rollout.evidence import EvidenceCounter
from azurewick.rollout.evidence import MAX_ROUTES
from azurewick.rollout.reference import SpeedReference
from azurewick.routing.models import OfferStatus
from tests.rollout.builders import build_offer
from tests.rollout.builders import build_result
from tests.rollout.builders import NEW
from tests.rollout.builders import OLD


class EvidenceCounterTest(TestCase):
    """Guards against outcomes that count for or against the wrong version."""

    def setUp(self):
        self.suspects = set()
        self.counter = EvidenceCounter(
            "g", "1", lambda fingerprint, _: fingerprint in self.suspects
        )

    def record(self, result, *, version=NEW, server="s1", now_s=0.0, **offer):
        route = offer.pop("route", "a")
        key = EvidenceKey("quick", version, route, server)
        self.counter.record(
            build_offer(**offer), key, result, now_s, is_old=version == OLD
        )

    def total(self, version=NEW):
        rows = self.counter.rows()
        counts = [r.counts for r in rows if r.key.version == version]
        return sum(counts, Counts())

    def learn(self):
        for number in range(100):
            first_s = 0.1 + number / 1000
            result = build_result(
                first_token_s=first_s, duration_s=first_s + 0.9
            )
            self.record(result, version=OLD)

    def test_outcomes_of_a_new_version(self):
        slow_start = {"first_token_s": 0.5, "duration_s": 1.4}
        late_cancel = {"first_token_s": None, "duration_s": 5.0}
        early_cancel = {"first_token_s": None, "duration_s": 0.05}
        cached = {"prompt_tokens": 5000, "cached_tokens": 4900}
        # No old request had such a size, so nothing is compared.
        other_size = {"prompt_tokens": 5000, "output_tokens": 1}
        status = OfferStatus
        table = [
            (status.FINISHED, {}, Counts(1)),
            (status.FINISHED, slow_start, Counts(1, slow=1)),
            (status.FINISHED, {"duration_s": 3.0}, Counts(1, slow=1)),
            (status.FINISHED, cached | slow_start, Counts(1, slow=1)),
            (status.FINISHED, slow_start | other_size, Counts(1)),
            (status.FAILED, {}, Counts(1, failures=1)),
            (status.BROKEN, {}, Counts(1, broken=1, crashes=1)),
            (status.REFUSED, {}, Counts()),
            (status.CANCELLED, late_cancel, Counts(1, slow=1)),
            (status.CANCELLED, early_cancel, Counts()),
            (status.CANCELLED, {}, Counts()),
        ]
        for result_status, changes, expected in table:
            with self.subTest(status=result_status, changes=changes):
                self.setUp()
                self.learn()
                self.record(build_result(result_status, **changes))
                self.assertEqual(expected, self.total())

    def test_differences_far_below_a_target_are_not_slow(self):
        # Scheduling noise of a few milliseconds rolled back a good version.
        for usual_s, first_token_s, expected in (
            (0.008, 0.02, False),
            (0.008, 0.07, True),
            (0.4, 0.45, False),
            (0.4, 0.51, True),
        ):
            with self.subTest(usual_s=usual_s, first_token_s=first_token_s):
                reference = SpeedReference()
                key = EvidenceKey("quick", OLD, "chat")
                for _ in range(30):
                    usual = build_result(first_token_s=usual_s)
                    reference.is_slow(key, usual, learn=True)
                result = build_result(first_token_s=first_token_s)
                self.assertEqual(
                    expected, reference.is_slow(key, result, learn=False)
                )

    def test_slow_results_of_the_new_version_teach_nothing(self):
        self.learn()
        for _ in range(300):
            self.record(build_result(first_token_s=0.5, duration_s=1.4))
        self.assertEqual(Counts(300, slow=300), self.total())

    def test_one_crash_breaks_many_requests(self):
        for number in range(5):
            self.record(build_result(OfferStatus.BROKEN), number=number)
        self.assertEqual(Counts(5, broken=5, crashes=1), self.total())

    def test_a_crash_with_a_repeated_request_is_taken_back(self):
        broken = build_result(OfferStatus.BROKEN)
        self.record(broken, version=OLD, server="s0", number=7)
        # Innocent requests of the second crash are seen before the cause.
        self.record(broken, now_s=60.0, number=1)
        self.record(broken, now_s=60.1, number=7)
        self.record(broken, now_s=60.2, number=2)
        self.assertEqual(Counts(), self.total())
        self.assertEqual(1, self.total(OLD).crashes)

    def test_a_request_in_a_crash_of_another_gateway_is_left_out(self):
        self.suspects.add("f3")
        self.record(build_result(OfferStatus.BROKEN), number=3)
        self.assertEqual(Counts(), self.total())

    def test_routes_are_bounded(self):
        for number in range(3 * MAX_ROUTES):
            self.record(build_result(), route=f"/{number}")
        self.assertEqual(MAX_ROUTES + 1, len(self.counter.rows()))
        self.assertEqual(3 * MAX_ROUTES, self.total().requests)
