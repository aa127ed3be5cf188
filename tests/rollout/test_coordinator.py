"""Tests of the controller of version moves."""

from __future__ import annotations

from dataclasses import replace
from unittest import IsolatedAsyncioTestCase
from unittest import TestCase

from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Step
from azurewick.rollout.coordinator import MoveCoordinator
from azurewick.rollout.decisions import VersionCut
from azurewick.rollout.models import MoveState
from azurewick.rollout.models import parse_move
from azurewick.rollout.models import PLURAL_VERSION_MOVES
from azurewick.rollout.planner import FleetSize
from fakes.memory_store import MemoryStore
from tests.rollout.builders import build_move
from tests.rollout.builders import NEW
from tests.rollout.builders import OLD
from tests.rollout.builders import Traffic

LAST_STEP_S = 2400


class FakeGateways:
    """Lease, evidence and fleet that a controller sees, with traffic."""

    def __init__(self) -> None:
        self.lease_number: int | None = 5
        self.traffic = Traffic()
        self.cut: VersionCut | None = None
        self.failures = 0

    def fencing_number(self, now_s):
        return self.lease_number

    def evidence(self):
        return self.traffic.rows()

    def cuts(self):
        return [self.cut] if self.cut else []

    def fleet_size(self, move):
        return FleetSize(new_servers=40, old_servers=40, old_version=OLD)

    def serve(self, share):
        for server in ("s1", "s2"):
            counts = {"requests": round(200 * share)}
            counts["failures"] = min(counts["requests"], self.failures)
            self.traffic.add(NEW, server=server, **counts)
        self.traffic.add(OLD, requests=round(400 * (1 - share)))


class RefusingStore(MemoryStore):
    """Store that refuses writes as rate limited while refused is set."""

    def __init__(self) -> None:
        super().__init__()
        self.refused = False
        self.refusals = 0

    async def async_update(self, item):
        if not self.refused:
            return await super().async_update(item)
        self.refusals += 1
        raise AzurewickError(
            ErrorCode.STORE_RATE_LIMITED, "too many", step=Step.STORE
        )


