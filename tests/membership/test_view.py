"""Tests of the membership view."""

from __future__ import annotations

from unittest import TestCase

from azurewick.membership.view import MAXIMUM_EJECTION_S
from azurewick.membership.view import MembershipView
from azurewick.membership.view import parse_instances
from tests.membership.builders import agent_spec
from tests.membership.builders import load_report
from tests.membership.builders import update_list

NAME = "agent-1"


def fail(view, at_s):
    view.record_failure(NAME, at_s)


def refuse(view, at_s):
    view.record_failure(NAME, at_s, refused=True)


def succeed(view, at_s):
    view.record_success(NAME, at_s)


def load(**fields):
    return lambda view, at_s: view.record_load(load_report(**fields), at_s)


def leave(view, at_s):
    view.record_leaving(NAME, at_s)


def listed(state, version):
    return lambda view, at_s: update_list(
        view, {NAME: agent_spec(state)}, version, at_s
    )


class MembershipViewTest(TestCase):
    """Guards against new work for a server that is leaving or failing.

    The list lags behind, and notices and load reports may arrive late.
    """

    def test_availability_after_events(self):
        for name, steps, available in (
            ("list only", [], True),
            ("list says leaving", [listed("leaving", 11)], False),
            ("old list is ignored", [listed("leaving", 9)], True),
            ("two failures", [fail, fail], True),
            ("three failures", [fail, fail, fail], False),
            ("success between failures", [fail, fail, succeed, fail], True),
            ("refused connection", [refuse], False),
            ("success before the ejection ends", [refuse, succeed], False),
            (
                "success after the ejection",
                [refuse, None, None, succeed],
                True,
            ),
            (
                "one failure in the probation",
                [refuse, None, None, succeed, fail],
                False,
            ),
            ("notice", [leave], False),
            ("draining report", [load(draining=True)], False),
            (
                "newer list after a notice",
                [leave, listed("live", 11)],
                False,
            ),
            (
                "earlier report from a slow relay after a notice",
                [leave, load(age_s=5.0)],
                False,
            ),
            ("resumed", [load(draining=True), load()], True),
            (
                "restarted after an ejection",
                [load(), refuse, load(incarnation="i2")],
                True,
            ),
        ):
            with self.subTest(name):
                view = MembershipView()
                update_list(view, {NAME: agent_spec()}, 10, 0.0)
                for index, step in enumerate(steps):
                    if step is not None:
                        step(view, 100.0 + index * 0.5)
                servers = view.backend_servers("chat")
                self.assertEqual(available, bool(servers))

    def test_ejection_grows_with_repeated_failures(self):
        """Guards against a server that is added and removed with each probe.

        Each second probe is answered; the ejections have to get longer.
        """
        view = MembershipView()
        update_list(view, {NAME: agent_spec()}, 1, 0.0)
        now_s = 0.0
        changes = 0
        was_available = True
        while now_s < 600.0:
            is_probe_answered = round(now_s) % 2 == 0
            record = succeed if is_probe_answered else refuse
            record(view, now_s)
            available = bool(view.backend_servers("chat"))
            changes += available != was_available
            was_available = available
            now_s += 1.0
        self.assertLess(changes, 2 * (7 + 600 / MAXIMUM_EJECTION_S))

    def test_ejected_server_is_probed_when_its_ejection_ends(self):
        view = MembershipView()
        update_list(view, {NAME: agent_spec()}, 1, 0.0)
        refuse(view, 0.0)
        probed_s = []
        for second in range(1, 60):
            if view.servers_to_probe(8, second):
                probed_s.append(second)
                fail(view, second)
        self.assertEqual([1, 3, 7, 15, 30, 45], probed_s)

    def test_probes_go_to_failing_servers_only(self):
        view = MembershipView()
        specs = {f"agent-{n}": agent_spec() for n in range(3)}
        update_list(view, specs, 1, 0.0)
        view.record_failure("agent-2", 2.0)
        view.record_failure(NAME, 1.0)
        view.record_failure("unlisted", 1.0)
        names = [server.name for server in view.servers_to_probe(8, 3.0)]
        self.assertEqual([NAME, "agent-2"], names)

    def test_servers_with_overdue_reports_are_probed_but_not_ejected(self):
        # A gateway must also notice a dead server that it sends no requests.
        for name, steps, at_s, probed in (
            ("never reported", [], 100.0, False),
            ("recent report", [load()], 10.0, False),
            ("silent", [load()], 100.0, True),
        ):
            with self.subTest(name):
                view = MembershipView()
                update_list(view, {NAME: agent_spec()}, 10, 0.0)
                for step in steps:
                    step(view, 1.0)
                view.record_overdue_reports(2.0, at_s)
                servers = view.servers_to_probe(10, at_s)
                self.assertEqual(probed, bool(servers))
                self.assertTrue(view.is_available(NAME))

    def test_invalid_and_unchanged_instances(self):
        """Guards against an invalid entry that hides the others.

        Also guards against a changed entry that is taken for an unchanged
        one.
        """
        specs = {
            "good": agent_spec(),
            "bad": agent_spec() | {"state": "unknown"},
            "worse": {},
        }
        first = parse_instances(specs)
        self.assertEqual(["good"], list(first.servers))
        changed = specs | {"bad": agent_spec("leaving")}
        second = parse_instances(changed, first)
        self.assertIs(first.servers["good"], second.servers["good"])
        self.assertEqual("leaving", second.servers["bad"].state)
