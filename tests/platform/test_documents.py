"""Tests of the conversion of the platform's documents."""

from __future__ import annotations

from unittest import TestCase

from azurewick.entry.models import MoveState
from azurewick.entry.models import RouteKind
from azurewick.errors import AzurewickError
from azurewick.platform.documents import decode_configuration
from azurewick.platform.documents import decode_rollout
from azurewick.platform.documents import decode_server
from azurewick.store.protocols import StoredObject
from tests.platform.builders import CONFIGURATION
from tests.platform.builders import SERVER

ROUTE = CONFIGURATION["routes"][0]
SPLIT = {"service": "huvo11a"}


def build_object(spec, status=None, version=3):
    return StoredObject(
        plural="k", name="o", version=version, spec=spec, status=status or {}
    )


class ConfigurationTest(TestCase):
    """Guards against fields that get a wrong meaning, unit or default."""

    def setUp(self):
        self.configuration = decode_configuration(build_object(CONFIGURATION))

    def test_route(self):
        route = self.configuration.routes.find("ficu95.example", "/pufi791/x")
        self.assertEqual(RouteKind.STREAM, route.kind)
        self.assertEqual(12.0, route.timeout_s)
        self.assertEqual(0.4, route.target_s)
        self.assertEqual(0.4, route.event_gap_s)
        self.assertEqual(2, route.max_attempts)
        self.assertTrue(route.is_resumable)
        self.assertTrue(route.has_prompt)

    def test_home_regions_and_cold_servers(self):
        """Routes and servers without the fields aren't restricted."""
        plain = self.configuration.services["huvo11a"]
        self.assertEqual((0.0, 0.0), (plain.cold_s, plain.cold_per_s))
        self.assertEqual(537_912, plain.memory_tokens)
        self.assertEqual(
            frozenset(), self.configuration.customers["hule930"].home_regions
        )
        spec = {
            **CONFIGURATION,
            "routes": [{**ROUTE, "home_regions": ["home", "away"]}],
            "services": [
                {"name": "huvo11a", "cold_s": 3.0, "cold_per_s": 15.0}
            ],
            "tenants": [{"name": "hule930", "home_regions": ["home"]}],
        }
        configuration = decode_configuration(build_object(spec))
        route = configuration.routes.find("ficu95.example", "/pufi791/x")
        self.assertEqual({"home", "away"}, route.home_regions)
        self.assertEqual(
            {"home"}, configuration.customers["hule930"].home_regions
        )
        cold = configuration.services["huvo11a"]
        self.assertEqual((3.0, 15.0), (cold.cold_s, cold.cold_per_s))
        server = decode_server(build_object({**SERVER, "cold_left_ms": 1500}))
        self.assertEqual(1.5, server.cold_left_s)

    def test_split_route_has_weights_and_no_timeout(self):
        route = self.configuration.routes.find("ficu95.example", "/lohu930/x")
        self.assertEqual([90, 10], [one.weight for one in route.services])
        self.assertIsNone(route.timeout_s)

    def test_customer_is_found_by_each_key(self):
        for key in ("key-1", "key-2"):
            customer = self.configuration.customer_by_key[key]
            self.assertEqual("hule930", customer.name)
            self.assertTrue(customer.counts_tokens)
        self.assertNotIn("key-3", self.configuration.customer_by_key)

    def test_invalid_configurations_are_errors(self):
        for change in (
            {"version": None},
            {"routes": [{"host": "x"}]},
            {"tenants": 7},
            {"version": -1},
            {"version": 10**18},
            {"version": "9" * 400},
            {"limits": {"idle_timeout_ms": "nan"}},
            {"limits": {"idle_timeout_ms": 1e308}},
            {"limits": {"max_body_bytes": "1" * 400}},
            {"routes": [{**ROUTE, "goal_ms": "inf"}]},
            {"routes": [{**ROUTE, "timeout_ms": "nan"}]},
            {"routes": [{**ROUTE, "itl_target_ms": -1}]},
            {"routes": [{**ROUTE, "split": [SPLIT | {"weight": "inf"}]}]},
            {"routes": [{**ROUTE, "split": [SPLIT | {"weight": 1e308}]}]},
            {"routes": [{**ROUTE, "priority": -1000}]},
            {"tenants": [{"name": "t", "priority": -1000}]},
            {"tenants": [{"name": "t", "rate_per_s": "inf"}]},
            {"tenants": [{"name": "t", "burst": "nan"}]},
        ):
            with (
                self.subTest(str(change)[:60]),
                self.assertRaises(AzurewickError),
            ):
                decode_configuration(build_object({**CONFIGURATION, **change}))


class ServerTest(TestCase):
    """Guards against requests to servers with an invalid entry.

    Other writers may store entries with missing or wrong fields.
    """

    def test_valid_entry(self):
        entry = decode_server(build_object({**SERVER, "born": 17}))
        self.assertEqual("10.128.0.9:8080", entry.address)
        self.assertEqual("north", entry.failure_domain)
        self.assertTrue(entry.is_engine)
        self.assertEqual(17, entry.started_ms)

    def test_server_without_phase_is_no_engine(self):
        spec = {key: SERVER[key] for key in SERVER if key != "phase"}
        self.assertFalse(decode_server(build_object(spec)).is_engine)

    def test_invalid_field_values_are_errors(self):
        for change in (
            {"slots": "11"},
            {"slots": 0},
            {"state": "gone"},
            {"addr": "host:80"},
            {"service": None},
            {"born": "yesterday"},
            {"born": -1},
            {"born": 2**63},
            {"slots": 2**63},
            {"slots": 1e308},
            {"slots": 10_001},
            {"addr": "127.0.0.1:0"},
            {"addr": "127.0.0.1:65536"},
            {"addr": "127.0.0.1:080"},
            {"addr": "999.1.1.1:80"},
            {"addr": "[::1]:80"},
            {"phase": {}},
        ):
            with self.subTest(change), self.assertRaises(AzurewickError):
                decode_server(build_object({**SERVER, **change}))


class RolloutTest(TestCase):
    """Guards against the state of an earlier order.

    A new order replaces the spec, while the status remains until the next
    write of it.
    """

    SPEC = {"service": "huvo11a", "target": "v2", "duration_s": 12}

    def test_order_without_status_has_no_state(self):
        self.assertIsNone(decode_rollout(build_object(self.SPEC)).state)

    def test_state_of_this_order(self):
        status = {"state": "complete", "target": "v2"}
        move = decode_rollout(build_object(self.SPEC, status))
        self.assertEqual(MoveState.COMPLETE, move.state)
        self.assertEqual(3, move.revision)

    def test_state_of_an_earlier_order_is_ignored(self):
        status = {"state": "complete", "target": "v1"}
        self.assertIsNone(
            decode_rollout(build_object(self.SPEC, status)).state
        )

    def test_state_of_another_type_is_ignored(self):
        for state in ([], {}, 7, "odd"):
            with self.subTest(state):
                status = {"state": state, "target": "v2"}
                move = decode_rollout(build_object(self.SPEC, status))
                self.assertIsNone(move.state)

    def test_odd_durations_are_errors(self):
        for duration_s in ("inf", "nan", 1e308, 0, -1, 10**30):
            spec = {**self.SPEC, "duration_s": duration_s}
            with self.subTest(duration_s), self.assertRaises(AzurewickError):
                decode_rollout(build_object(spec))
