"""Property test of the ledger under random sequences of its calls."""

from __future__ import annotations

from collections import Counter
from unittest import TestCase

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from azurewick.agent.ledger import DispatchLedger
from azurewick.agent.ledger import LedgerState
from azurewick.errors import AzurewickError
from azurewick.errors import Outcome

ACTIONS = (
    "offer",
    "refuse",
    "dispatch",
    "undo",
    "finish",
    "break",
    "cancel",
    "wait",
)
IDS = ("a", "b", "c")


class LedgerModel:
    """Ledger with a record of what really happened to each id."""

    def __init__(self) -> None:
        self.ledger = DispatchLedger(retention_s=1000.0, max_finished=50)
        self.dispatch_counts: Counter[str] = Counter()
        self.reported_not_run: set[str] = set()
        self.now_s = 0.0

    def apply(self, action: str, request_id: str) -> None:
        state = self.ledger.state(request_id)
        if action == "offer":
            self._offer(request_id)
        elif action == "refuse":
            self.ledger.refuse(request_id)
        elif action == "dispatch" and state is LedgerState.QUEUED:
            self.ledger.dispatch(request_id)
            self.dispatch_counts[request_id] += 1
        elif action == "undo" and state is LedgerState.DISPATCHED:
            # The connection could not be opened, so nothing was written.
            self.ledger.undo_dispatch(request_id)
            self.dispatch_counts[request_id] -= 1
        elif action in ("finish", "break"):
            self.ledger.finish(
                request_id, ran=action == "finish", now_s=self.now_s
            )
        elif action == "cancel":
            self._cancel(request_id)
        elif action == "wait":
            self.now_s += 1.0

    def _offer(self, request_id: str) -> None:
        try:
            self.ledger.admit(request_id, self.now_s)
        except AzurewickError as err:
            if err.outcome is Outcome.NOT_RUN:
                self.reported_not_run.add(request_id)
            if err.outcome is Outcome.RAN:
                assert self.dispatch_counts[request_id] == 1

    def _cancel(self, request_id: str) -> None:
        self.ledger.cancel(request_id, self.now_s)
        if self.ledger.outcome(request_id) is Outcome.NOT_RUN:
            self.reported_not_run.add(request_id)


class LedgerTest(TestCase):
    """Guards against a second dispatch and a wrong not_run.

    They come about when offers, cancellations and failures of one request
    id arrive in an unexpected order, as from several gateways.
    """

    @settings(
        max_examples=3000, derandomize=True, deadline=None, database=None
    )
    @given(
        schedule=strategies.lists(
            strategies.tuples(
                strategies.sampled_from(ACTIONS), strategies.sampled_from(IDS)
            ),
            max_size=60,
        )
    )
    def test_no_schedule_dispatches_an_id_twice(self, schedule):
        model = LedgerModel()
        for action, request_id in schedule:
            model.apply(action, request_id)
            self.assertLessEqual(
                max(model.dispatch_counts.values(), default=0), 1
            )
            for not_run_id in model.reported_not_run:
                self.assertEqual(0, model.dispatch_counts[not_run_id])

    def test_ledger_is_bounded_by_count_and_time(self):
        ledger = DispatchLedger(retention_s=600.0, max_finished=100)
        for number in range(1000):
            ledger.admit(str(number), 0.0)
            ledger.dispatch(str(number))
            ledger.finish(str(number), ran=True, now_s=0.0)
        self.assertEqual(100, len(ledger))
        with self.assertRaises(AzurewickError):
            ledger.admit("999", 599.0)
        ledger.admit("new", 601.0)
        self.assertEqual(1, len(ledger))
