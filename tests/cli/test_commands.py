"""Tests of the commands, their output and their exit codes."""

from __future__ import annotations

import asyncio
import json
from time import time

from azurewick.cli.const import ExitCode
from fakes.object_faults import ObjectApiFaults
from tests.cli.builders import CommandTestCase
from tests.cli.builders import SPEC

ANSI_ESCAPE = "\x1b"


class ConfigurationCommandTest(CommandTestCase):
    """Guards against lost or unchecked changes of the configuration.

    Two operators may change the same revision at once, and a file may be
    invalid.
    """

    async def test_apply_get_and_diff(self):
        missing = await self.async_run("config", "get")
        self.assertEqual(ExitCode.NOT_FOUND, missing.code)
        self.assertIn("config apply", missing.errors)
        revision = await self.async_apply()
        got = await self.async_run("config", "get")
        self.assertEqual((0, SPEC), (got.code, got.document))
        self.assertIn(f"revision {revision}", got.errors)
        same = await self.async_run(
            "config", "diff", self.write_file("a", SPEC)
        )
        self.assertEqual((0, ""), (same.code, same.output))
        changed = json.loads(json.dumps(SPEC))
        changed["classes"][0]["tier"] = 2
        file = self.write_file("b", changed)
        diff = await self.async_run("config", "diff", file)
        self.assertEqual(0, diff.code)
        self.assertRegex(diff.output, r'(?m)^-.*"tier": 0')
        self.assertRegex(diff.output, r'(?m)^\+.*"tier": 2')
        # The instance list has no gateways, so none can be behind.
        applied = await self.async_run("config", "apply", file, "--wait")
        self.assertEqual((0, 0), (applied.code, applied.document["in_force"]))

    async def test_concurrent_apply_of_one_revision_conflicts(self):
        revision = await self.async_apply()
        file = self.directory / "fleet.json"
        arguments = ("config", "apply", file, "--revision", revision)
        results = await asyncio.gather(
            self.async_run_process(*arguments),
            self.async_run_process(*arguments),
        )
        codes = sorted(result.code for result in results)
        self.assertEqual([ExitCode.SUCCESS, ExitCode.CONFLICT], codes)

    async def test_invalid_file_is_not_written(self):
        revision = await self.async_apply()
        unknown_pool = {**SPEC, "pools": []}
        cases = (
            ("not JSON", "{", "fleet"),
            ("a list", [], "object"),
            ("unknown pool", unknown_pool, "models"),
        )
        for name, document, text in cases:
            with self.subTest(name):
                file = self.write_file("bad-fleet.json", document)
                result = await self.async_run("config", "apply", file)
                self.assertEqual(ExitCode.INVALID_INPUT, result.code)
                self.assertIn(text, result.errors)
        got = await self.async_run("config", "get")
        self.assertIn(f"revision {revision}", got.errors)

    async def test_set_and_list_targets(self):
        await self.async_apply()
        result = await self.async_run(
            "target", "set", "draft", "--completion-s", "8"
        )
        self.assertEqual(0, result.code, result.errors)
        listed = await self.async_run("target", "list")
        targets = {row["class"]: row for row in listed.document}
        self.assertEqual(8, targets["draft"]["completion_s"])
        self.assertEqual(1.9, targets["quick"]["first_token_s"])
        cases = (
            (("set", "quik", "--completion-s", "8"), "quick, draft"),
            (("set", "quick", "--completion-s", "soon"), "--completion-s"),
            (("set", "quick", "--completion-s", "-1"), "completion_s"),
            (("set", "quick", "--completion-s", "nan"), "completion_s"),
            (("set", "quick", "--completion", "8"), "--completion-s"),
            (("set", "quick"), "--first-token-s"),
        )
        for arguments, text in cases:
            with self.subTest(arguments):
                refused = await self.async_run("target", *arguments)
                self.assertEqual(ExitCode.INVALID_INPUT, refused.code)
                self.assertIn(text, refused.errors)
        again = await self.async_run("target", "list")
        self.assertEqual(listed.document, again.document)


