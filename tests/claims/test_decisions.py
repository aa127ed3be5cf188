"""Interleavings of the pure claim machine with two or three gateways."""

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


class MachineStore:
    """Store with one head and its segments; updates are conditional."""

    def __init__(self, conditional: bool) -> None:
        self.conditional = conditional
        self.version = 0
        self.head = ShardHead()
        self.segments: dict[str, dict[str, Claim]] = {}
        self.delayed: list[tuple[int, ShardHead]] = []

    def update(self, version: int, head: ShardHead) -> bool:
        if self.conditional and version != self.version:
            return False
        self.version += 1
        self.head = head
        return True


@dataclass
class MachineGateway:
    """Gateway with at most one operation under way."""

    name: str
    counter: int = 0
    cached: tuple[int, ShardHead] | None = None
    operation: Operation | None = None
    granted: str = ""
    runs: list[str] = field(default_factory=list)
    replays: list[tuple[str, bytes]] = field(default_factory=list)

    def act(self, store, action, key):
        if action == "kill":
            self.cached = self.operation = None
            self.granted = ""
            self.counter += 1
        elif action == "start" and not self.operation and not self.granted:
            self.counter += 1
            self.operation = self._operation(OperationKind.CLAIM, key)
        elif action == "read":
            self.cached = (store.version, store.head)
        elif action == "deliver" and store.delayed:
            store.update(*store.delayed.pop())
        elif action == "end" and self.granted and not self.operation:
            self.runs.append(self.granted)
            self.operation = self._operation(
                OperationKind.COMPLETE, self.granted
            )
        elif action == "release" and self.granted and not self.operation:
            self.operation = self._operation(
                OperationKind.RELEASE, self.granted
            )
        elif action.startswith("write") and self.operation and self.cached:
            self._write(store, action)

    def _operation(self, kind, key):
        token = f"{self.name}/{self.counter}"
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
        older = {}
        for segment in head.segments:
            older.update(store.segments[segment.name])
        decision = decisions.decide_operations(head, older, [self.operation])
        if decision.changed:
            new = decision.head
            roll = decisions.plan_roll(new)
            if roll is not None:
                name = f"{self.name}/{len(store.segments)}"
                store.segments[name] = roll.settled
                new = decisions.add_segment(roll.head, name, roll.settled)
            self.cached = None
            if action == "write_delayed":
                store.delayed.append((version, new))
                return
            written = store.update(version, new)
            if not written or action == "write_lost":
                return
        elif store.version != version:
            self.cached = None
            return
        self._take(decision.decisions[0])

    def _take(self, decision):
        operation, self.operation = self.operation, None
        if operation.kind is not OperationKind.CLAIM:
            self.granted = ""
        elif decision.kind is ClaimKind.GRANTED:
            self.granted = operation.key
        elif decision.kind is ClaimKind.REPLAY:
            self.replays.append((operation.key, decision.answer.body))


def run_schedule(schedule, conditional=True):
    store = MachineStore(conditional)
    gateways = [MachineGateway(f"g{i}") for i in range(3)]
    for number, action, key in schedule:
        gateways[number].act(store, action, KEYS[key])
    runs = [key for gateway in gateways for key in gateway.runs]
    replays = [item for gateway in gateways for item in gateway.replays]
    return runs, replays


class ClaimMachineTest(TestCase):
    """Guards against a second run by any order of reads and writes."""

    @settings(
        max_examples=3000, derandomize=True, deadline=None, database=None
    )
    @given(schedule=SCHEDULES, small_head=strategies.booleans())
    def test_no_schedule_runs_a_key_twice(self, schedule, small_head):
        # A head of two bytes rolls each settled claim into a segment.
        size = 2 if small_head else decisions.HEAD_BYTES
        with patch.object(decisions, "HEAD_BYTES", size):
            runs, replays = run_schedule(schedule)
        self.assertEqual(len(set(runs)), len(runs))
        self.assertEqual(
            len({key for key, _ in replays}), len(set(replays)), replays
        )

    def test_machine_shows_the_fault_of_an_unconditional_update(self):
        schedule = [
            (number, action, 0)
            for action in ("start", "read", "write", "end")
            for number in (0, 1)
        ]
        self.assertEqual([KEYS[0]] * 2, run_schedule(schedule, False)[0])
        self.assertEqual([KEYS[0]], run_schedule(schedule)[0])


class TransitionTest(TestCase):
    """Guards against a transition that only a rare schedule shows."""

    def test_each_operation_on_each_state(self):
        own, other = "gw/a/1", "gw/b/1"
        claim, complete, release = OperationKind
        cases = (
            # state, its token, operation, kind, state after
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
                left = decision.head.claims.get(KEYS[0])
                self.assertEqual(after, left and left.state)
                self.assertEqual(left != claims.get(KEYS[0]), decision.changed)


class LimitTest(TestCase):
    """Guards against a value above 1 MB and against a lost claim."""

    def _claims(self, count, state, answer=None):
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

    def _operation(self, kind, number, answer=None):
        return Operation(
            kind=kind,
            key=f"{number:032x}",
            token=f"gw/a/{number}",
            now_s=1.0,
            answer=answer,
        )

    def test_full_head_drops_answers_first_and_then_refuses_claims(self):
        full = ShardHead(claims=self._claims(8000, ClaimState.CLAIMED))
        self.assertGreater(decisions.head_size(full), decisions.MAX_HEAD_BYTES)
        answer = Answer(status=200, content_type="t", body=bytes(9000))
        decision = decisions.decide_operations(
            full,
            {},
            [
                self._operation(OperationKind.CLAIM, 9999),
                self._operation(OperationKind.COMPLETE, 1, answer),
                self._operation(OperationKind.RELEASE, 2),
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

    def test_many_segments_are_written_without_answers(self):
        answer = Answer(status=200, content_type="t", body=bytes(900))
        claims = self._claims(600, ClaimState.DONE, answer)
        for count, kept in (
            (0, True),
            (decisions.SEGMENTS_WITH_ANSWERS, False),
        ):
            with self.subTest(segments=count):
                segments = tuple(
                    Segment(name=str(i), newest_at_s=0.0, claims=1)
                    for i in range(count)
                )
                roll = decisions.plan_roll(
                    ShardHead(claims=claims, segments=segments)
                )
                answers = {item.answer for item in roll.settled.values()}
                self.assertEqual({answer if kept else None}, answers)
