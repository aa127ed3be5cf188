"""Tests of the dispatcher and of crash detection, in virtual time."""

from __future__ import annotations

from asyncio import create_task
from asyncio import get_running_loop
from asyncio import sleep
from unittest import TestCase

from azurewick.admission.floor import AdmissionFloor
from azurewick.admission.tier_queue import TierQueue
from azurewick.agent.dispatcher import Dispatcher
from azurewick.agent.health import BackendHealth
from azurewick.agent.ledger import DispatchLedger
from azurewick.agent.rates import ServerRates
from azurewick.errors import AzurewickError
from azurewick.errors import Outcome
from bench.virtual_time import run_virtual
from tests.agent.builders import FixedLimit
from tests.agent.builders import make_offer


class DispatcherTest(TestCase):
    """Guards against dispatches that are not allowed.

    A request must not be dispatched below the admission floor, after its
    deadline, over the concurrency limit or after a refusal. A slot whose
    caller has gone must be released.
    """

    def _build_dispatcher(self, limit=1):
        dispatcher = Dispatcher(
            name="agent-1",
            incarnation="i1",
            queue=TierQueue(8),
            floor=AdmissionFloor(),
            limit=FixedLimit(limit),
            ledger=DispatchLedger(),
            rates=ServerRates(),
            clock=get_running_loop().time,
            is_model=False,
        )
        dispatcher.set_healthy(True)
        dispatcher.record_contact()
        return dispatcher

    async def _async_run_offer(
        self, dispatcher, results, name, run_s=1.0, **fields
    ):
        """Offer a request; append its name and its result to results."""
        try:
            slot = await dispatcher.async_acquire(make_offer(name, **fields))
        except AzurewickError as err:
            self.assertIs(Outcome.NOT_RUN, err.outcome)
            results.append((name, err.code.value))
            return
        results.append((name, "runs"))
        slot.sent.set()
        await sleep(run_s)
        dispatcher.release(slot)

    def _run_actions(self, actions, limit=1):
        """Make offers, or call functions, in turn; return the results."""

        async def async_main():
            dispatcher = self._build_dispatcher(limit)
            results, tasks = [], []
            for action in actions:
                if callable(action):
                    action(dispatcher)
                else:
                    name, fields = action
                    tasks.append(
                        create_task(
                            self._async_run_offer(
                                dispatcher, results, name, **fields
                            )
                        )
                    )
                await sleep(0.01)
            await sleep(20.0)
            self.assertEqual(
                (0, 0), (dispatcher.running, dispatcher.queued), results
            )
            return results

        return run_virtual(async_main())

    def test_dispatch_order_and_refusals(self):
        cases = (
            (
                "a higher tier is dispatched first",
                [("a", {}), ("b", {"tier": 2}), ("c", {"tier": 1})],
                [("a", "runs"), ("c", "runs"), ("b", "runs")],
            ),
            (
                "an expired request isn't dispatched",
                [("a", {}), ("b", {"budget_s": 0.5}), ("c", {})],
                [("a", "runs"), ("b", "target_unreachable"), ("c", "runs")],
            ),
            (
                "an expired request is refused before a slot is free",
                [
                    ("a", {}),
                    ("b", {"budget_s": 0.005}),
                    ("c", {"incarnation": "old"}),
                ],
                [
                    ("a", "runs"),
                    ("b", "target_unreachable"),
                    ("c", "wrong_incarnation"),
                ],
            ),
            (
                "a drain refuses queued and new work",
                [
                    ("a", {}),
                    ("b", {}),
                    lambda dispatcher: dispatcher.set_draining(True),
                    ("c", {}),
                ],
                [("a", "runs"), ("b", "draining"), ("c", "draining")],
            ),
            (
                "an unhealthy backend server refuses queued work",
                [
                    ("a", {}),
                    ("b", {}),
                    lambda dispatcher: dispatcher.set_healthy(False),
                ],
                [("a", "runs"), ("b", "not_ready")],
            ),
            (
                "a cancelled request isn't dispatched",
                [
                    ("a", {}),
                    ("b", {}),
                    lambda dispatcher: dispatcher.cancel("b", "i1"),
                ],
                [("a", "runs"), ("b", "cancelled")],
            ),
        )
        for name, actions, expected in cases:
            with self.subTest(name):
                self.assertEqual(expected, self._run_actions(actions))

    def test_lower_tier_is_refused_without_a_permit(self):
        async def async_main():
            dispatcher = self._build_dispatcher()
            await sleep(6.0)
            with self.assertRaises(AzurewickError) as caught:
                dispatcher.check(make_offer(tier=1))
            self.assertEqual("displaced", caught.exception.code)
            dispatcher.check(make_offer(tier=0))
            dispatcher.record_contact()
            dispatcher.check(make_offer(tier=1))

        run_virtual(async_main())

    def test_slot_granted_to_a_closed_connection_is_released(self):
        async def async_main():
            dispatcher = self._build_dispatcher()
            first = await dispatcher.async_acquire(make_offer("a"))
            waiting = create_task(dispatcher.async_acquire(make_offer("b")))
            await sleep(0.1)
            # The slot is granted before the cancellation reaches the task.
            dispatcher.release(first)
            self.assertEqual(1, dispatcher.running)
            waiting.cancel()
            await sleep(0.1)
            self.assertEqual(0, dispatcher.running)

        run_virtual(async_main())


class HealthTest(TestCase):
    """Guards against missed crashes and wrongly suspected requests.

    Only requests in flight at the crash, or whose connection broke shortly
    before it, may be reported with it.
    """

    def test_crash_detection(self):
        cases = (
            ("one of two breaks", ["break a"], []),
            ("both break", ["break a", "break b"], ["ab"]),
            ("one ends, one breaks", ["end a", "break b"], ["b"]),
            ("refused with two running", ["refuse"], ["ab"]),
            ("refused, then both break", ["refuse", "break a"], ["ab"]),
            ("refused after a break", ["break a", "refuse"], ["ab"]),
            ("old breaks are forgotten", ["break a", "+2", "break b"], ["b"]),
        )
        for name, events, expected in cases:
            with self.subTest(name):
                health = BackendHealth()
                health.record_start("a", "a")
                health.record_start("b", "b")
                now_s, crashes = 0.0, []
                for event in events:
                    action, _, request_id = event.partition(" ")
                    crash = None
                    if action == "break":
                        crash = health.record_broken_connection(
                            request_id, now_s
                        )
                    elif action == "end":
                        health.record_end(request_id)
                    elif action == "refuse":
                        crash = health.record_refused_connection(now_s)
                    else:
                        now_s += float(action)
                    if crash is not None:
                        crashes.append("".join(sorted(crash.fingerprints)))
                self.assertEqual(expected, crashes)