class MoveCoordinatorTest(IsolatedAsyncioTestCase):
    """Guards against moves that stop, repeat a step or end wrongly.

    This could happen when the controller changes, when store writes fail or
    lose their answers, or when the operator cancels a move meanwhile.
    """

    async def asyncSetUp(self):
        self.store = MemoryStore()
        self.gateways = FakeGateways()
        self.controller = self.new_controller()
        self.now_s = 1000
        await self.store.async_create(
            PLURAL_VERSION_MOVES, "quick", build_move().as_spec()
        )

    def new_controller(self):
        gateways = self.gateways
        return MoveCoordinator(self.store, gateways, gateways, gateways)

    def stored(self):
        return parse_move(self.store.objects.get("versionmoves", "quick"))

    async def async_run(self, before_step=lambda step: None):
        """Run until the move ends and return the sequence of stored shares."""
        shares = []
        step = 0
        while self.stored().is_progressing and self.now_s < LAST_STEP_S:
            before_step(step)
            await self.controller.async_step(float(self.now_s))
            move = self.stored()
            if not shares or shares[-1] != move.share:
                shares.append(move.share)
            self.gateways.serve(move.share)
            self.now_s += 2
            step += 1
        return shares

    async def test_a_good_move_is_done_in_time(self):
        shares = await self.async_run()
        self.assertEqual([0.01, 0.05, 0.01, 0.1, 0.25, 0.5, 1.0], shares)
        move = self.stored()
        self.assertIs(MoveState.DONE, move.state)
        self.assertLessEqual(self.now_s, 2000)
        self.assertEqual(5, move.fencing_number)
        self.assertGreater(move.evidence["requests"], 0)
        # A step that changes nothing writes nothing.
        self.assertLess(self.store.calls["update"], 12)

    async def test_a_bad_move_is_rolled_back(self):
        def fail(step):
            self.gateways.failures = 10 if step > 100 else 0

        shares = await self.async_run(fail)
        move = self.stored()
        self.assertIs(MoveState.ROLLED_BACK, move.state)
        self.assertEqual(0.0, shares[-1])
        self.assertIn("failures", move.reason)

    async def test_new_controller_continues_the_move(self):
        # A new controller has only the store and the cumulative evidence of
        # the gateways. It must not accept the current step by evidence of an
        # earlier one, so a change at each step keeps the move from ending.
        progressing, done = MoveState.PROGRESSING, MoveState.DONE
        table = [
            (1, 0, progressing, 0.05),
            (1, 1, progressing, 0.05),
            (20, 0, done, 1.0),
            (27, 1, done, 1.0),
            (50, 2, done, 1.0),
        ]
        for every, lost_answers, state, max_share in table:
            with self.subTest(every=every, lost_answers=lost_answers):
                await self.asyncSetUp()
                before_step = self.replace_controller(every, lost_answers)
                shares = await self.async_run(before_step)
                self.assertIs(state, self.stored().state)
                self.assertEqual(max_share, max(shares))

    def replace_controller(self, every, lost_answers):
        def before_step(step):
            if step % every == 0:
                self.gateways.lease_number += 1
                self.controller = self.new_controller()
                self.store.lose_answers = lost_answers

        return before_step

    async def test_write_with_lost_answer_is_not_repeated(self):
        def lose(step):
            self.store.lose_answers = 1

        shares = await self.async_run(lose)
        self.assertEqual([0.01, 0.05, 0.01, 0.1, 0.25, 0.5, 1.0], shares)
        self.assertIs(MoveState.DONE, self.stored().state)
        self.assertLess(self.store.calls["update"], 12)

    async def test_failed_write_is_retried_at_the_next_step(self):
        self.store = RefusingStore()
        self.controller = self.new_controller()
        await self.store.async_create(
            PLURAL_VERSION_MOVES, "quick", build_move().as_spec()
        )

        def refuse(step):
            self.store.refused = step % 2 == 0

        shares = await self.async_run(refuse)
        # Each decision is written at the next step, 2 s later at most, so
        # that the move ends as early as without the refusals.
        self.assertEqual([0.01, 0.05, 0.01, 0.1, 0.25, 0.5, 1.0], shares)
        self.assertIs(MoveState.DONE, self.stored().state)
        self.assertLessEqual(self.now_s, 2000)
        self.assertLess(self.store.refusals, 12)

    async def test_rollback_is_written_after_a_store_outage(self):
        for _ in range(40):
            await self.controller.async_step(float(self.now_s))
            self.gateways.serve(self.stored().share)
            self.now_s += 2
        self.gateways.cut = VersionCut(
            request_class="quick", version=NEW, move_id="m1", reason="slow"
        )
        self.store.is_down = True
        await self.controller.async_step(float(self.now_s))
        self.assertTrue(self.stored().is_progressing)
        self.store.is_down = False
        await self.controller.async_step(float(self.now_s + 2))
        self.assertIs(MoveState.ROLLED_BACK, self.stored().state)
        self.assertEqual("slow", self.stored().reason)

    async def test_without_the_lease_nothing_is_written(self):
        for number, stored in ((None, 0), (4, 9)):
            with self.subTest(number=number):
                await self.asyncSetUp()
                item = await self.store.async_get("versionmoves", "quick")
                move = build_move(fencing_number=stored, started_s=1.0)
                held = replace(item, status=move.as_status())
                await self.store.async_update(held)
                self.gateways.lease_number = number
                await self.controller.async_step(1000.0)
                self.assertEqual(1, self.store.calls["update"])

    async def test_operator_cancel_wins_over_concurrent_rollback(self):
        await self.controller.async_step(1000.0)
        item = await self.store.async_get("versionmoves", "quick")
        cancelled = replace(item, spec=item.spec | {"cancelled": True})
        listed = await self.store.async_list("versionmoves")
        await self.store.async_update(cancelled)
        # The controller acts on the object it listed before the cancel.
        self.gateways.cut = VersionCut(
            request_class="quick", version=NEW, move_id="m1", reason="slow"
        )
        await self.controller._async_try_advance(listed.items[0], 5, 2.0)
        self.assertIs(MoveState.CANCELLED, self.stored().state)
        await self.controller.async_step(1004.0)
        status = self.store.objects.get("versionmoves", "quick")["status"]
        self.assertEqual("cancelled", status["state"])
        # A new move of the class ignores the status of the previous one.
        item = await self.store.async_get("versionmoves", "quick")
        spec = build_move(id="m2").as_spec()
        await self.store.async_update(replace(item, spec=spec))
        await self.controller.async_step(1006.0)
        move = self.stored()
        self.assertEqual(("m2", 0.01), (move.id, move.share))
        self.assertTrue(move.is_progressing)

    async def test_invalid_move_does_not_block_others(self):
        await self.store.async_create("versionmoves", "aaa", {"id": ""})
        with self.assertLogs("azurewick.rollout", "WARNING") as logs:
            await self.controller.async_step(1000.0)
            await self.controller.async_step(1002.0)
        self.assertEqual(1, len(logs.records))
        self.assertEqual(1000.0, self.stored().started_s)


class StoredFormTest(TestCase):
    """Guards against a stored move that is read back differently.

    Also against an invalid object that is read as a move.
    """

    def test_round_trip(self):
        move = build_move(
            state=MoveState.ROLLED_BACK,
            share=0.0,
            evidence={"requests": 3},
            reason="slow",
            started_s=5.0,
        )
        stored = {"spec": move.as_spec(), "status": move.as_status()}
        self.assertEqual(move, parse_move(stored))
        self.assertEqual(build_move(), parse_move({"spec": move.as_spec()}))

    def test_invalid_forms(self):
        spec = build_move().as_spec()
        for stored in (
            {},
            {"spec": spec | {"version": "No Name"}},
            {"spec": spec | {"by_time_s": "soon"}},
            {"spec": spec | {"other": 1}},
            {"spec": spec, "status": {"share": 2.0}},
        ):
            with self.subTest(stored=stored):
                with self.assertRaises(AzurewickError):
                    parse_move(stored)
