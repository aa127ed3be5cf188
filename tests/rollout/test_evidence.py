"""Tests of the counting of request outcomes."""

from __future__ import annotations

from unittest import TestCase

from azurewick.rollout.counts import Counts
from azurewick.rollout.counts import EvidenceKey
from azurewick.rollout.evidence import EvidenceCounter
from azurewick.rollout.evidence import MAX_ROUTES
from azurewick.rollout.reference import LatencyReference
from azurewick.routing.models import OfferStatus
from tests.rollout.builders import build_offer
from tests.rollout.builders import build_result
from tests.rollout.builders import NEW
from tests.rollout.builders import OLD


class EvidenceCounterTest(TestCase):
    """Guards against outcomes that are counted wrongly for a version.

    Overload, cancelled or poison requests, or slow results of the new version
    in the reference of the old one, could reject a good version or accept a
    bad one.
    """

    def setUp(self):
        self.suspects = set()
        self.counter = EvidenceCounter(
            "g", "1", lambda fingerprint, _: fingerprint in self.suspects
        )

    def record(self, result, *, version=NEW, server="s1", now_s=0.0, **offer):
        route = offer.pop("route", "a")
        key = EvidenceKey("quick", version, route, server)
        self.counter.record(
            build_offer(**offer),
            key,
            result,
            now_s,
            is_old_version=version == OLD,
        )

    def total(self, version=NEW):
        rows = self.counter.rows()
        counts = [r.counts for r in rows if r.key.version == version]
        return sum(counts, Counts())

    def record_old_version(self):
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
        # The old version had no request of this size to compare with.
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
                self.record_old_version()
                self.record(build_result(result_status, **changes))
                self.assertEqual(expected, self.total())

    def test_differences_far_below_a_target_are_not_slow(self):
        # With first tokens within 10 ms, scheduling noise of a few
        # milliseconds exceeded the slow factor and rolled back a good version.
        for usual_s, first_token_s, expected in (
            (0.008, 0.02, False),
            (0.008, 0.07, True),
            (0.4, 0.45, False),
            (0.4, 0.51, True),
        ):
            with self.subTest(usual_s=usual_s, first_token_s=first_token_s):
                reference = LatencyReference()
                key = EvidenceKey("quick", OLD, "chat")
                for _ in range(30):
                    usual_result = build_result(first_token_s=usual_s)
                    reference.is_slow(key, usual_result, record=True)
                result = build_result(first_token_s=first_token_s)
                self.assertEqual(
                    expected, reference.is_slow(key, result, record=False)
                )

    def test_new_version_results_do_not_change_the_reference(self):
        self.record_old_version()
        for _ in range(300):
            self.record(build_result(first_token_s=0.5, duration_s=1.4))
        self.assertEqual(Counts(300, slow=300), self.total())

    def test_one_crash_breaks_many_requests(self):
        for number in range(5):
            self.record(build_result(OfferStatus.BROKEN), number=number)
        self.assertEqual(Counts(5, broken=5, crashes=1), self.total())

    def test_crash_with_a_repeated_request_is_subtracted(self):
        broken = build_result(OfferStatus.BROKEN)
        self.record(broken, version=OLD, server="s0", number=7)
        # A request of the second crash is counted before the repeated request
        # that caused the crash arrives; it has to be subtracted.
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
