"""Tests of the claim state machine with interleaved gateways."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from unittest import TestCase
from unittest.mock import patch

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from azurewick.claims import decisions
from azurewick.claims.codec import encode_head
from azurewick.claims.codec import encoded_size
from azurewick.claims.models import Answer
from azurewick.claims.models import Claim
from azurewick.claims.models import ClaimKind
from azurewick.claims.models import ClaimState
from azurewick.claims.models import Operation
from azurewick.claims.models import OperationKind
from azurewick.claims.models import Segment
from azurewick.claims.models import ShardHead

KEYS = ("a" * 32, "b" * 32)
ACTIONS = (
    "start",
    "read",
    "write",
    "write_lost",
    "write_delayed",
    "deliver",
    "end",
    "release",
    "kill",
)
SCHEDULES = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 2),
        strategies.sampled_from(ACTIONS),
        strategies.integers(0, 1),
    ),
    min_size=12,
    max_size=60,
)


class SimulatedStore:
    """Store with one head and its segments.

    With is_conditional, an update fails unless the version matches.
    """

    def __init__(self, is_conditional: bool) -> None:
        self.is_conditional = is_conditional
        self.version = 0
        self.head = ShardHead()
        self.segments: dict[str, dict[str, Claim]] = {}
        self.delayed_updates: list[tuple[int, ShardHead]] = []

    def update(self, version: int, head: ShardHead) -> bool:
        if self.is_conditional and version != self.version:
            return False
        self.version += 1
        self.head = head
        return True


@dataclass
class SimulatedGateway:
    """Gateway with at most one operation in progress.

    Each action of a schedule is one step of an operation. A write may lose
    its reply, or take effect only at a later "deliver".
    """

    name: str
    token_number: int = 0
    cached: tuple[int, ShardHead] | None = None
    operation: Operation | None = None
    granted_key: str = ""
    runs: list[str] = field(default_factory=list)
    replays: list[tuple[str, bytes]] = field(default_factory=list)

    def apply_action(self, store, action, key):
        if action == "kill":
            self.cached = self.operation = None
            self.granted_key = ""
            self.token_number += 1
        elif action == "start" and not self.operation and not self.granted_key:
            self.token_number += 1
            self.operation = self._make_operation(OperationKind.CLAIM, key)
        elif action == "read":
            self.cached = (store.version, store.head)
        elif action == "deliver" and store.delayed_updates:
            store.update(*store.delayed_updates.pop())
        elif action == "end" and self.granted_key and not self.operation:
            self.runs.append(self.granted_key)
            self.operation = self._make_operation(
                OperationKind.COMPLETE, self.granted_key
            )
        elif action == "release" and self.granted_key and not self.operation:
            self.operation = self._make_operation(
                OperationKind.RELEASE, self.granted_key
            )
        elif action.startswith("write") and self.operation and self.cached:
            self._write(store, action)

    def _make_operation(self, kind, key):
        token = f"{self.name}/{self.token_number}"
        answer = Answer(
            status=200, content_type="text/plain", body=token.encode()
        )
        return Operation(
            kind=kind,
            key=key,
            token=token,
            now_s=1.0,
            fingerprint="f",
            answer=answer if kind is OperationKind.COMPLETE else None,
        )

    def _write(self, store, action):
        version, head = self.cached
        segment_claims = {}
        for segment in head.segments:
            segment_claims.update(store.segments[segment.name])
        decision = decisions.decide_operations(
            head, segment_claims, [self.operation]
        )
        if decision.is_changed:
            new_head = decision.head
            flush = decisions.plan_flush(new_head)
            if flush is not None:
                name = f"{self.name}/{len(store.segments)}"
                store.segments[name] = flush.settled
                new_head = decisions.add_segment(
                    flush.head, name, flush.settled
                )
            self.cached = None
            if action == "write_delayed":
                store.delayed_updates.append((version, new_head))
                return
            written = store.update(version, new_head)
            if not written or action == "write_lost":
                return
        elif store.version != version:
            self.cached = None
            return
        self._apply_decision(decision.decisions[0])

    def _apply_decision(self, decision):
        operation, self.operation = self.operation, None
        if operation.kind is not OperationKind.CLAIM:
            self.granted_key = ""
        elif decision.kind is ClaimKind.GRANTED:
            self.granted_key = operation.key
        elif decision.kind is ClaimKind.REPLAY:
            self.replays.append((operation.key, decision.answer.body))


def run_schedule(schedule, is_conditional=True):
    store = SimulatedStore(is_conditional)
    gateways = [SimulatedGateway(f"g{i}") for i in range(3)]
    for number, action, key in schedule:
        gateways[number].apply_action(store, action, KEYS[key])
    runs = [key for gateway in gateways for key in gateway.runs]
    replays = [item for gateway in gateways for item in gateway.replays]
    return runs, replays


class ClaimScheduleTest(TestCase):
    """Guards against running a request twice.

    Two gateways that read the same head could both be granted its key when
    their writes are lost, delayed or repeated.
    """

    @settings(
        max_examples=3000, derandomize=True, deadline=None, database=None
    )
    @given(schedule=SCHEDULES, small_head=strategies.booleans())
    def test_no_schedule_runs_a_key_twice(self, schedule, small_head):
        # With a threshold of 2 bytes, each settled claim goes to a segment.
        threshold_bytes = 2 if small_head else decisions.FLUSH_THRESHOLD_BYTES
        with patch.object(decisions, "FLUSH_THRESHOLD_BYTES", threshold_bytes):
            runs, replays = run_schedule(schedule)
        self.assertEqual(len(set(runs)), len(runs))
        self.assertEqual(
            len({key for key, _ in replays}), len(set(replays)), replays
        )

    def test_unconditional_update_runs_a_key_twice(self):
        schedule = [
            (number, action, 0)
            for action in ("start", "read", "write", "end")
            for number in (0, 1)
        ]
        self.assertEqual([KEYS[0]] * 2, run_schedule(schedule, False)[0])
        self.assertEqual([KEYS[0]], run_schedule(schedule)[0])


class TransitionTest(TestCase):
    """Guards against a wrong transition that only rare schedules reach."""

    def test_each_operation_on_each_state(self):
        own, other = "gw/a/1", "gw/b/1"
        claim, complete, release = OperationKind
        cases = (
            # state before, its token, operation, decision, state after
            (None, "", claim, "granted", "claimed"),
            (None, "", complete, "in_progress", None),
            (None, "", release, "released", "released"),
            ("claimed", own, claim, "granted", "claimed"),
            ("claimed", own, complete, "replay", "done"),
            ("claimed", own, release, "released", "released"),
            ("claimed", other, claim, "in_progress", "claimed"),
            ("claimed", other, complete, "in_progress", "claimed"),
            ("claimed", other, release, "in_progress", "claimed"),
            ("done", own, release, "not_retained", "done"),
            ("done", other, claim, "not_retained", "done"),
            ("done", other, complete, "in_progress", "done"),
            ("released", own, claim, "in_progress", "released"),
            ("released", own, complete, "released", "released"),
            ("released", other, claim, "granted", "claimed"),
            ("released", other, release, "in_progress", "released"),
        )
        answer = Answer(status=200, content_type="t", body=b"")
        for state, token, kind, expected, after in cases:
            with self.subTest(state=state, own=token == own, kind=kind):
                claims = {}
                if state is not None:
                    claims[KEYS[0]] = Claim(
                        state=ClaimState(state),
                        token=token,
                        fingerprint="f",
                        claimed_at_s=0.0,
                    )
                operation = Operation(
                    kind=kind,
                    key=KEYS[0],
                    token=own,
                    now_s=1.0,
                    fingerprint="f",
                    answer=answer,
                )
                head = ShardHead(claims=claims)
                decision = decisions.decide_operations(head, {}, [operation])
                self.assertEqual(expected, decision.decisions[0].kind)
                remaining = decision.head.claims.get(KEYS[0])
                self.assertEqual(after, remaining and remaining.state)
                self.assertEqual(
                    remaining != claims.get(KEYS[0]), decision.is_changed
                )


class LimitTest(TestCase):
    """Guards against a head above the 1 MB limit of the store.

    When the head is full, completions and releases must still be stored and
    new claims refused.
    """

    def _make_claims(self, count, state, answer=None):
        return {
            f"{number:032x}": Claim(
                state=state,
                token=f"gw/a/{number}",
                fingerprint="f" * 32,
                claimed_at_s=0.0,
                answer=answer,
            )
            for number in range(count)
        }

    def _make_operation(self, kind, number, answer=None):
        return Operation(
            kind=kind,
            key=f"{number:032x}",
            token=f"gw/a/{number}",
            now_s=1.0,
            answer=answer,
        )

    def test_full_head_drops_answers_first_and_then_refuses_claims(self):
        full = ShardHead(claims=self._make_claims(8000, ClaimState.CLAIMED))
        self.assertGreater(decisions.head_size(full), decisions.MAX_HEAD_BYTES)
        answer = Answer(status=200, content_type="t", body=bytes(9000))
        decision = decisions.decide_operations(
            full,
            {},
            [
                self._make_operation(OperationKind.CLAIM, 9999),
                self._make_operation(OperationKind.COMPLETE, 1, answer),
                self._make_operation(OperationKind.RELEASE, 2),
            ],
        )
        self.assertIsNone(decision.decisions[0])
        self.assertEqual(
            [ClaimKind.NOT_RETAINED, ClaimKind.RELEASED],
            [item.kind for item in decision.decisions[1:]],
        )
        self.assertLessEqual(
            decisions.head_size(decision.head), decisions.head_size(full)
        )
        stored = encoded_size(encode_head(decision.head, 16))
        self.assertLessEqual(stored, decisions.head_size(decision.head))

    def test_segments_above_limit_are_written_without_answers(self):
        answer = Answer(status=200, content_type="t", body=bytes(900))
        claims = self._make_claims(600, ClaimState.DONE, answer)
        for count, keeps_answers in (
            (0, True),
            (decisions.MAX_SEGMENTS_WITH_ANSWERS, False),
        ):
            with self.subTest(segments=count):
                segments = tuple(
                    Segment(name=str(i), newest_at_s=0.0, claim_count=1)
                    for i in range(count)
                )
                flush = decisions.plan_flush(
                    ShardHead(claims=claims, segments=segments)
                )
                answers = {item.answer for item in flush.settled.values()}
                self.assertEqual({answer if keeps_answers else None}, answers)
