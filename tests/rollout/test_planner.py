"""Tests of the planning of a version move."""

from __future__ import annotations

from random import Random
from unittest import TestCase

from azurewick.rollout.models import MAX_UNACCEPTED_SHARE
from azurewick.rollout.models import MovePhase
from azurewick.rollout.models import MoveState
from azurewick.rollout.planner import FleetSize
from azurewick.rollout.planner import MovePlanner
from azurewick.rollout.planner import ramp_shares
from bench.moves_model import build_case
from bench.moves_model import MoveCase
from bench.moves_model import MoveModel
from bench.moves_model import VersionKind
from tests.rollout.builders import build_move
from tests.rollout.builders import NEW
from tests.rollout.builders import OLD
from tests.rollout.builders import Traffic

FLEET = FleetSize(new_servers=40, old_servers=40, old_version=OLD)


class MovePlannerTest(TestCase):
    """Guards against a bad schedule of a move.

    A step without evidence of its own, or with more load than the servers
    can take, exposes requests to a bad version. A late ramp misses the
    deadline, and without a notice the operator doesn't learn of it.
    """

    def run_move(self, rate_per_s, move=None, fleet=FLEET, until_s=3000):
        """Serve requests without faults until until_s.

        Returns each changed move with its time.
        """
        move = move or build_move()
        planner = MovePlanner(move)
        traffic = Traffic()
        seen = []
        for now_s in range(1000, until_s, 2):
            decided = planner.decide(move, fleet, float(now_s))
            if decided != move:
                seen.append((now_s, decided))
            move = decided
            new = 2 * rate_per_s * move.share
            for server in range(2):
                traffic.add(NEW, server=str(server), requests=round(new / 2))
            traffic.add(OLD, requests=round(2 * rate_per_s - new))
            planner.update(traffic.rows(), float(now_s))
        return seen

    def test_phases_of_a_good_version(self):
        seen = self.run_move(200)
        self.assertEqual(
            [
                (MovePhase.START, 0.01, 2),
                (MovePhase.LOAD, MAX_UNACCEPTED_SHARE, 2),
                (MovePhase.SOAK, 0.01, 2),
                (MovePhase.RAMP, 0.10, 4),
                (MovePhase.RAMP, 0.25, 10),
                (MovePhase.RAMP, 0.5, 20),
                (MovePhase.RAMP, 1.0, 0),
                (MovePhase.RAMP, 1.0, 0),
            ],
            [(m.phase, m.share, m.servers) for _, m in seen],
        )
        done_s, done = seen[-1]
        self.assertIs(MoveState.DONE, done.state)
        # SOAK uses up the time that RAMP doesn't need.
        self.assertTrue(1850 < done_s <= 2000, done_s)
        self.assertEqual(OLD, done.previous_version)

    def test_ramps_of_fleets(self):
        table = [
            (1, (0.4, 1.0)),
            (3, (0.4, 1.0)),
            (5, (0.4, 1.0)),
            (12, (2 / 12, 0.5, 1.0)),
            (40, (0.10, 0.25, 0.5, 1.0)),
            (600, (0.10, 0.25, 0.5, 1.0)),
        ]
        for servers, expected in table:
            with self.subTest(servers=servers):
                fleet = FleetSize(new_servers=servers, old_servers=servers)
                self.assertEqual(expected, ramp_shares(fleet))

    def test_notices(self):
        few_servers = FleetSize(new_servers=3, old_servers=40)
        no_servers = FleetSize(new_servers=0, old_servers=40)
        near_deadline = build_move(by_time_s=1060.0)
        table = [
            ("in time", 200, build_move(), FLEET, None),
            ("too few requests", 1, build_move(), FLEET, "can't be met"),
            ("no requests", 0, build_move(), FLEET, "more requests"),
            ("too near", 200, near_deadline, FLEET, "can't be met"),
            ("few servers", 200, build_move(), few_servers, "can take 8%"),
            ("no servers", 200, build_move(), no_servers, "no live server"),
        ]
        for name, rate_per_s, move, fleet, expected in table:
            with self.subTest(name=name):
                seen = self.run_move(rate_per_s, move, fleet, 2500)
                notices = {m.notice for _, m in seen} - {""}
                if expected is None:
                    self.assertEqual(set(), notices)
                else:
                    self.assertIn(expected, " ".join(notices))

    def test_each_step_waits_for_evidence_of_its_own(self):
        seen = self.run_move(20)
        start_s = {move.share: now_s for now_s, move in reversed(seen)}
        # 10% of 20 requests a second need 80 s for 160 requests.
        self.assertGreater(start_s[0.25] - start_s[0.10], 80)

    def test_few_servers_get_no_more_than_they_can_take(self):
        fleet = FleetSize(new_servers=8, old_servers=40)
        seen = self.run_move(200, fleet=fleet)
        self.assertEqual(0.10, max(move.share for _, move in seen))

    def test_notice_is_given_early(self):
        seen = self.run_move(1)
        first_s = min(now_s for now_s, move in seen if move.notice)
        self.assertLess(first_s, 1200)

    def test_move_past_its_deadline_continues(self):
        seen = self.run_move(200, build_move(by_time_s=1060.0))
        self.assertIs(MoveState.DONE, seen[-1][1].state)

    def test_new_planner_continues_in_the_stored_phase(self):
        move = build_move(
            phase=MovePhase.RAMP, share=0.5, servers=20, started_s=900.0
        )
        seen = self.run_move(200, move)
        self.assertEqual([1.0, 1.0], [m.share for _, m in seen])

    def test_end_state_of_each_kind_of_version(self):
        for kind in VersionKind:
            with self.subTest(kind=kind):
                for number in range(4):
                    random = Random(f"{kind}/{number}")
                    case = build_case(kind, random)
                    result = MoveModel(case, random).run()
                    state = MoveState.ROLLED_BACK
                    if kind.is_good:
                        state = MoveState.DONE
                    self.assertIs(state, result.state, case)
                    self.assertLessEqual(
                        result.unaccepted_share, MAX_UNACCEPTED_SHARE
                    )

    def test_load_shows_within_the_unaccepted_share_in_a_large_fleet(self):
        case = MoveCase(
            kind=VersionKind.UNDER_LOAD,
            requests_per_s=200.0,
            servers=40,
            duration_s=240,
            failure_rate=0.002,
            slow_rate=0.9,
        )
        result = MoveModel(case, Random(1)).run()
        self.assertIs(MoveState.ROLLED_BACK, result.state)
        self.assertLess(result.exposure, 0.01)
