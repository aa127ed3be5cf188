"""Tests of the platform's settings file."""

from __future__ import annotations

import json
from pathlib import Path
from unittest import TestCase

from azurewick.errors import AzurewickError
from azurewick.platform.settings import load_node_file
from azurewick.platform.settings import parse_node_file
from tests.platform.builders import build_node_text


class NodeFileTest(TestCase):
    """Guards against settings that are misread or partly ignored."""

    def test_fields(self):
        settings = parse_node_file(build_node_text())
        self.assertEqual("edge-north-1", settings.name)
        self.assertEqual("10.1.0.25:8221", settings.address)
        self.assertEqual("10.1.0.25:8224", settings.ready_address)
        self.assertEqual("10.1.0.25:7600", settings.metrics_address)
        self.assertEqual("10.1.0.25:7601", settings.peer_address)
        self.assertEqual("10.200.1.7:8225", settings.store_address)
        self.assertEqual(52.0, settings.retry_allowance)
        # A quarter of 150 MB.
        self.assertEqual(39_321_600, settings.body_memory_bytes)

    def test_limits_of_callers_leave_memory_and_descriptors(self):
        """Guards against limits that together exceed those of the machine."""
        for max_fds in (300, 1024, 4100):
            limits = {"memory_mb": 150, "max_fds": max_fds}
            settings = parse_node_file(build_node_text(limits=limits))
            self.assertLess(
                settings.max_connections
                + settings.peer_connections
                + settings.listen_backlog,
                max_fds,
            )
        self.assertEqual(15_728_640, settings.caller_limits.memory_bytes)
        self.assertEqual(1024, settings.listen_backlog)

    def test_error_names_missing_and_invalid_fields(self):
        fields = json.loads(build_node_text())
        del fields["zone"]
        fields["platform"] = {"addr": "nowhere"}
        with self.assertRaises(AzurewickError) as caught:
            parse_node_file(json.dumps(fields))
        self.assertIn("zone", caught.exception.message)
        self.assertIn("platform.addr", caught.exception.message)

    def test_processor_is_the_part_of_all_cores(self):
        limits = {"max_fds": 4100, "cpu_share": 0.717, "cores": 3}
        settings = parse_node_file(build_node_text(limits=limits))
        self.assertAlmostEqual(2.151, settings.processor_cores)
        self.assertEqual(
            1.0, parse_node_file(build_node_text()).processor_cores
        )

    def test_slot_grants_can_be_switched_off(self):
        self.assertTrue(parse_node_file(build_node_text()).uses_slot_grants)
        text = build_node_text(uses_slot_grants=False)
        self.assertFalse(parse_node_file(text).uses_slot_grants)
        with self.assertRaises(AzurewickError):
            parse_node_file(build_node_text(uses_slot_grants=[]))

    def test_learning_is_off_unless_it_is_switched_on(self):
        settings = parse_node_file(build_node_text())
        for name in ("learns_capacity", "learns_engine_times"):
            self.assertFalse(getattr(settings, name))
            text = build_node_text(learning={name: True})
            self.assertTrue(getattr(parse_node_file(text), name))
            with self.assertRaises(AzurewickError):
                parse_node_file(build_node_text(learning={name: 2}))

    def test_odd_numbers_are_invalid(self):
        for changes in (
            {"limits": {"max_fds": "9" * 400}},
            {"limits": {"max_fds": "9" * 5000}},
            {"limits": {"caller_memory_share": 0}},
            {"limits": {"caller_memory_share": 0.6}},
            {"limits": {"body_customer_share": 1.1}},
            {"limits": {"unread_answer_s": 0.5}},
            {"bounds": {"grace_s": "inf"}},
            {"bounds": {"grace_s": 1e308}},
            {"bounds": {"quota_slack": "nan"}},
            {"port_range": [65536, 65540]},
            {"port_range": [-1, 4]},
        ):
            with self.subTest(str(changes)[:40]):
                with self.assertRaises(AzurewickError):
                    parse_node_file(build_node_text(**changes))
        for text in ("[" * 2000 + "]" * 2000, '{"a": 1e400}', "", "null"):
            with self.subTest(text[:20]), self.assertRaises(AzurewickError):
                parse_node_file(text)

    def test_error_names_missing_file(self):
        with self.assertRaises(AzurewickError) as caught:
            load_node_file(Path("/nonexistent/settings.json"))
        self.assertIn("/nonexistent/settings.json", str(caught.exception))
