"""Tests of the selection of versions."""

from __future__ import annotations

from unittest import TestCase

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from azurewick.rollout.decisions import NO_VERSION
from azurewick.rollout.decisions import VersionSelector
from azurewick.rollout.models import MoveState
from azurewick.routing.models import OfferStatus
from tests.rollout.builders import build_move
from tests.rollout.builders import build_offer
from tests.rollout.builders import build_result
from tests.rollout.builders import NEW
from tests.rollout.builders import OLD

BOTH = (OLD, NEW)


class VersionSelectorTest(TestCase):
    """Guards against requests that go to the wrong version.

    The new version could get more than its share, also by retries of refused
    requests, or requests after it was cut or its move was stopped.
    """

    def setUp(self):
        self.selector = VersionSelector("g", "1")

    def use(self, **move):
        self.selector.update_moves([build_move(**move)])

    def record_failures(self, count=30, version=NEW):
        for number in range(count):
            self.selector.record_result(
                build_offer(number),
                version,
                build_result(OfferStatus.FAILED),
                1.0,
                backend_server=f"s{number % 2}",
            )

    def choose(self, versions=BOTH, number=0, **offer):
        return self.selector.choose(
            build_offer(number, **offer), versions, 1.0
        )

    def test_choices(self):
        rolled_back = {"state": MoveState.ROLLED_BACK, "share": 0.0}
        cancelled = {"state": MoveState.CANCELLED, "share": 0.5}
        done = {"state": MoveState.DONE, "share": 1.0}
        older = {"share": 0.0, "previous_version": "v0"}
        three = ("v0", OLD, NEW)
        table = [
            ("all", {"share": 1.0}, BOTH, NEW),
            ("none", {"share": 0.0}, BOTH, OLD),
            ("done", done, BOTH, NEW),
            ("done, none live", done, (OLD,), None),
            ("rolled back", rolled_back, BOTH, OLD),
            ("rolled back, only one live", rolled_back, (NEW,), NO_VERSION),
            ("cancelled", cancelled, BOTH, OLD),
            ("not live yet", {"share": 1.0}, (OLD,), None),
            ("old one is gone", {"share": 0.01}, (NEW,), NEW),
            ("previous of several", older, three, "v0"),
        ]
        for name, move, versions, expected in table:
            with self.subTest(name=name):
                self.setUp()
                self.use(**move)
                self.assertEqual(expected, self.choose(versions))
        other = self.choose(request_class="other")
        self.assertIsNone(other)

    @settings(derandomize=True, max_examples=20, deadline=None)
    @given(st.floats(0.0, 1.0), st.integers(0, 10**6))
    def test_shares_are_kept_and_retries_stay(self, share, first):
        self.use(share=share)
        numbers = range(first, first + 2000)
        chosen = [self.choose(number=n) for n in numbers]
        self.assertEqual(chosen, [self.choose(number=n) for n in numbers])
        self.assertAlmostEqual(share, chosen.count(NEW) / 2000, delta=0.06)

    def test_a_larger_share_keeps_the_requests_of_a_smaller_one(self):
        self.use(share=0.05)
        small = {n for n in range(500) if self.choose(number=n) == NEW}
        self.use(share=0.5)
        large = {n for n in range(500) if self.choose(number=n) == NEW}
        self.assertLess(small, large)

    def test_refusals_never_raise_the_share_of_the_new_version(self):
        self.use(share=0.05)
        for refused, expected in ((OLD, None), (NEW, OLD)):
            with self.subTest(refused):
                self.assertEqual(
                    expected,
                    self.selector.choose_fallback(
                        build_offer(0), refused, BOTH
                    ),
                )

    def test_third_version_is_not_taken_for_the_old_one(self):
        three = (OLD, NEW, "v9")
        self.use(share=0.0, previous_version="")
        self.assertIsNone(self.choose(three))
        self.use(share=0.0, previous_version=OLD)
        self.assertEqual(OLD, self.choose(three))

    def test_stopped_version_is_not_chosen_among_three(self):
        # v9 is under test for another class.
        moves = [build_move(share=0.05)]
        moves.append(build_move(id="m9", request_class="x", version="v9"))
        self.selector.update_moves(moves)
        self.record_failures()
        self.assertEqual(OLD, self.choose((OLD, NEW, "v9")))
        done = {"state": MoveState.DONE, "share": 1.0}
        for state, expected in (
            (done, NEW),
            ({"state": MoveState.ROLLED_BACK, "share": 0.0}, OLD),
        ):
            self.selector.update_moves([build_move(**state), moves[1]])
            self.assertEqual(expected, self.choose((OLD, NEW, "v9")))

    def test_own_evidence_cuts_the_version_at_once(self):
        self.use(share=1.0)
        self.record_failures()
        self.assertEqual(OLD, self.choose())
        (cut,) = self.selector.cuts()
        self.assertEqual(("m1", NEW), (cut.move_id, cut.version))
        # A later share from the controller doesn't revoke the cut.
        self.use(share=0.5)
        self.assertEqual(OLD, self.choose())
        # A new move to the same version is not affected by the cut.
        self.use(id="m2", share=1.0)
        self.assertEqual(NEW, self.choose())

    def test_failures_of_the_old_version_cut_nothing(self):
        self.use(share=1.0)
        self.record_failures(200, version=OLD)
        self.assertEqual((), self.selector.cuts())

    def test_evidence_of_other_gateways_cuts_the_version(self):
        sources = [VersionSelector(f"g{n}", "1") for n in range(8)]
        self.use(share=1.0)
        for source in sources:
            source.update_moves([build_move(share=1.0)])
        for number in range(32):
            source = sources[number % 8]
            source.record_result(
                build_offer(number),
                NEW,
                build_result(OfferStatus.FAILED),
                1.0,
                backend_server=f"s{number % 3}",
            )
        self.assertFalse(any(source.cuts() for source in sources))
        for source in sources:
            self.selector.update_evidence(source.evidence(), 2.0)
        self.assertEqual(OLD, self.choose())
        (cut,) = self.selector.cuts()
        sources[0].record_cut(cut)
        self.assertEqual((cut,), sources[0].cuts())

    def test_all_gateways_choose_the_same_test_servers(self):
        names = {f"s{n}" for n in range(40)}
        self.use(servers=2)
        chosen = self.selector.choose_servers("quick", NEW, names)
        self.assertEqual(2, len(chosen))
        other = VersionSelector("other", "9")
        other.update_moves([build_move(servers=3)])
        self.assertLess(chosen, other.choose_servers("quick", NEW, names))
        for request_class, version in (("quick", OLD), ("x", NEW)):
            every = self.selector.choose_servers(request_class, version, names)
            self.assertEqual(names, every)
        self.use(state=MoveState.DONE, servers=2)
        every = self.selector.choose_servers("quick", NEW, names)
        self.assertEqual(names, every)
