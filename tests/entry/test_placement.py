"""Tests of the choice of a backend server."""

from __future__ import annotations

from unittest import TestCase

from azurewick.entry.backends import Backend
from azurewick.entry.work import WorkEstimate
from tests.entry.builders import build_demand
from tests.entry.builders import build_entry
from tests.entry.builders import build_peers
from tests.entry.builders import build_placement


def build_backend(name, *, slowdown=1.0, in_flight=0, **changes):
    return Backend(
        entry=build_entry(name, **changes),
        slowdown=slowdown,
        in_flight=in_flight,
    )


class PlacementTest(TestCase):
    """Guards against the choice of slow, remote or full servers.

    The choice weighs load, speed and distance, and the time until the target
    and the deadline of the request.
    """

    def setUp(self):
        self.placement = build_placement(build_peers("e1", "e1"))

    def choose(self, *backends, **changes):
        found = self.placement.choose(backends, build_demand(**changes), 0.0)
        return None if found is None else found.name

    def test_least_loaded_server_is_chosen(self):
        self.assertEqual(
            "s2",
            self.choose(
                build_backend("s1", in_flight=5),
                build_backend("s2", in_flight=2),
            ),
        )

    def test_slow_server_gets_fewer_requests(self):
        self.assertEqual(
            "s1",
            self.choose(
                build_backend("s1", in_flight=3),
                build_backend("s2", in_flight=1, slowdown=4.0),
            ),
        )

    def test_far_server_is_used_only_when_the_near_one_is_loaded(self):
        far = build_backend("far", failure_domain="far")
        self.assertEqual("s1", self.choose(build_backend("s1"), far))
        self.assertEqual(
            "far", self.choose(build_backend("s1", in_flight=9), far)
        )

    def test_full_excluded_and_draining_servers_are_not_chosen(self):
        self.assertIsNone(
            self.choose(
                build_backend("s1", in_flight=12),
                build_backend("s2", is_draining=True),
                build_backend("s3"),
                excluded=frozenset({"s3"}),
            )
        )

    def test_server_that_would_miss_the_target_comes_last(self):
        work = WorkEstimate(first_token_s=0.2, total_s=2.0)
        self.assertEqual(
            "fast",
            self.choose(
                build_backend("slow", slowdown=4.0),
                build_backend("fast", in_flight=10),
                work=work,
            ),
        )

    def test_server_that_would_miss_the_deadline_comes_last(self):
        work = WorkEstimate(first_token_s=0.01, total_s=3.0)
        self.assertEqual(
            "fast",
            self.choose(
                build_backend("slow", slowdown=5.0),
                build_backend("fast", in_flight=11),
                work=work,
            ),
        )