class VersionCommandTest(CommandTestCase):
    """Guards against version moves that can't be shown or cancelled.

    Also guards against a second move beside the first, a move with invalid
    arguments, and a wait that never ends.
    """

    async def test_move_status_and_cancel(self):
        await self.async_apply()
        by = ("--by", str(time() + 3600))
        moved = await self.async_run("version", "move", "quick", "v2", *by)
        self.assertEqual(0, moved.code, moved.errors)
        second = await self.async_run("version", "move", "quick", "v3", *by)
        self.assertEqual(ExitCode.CONFLICT, second.code)
        self.assertIn(moved.document["id"], second.errors)
        status = await self.async_run("version", "status")
        (row,) = status.document
        self.assertEqual(
            ("quick", "v2", "progressing", moved.document["id"]),
            (row["class"], row["version"], row["state"], row["id"]),
        )
        cancelled = await self.async_run("version", "cancel", "quick")
        self.assertEqual(0, cancelled.code, cancelled.errors)
        self.assertTrue(
            self.store.objects.get("versionmoves", "quick")["spec"][
                "cancelled"
            ]
        )
        missing = await self.async_run("version", "cancel", "draft")
        self.assertEqual(ExitCode.NOT_FOUND, missing.code)

    async def test_wait_expires_at_the_deadline(self):
        await self.async_apply()
        result = await self.async_run(
            "version", "move", "quick", "v2", "--by", time() + 5, "--wait"
        )
        self.assertEqual(ExitCode.WAIT_EXPIRED, result.code, result.errors)

    async def test_invalid_moves_are_rejected(self):
        await self.async_apply()
        later = str(time() + 3600)
        cases = (
            (("quik", "v2", "--by", later), "quick, draft"),
            (("quick", "V 2", "--by", later), "version"),
            (("quick", "v2", "--by", "tomorrow"), "2026-12-04T18:30"),
            (("quick", "v2", "--by", "1"), "past"),
            (("quick", "v2", "--by", "nan"), "--by"),
            (("quick", "v2", "--by", "1e30"), "--by"),
        )
        for arguments, text in cases:
            with self.subTest(arguments):
                result = await self.async_run("version", "move", *arguments)
                self.assertEqual(ExitCode.INVALID_INPUT, result.code)
                self.assertIn(text, result.errors)
        status = await self.async_run("version", "status")
        self.assertEqual([], status.document)


class ErrorTest(CommandTestCase):
    """Guards against exit codes and output that mislead scripts.

    The store or the gateways may be down, the settings invalid, or the
    output piped.
    """

    async def test_store_down(self):
        file = self.write_file("fleet.json", SPEC)
        await self.store.async_set_faults(
            ObjectApiFaults(outage="unavailable")
        )
        for arguments in (
            ("config", "get"),
            ("config", "apply", file),
            ("target", "list"),
            ("version", "status"),
        ):
            with self.subTest(arguments):
                result = await self.async_run(*arguments)
                self.assertEqual(ExitCode.STORE_UNAVAILABLE, result.code)
                self.assertEqual("", result.output)
                self.assertIn("store_unavailable", result.errors)

    async def test_invalid_settings(self):
        for name, document in (
            ("no JSON", "{"),
            ("unknown field", {"store": {"url": "http://a:1"}, "x": 1}),
            ("no store", {}),
        ):
            with self.subTest(name):
                self.settings = self.write_file("bad.json", document)
                result = await self.async_run("target", "list")
                self.assertEqual(ExitCode.INVALID_INPUT, result.code)
                self.assertIn("bad.json", result.errors)

    async def test_status_without_reachable_gateways(self):
        for gateways in ([], ["http://127.0.0.1:1"]):
            with self.subTest(gateways):
                self.settings = self.write_file(
                    "status.json",
                    {"store": {"url": self.store.url}, "gateways": gateways},
                )
                result = await self.async_run("status")
                self.assertEqual(ExitCode.UNREACHABLE, result.code)
                self.assertEqual(
                    len(gateways), len(result.document["gateways"])
                )

    async def test_piped_output_is_not_truncated_or_styled(self):
        spec = json.loads(json.dumps(SPEC))
        name = "a-class-with-a-name-of-many-letters-for-a-narrow-table"
        spec["classes"][0]["name"] = name
        file = self.write_file("fleet.json", spec)
        applied = await self.async_run("config", "apply", file)
        self.assertEqual(0, applied.code, applied.errors)
        result = await self.async_run_process("target", "list", table=True)
        self.assertIn(name, result.output)
        self.assertIn("first_token_s", result.output)
        self.assertNotIn(ANSI_ESCAPE, result.output)
        wrong = await self.async_run_process("target", "set", "quik")
        self.assertNotIn(ANSI_ESCAPE, wrong.errors)
