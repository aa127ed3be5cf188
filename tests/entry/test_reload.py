"""Tests of the reload of the settings."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path
from signal import SIGHUP
from tempfile import TemporaryDirectory
from unittest import IsolatedAsyncioTestCase
from unittest.mock import patch

from azurewick.entry.reload import SettingsReloader
from azurewick.platform.settings import NodeSettingsFile
from tests.platform.builders import build_node_text


class SettingsReloaderTest(IsolatedAsyncioTestCase):
    """Guards against an exit on SIGHUP and against unnoticed changes."""

    async def asyncSetUp(self):
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "settings.json"
        self.path.write_text(build_node_text())
        self.applied = []
        self.reloader = SettingsReloader(
            NodeSettingsFile(self.path), self.applied.append
        )
        self.addAsyncCleanup(self.reloader.async_stop)

    async def test_signal_applies_the_settings(self):
        self.reloader.start()
        os.kill(os.getpid(), SIGHUP)
        await asyncio.sleep(0.05)
        self.assertEqual(1, len(self.applied))

    async def test_change_without_a_signal_is_noticed(self):
        with patch("azurewick.entry.reload.CHECK_INTERVAL_S", 0.02):
            self.reloader.start()
            self.path.write_text(build_node_text(bounds={"grace_s": 5}))
            await asyncio.sleep(0.2)
        self.assertEqual(
            [5.0], [settings.grace_s for settings in self.applied]
        )

    async def test_invalid_file_changes_nothing(self):
        self.path.write_text("{")
        with self.assertLogs("azurewick.entry.reload", "ERROR"):
            self.reloader.reload()
        self.assertEqual([], self.applied)
