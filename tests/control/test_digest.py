"""Tests of the digest's merge."""

from __future__ import annotations

from unittest import TestCase

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from azurewick.control import control_pb2 as pb
from azurewick.control.conversion import pack_digest
from azurewick.control.conversion import unpack_digest
from azurewick.control.digest import Digest
from azurewick.control.digest import EntryKind
from azurewick.control.digest import MAX_ENTRIES
from azurewick.control.models import CutNotice
from azurewick.control.models import DigestPart
from azurewick.control.models import EvidenceCount
from azurewick.control.models import PoisonNotice
from tests.membership.builders import load_report

NOW_S = 1000.0
small_counts = st.integers(0, 3)
parts = st.builds(
    DigestPart,
    loads=st.tuples(
        st.builds(
            load_report,
            name=st.sampled_from(["a", "b"]),
            running=small_counts,
            draining=st.booleans(),
            age_s=st.sampled_from([0.0, 0.4, 0.9, 5.0, 70.0]),
        )
    ),
    evidence=st.tuples(
        st.builds(
            EvidenceCount,
            gateway=st.sampled_from(["g", "h"]),
            incarnation=st.just("i"),
            request_class=st.just("c"),
            version=st.just("v"),
            route=st.just("r"),
            requests=small_counts,
            failures=small_counts,
        )
    ),
    cuts=st.tuples(
        st.builds(
            CutNotice,
            request_class=st.just("c"),
            version=st.sampled_from(["v", "w"]),
            move_id=st.just("m"),
            reason=st.sampled_from(["slow", "failed"]),
        )
    ),
    poison=st.tuples(
        st.builds(
            PoisonNotice,
            fingerprint=st.just("f"),
            source=st.sampled_from(["a", "b"]),
            incarnation=st.just("i"),
            crashes=small_counts,
            remaining_s=st.sampled_from([0.0, 5.0, 900.0]),
        )
    ),
)


def merge_all(sequence):
    digest = Digest()
    for index, part in enumerate(sequence):
        digest.merge(part, f"source-{index}", NOW_S)
    entries = digest.all_entries(NOW_S)
    return {
        key: sorted(map(repr, getattr(entries, key)))
        for key in ("loads", "evidence", "cuts", "poison")
    }


class DigestTest(TestCase):
    """Guards against nodes that disagree after the same messages.

    Nodes receive entries in different orders and several times. A merge that
    depends on these leaves them with different values.
    """

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(st.lists(parts, max_size=5), st.randoms(use_true_random=False))
    def test_merge_is_commutative_and_idempotent(self, sequence, random):
        shuffled = sequence + sequence[:2]
        random.shuffle(shuffled)
        self.assertEqual(merge_all(sequence), merge_all(shuffled))

    def test_age_grows_and_remaining_time_shrinks_at_each_relay(self):
        """Entries that are passed on keep ageing.

        Otherwise an old load report would look new, and a poison notice would
        never expire.
        """
        part = DigestPart(
            loads=(load_report(age_s=1.0),),
            poison=(
                PoisonNotice(
                    fingerprint="f",
                    source="a",
                    incarnation="i",
                    crashes=1,
                    remaining_s=100.0,
                ),
            ),
        )
        now_s = NOW_S
        for _ in range(4):
            digest = Digest()
            digest.merge(part, "source", now_s)
            now_s += 2.3
            collected, _ = digest.collect(
                0, excluded_source="", limit=9, now_s=now_s
            )
            part = unpack_digest(pb.SyncReply(packed=pack_digest(collected)))
        self.assertGreaterEqual(part.loads[0].age_s, 1.0 + 4 * 2.3)
        self.assertLessEqual(part.poison[0].remaining_s, 100.0 - 4 * 2.3)

    def test_returning_copy_is_not_published_again(self):
        """A copy that returns on another path is not published again.

        Its age is slightly lower because of the time in transit. If it counted
        as a new report, nodes would send it to each other without end.
        """
        digest = Digest()
        now_s = NOW_S
        digest.merge(DigestPart(loads=(load_report(),)), "a", now_s)
        _, first = digest.collect(0, excluded_source="", limit=9, now_s=now_s)
        for _ in range(5):
            echo = load_report(age_s=now_s - NOW_S - 0.1)
            now_s += 3.0
            digest.merge(DigestPart(loads=(echo,)), "b", now_s - 3.0)
            _, position = digest.collect(
                first, excluded_source="", limit=9, now_s=now_s
            )
            self.assertEqual(first, position)

    def test_collect_continues_and_excludes_the_source(self):
        digest = Digest()
        for index in range(10):
            digest.merge(
                DigestPart(loads=(load_report(f"agent-{index}"),)),
                f"node-{index % 2}",
                NOW_S,
            )
        seen, position = [], 0
        for _ in range(3):
            part, position = digest.collect(
                position, excluded_source="node-1", limit=2, now_s=NOW_S
            )
            seen += [load.backend_server for load in part.loads]
        self.assertEqual([f"agent-{n}" for n in range(0, 10, 2)], seen)

    def test_size_is_bounded(self):
        digest = Digest()
        for index in range(MAX_ENTRIES[EntryKind.CUT] + 50):
            cut = CutNotice(request_class="c", version=str(index), move_id="m")
            digest.merge(DigestPart(cuts=(cut,)), "a", NOW_S)
        entries = digest.all_entries(NOW_S)
        self.assertEqual(MAX_ENTRIES[EntryKind.CUT], len(entries.cuts))
        digest.remove_stale(NOW_S, {"other"})
        self.assertEqual((), digest.all_entries(NOW_S).cuts)

    def test_oversized_and_invalid_digests_are_refused(self):
        oversized = pack_digest(
            DigestPart(
                cuts=(
                    CutNotice(
                        request_class="c",
                        version="v",
                        move_id="m",
                        reason="x" * 5_000_000,
                    ),
                )
            )
        )
        for packed in (oversized, oversized[:100], b"no zlib"):
            with self.assertRaises(ValueError):
                unpack_digest(pb.SyncReply(packed=packed))
