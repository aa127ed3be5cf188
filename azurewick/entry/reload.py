"""Reload the settings while the process runs."""

from __future__ import annotations

import asyncio
from asyncio import Task
from collections.abc import Callable
from logging import getLogger
from pathlib import Path
from signal import SIGHUP
from typing import Protocol

from azurewick.entry.settings import EntrySettings
from azurewick.errors import AzurewickError
from azurewick.helpers.tasks import async_cancel
from azurewick.helpers.tasks import create_supervised_task

_LOGGER = getLogger(__name__)

# Interval of the check for changes of the file that come without a signal.
CHECK_INTERVAL_S = 1.0


class SettingsFile(Protocol):
    """File that holds the settings of this process."""

    @property
    def path(self) -> Path:
        """Return the path of the file."""

    def load(self) -> EntrySettings:
        """Return the settings; raise AzurewickError when they are invalid."""


class SettingsReloader:
    """Applies the settings on SIGHUP and when the file has changed.

    The settings in force are kept when the file is unreadable or invalid.
    """

    def __init__(
        self,
        settings_file: SettingsFile,
        apply: Callable[[EntrySettings], None],
    ) -> None:
        self._file = settings_file
        self._apply = apply
        # Unknown, so that the first check finds a change since the first load.
        self._mtime_and_size: tuple[int, int] | None = None
        self._task: Task[None] | None = None

    def start(self) -> None:
        """Handle SIGHUP and start to check the file."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(SIGHUP, self.reload)
        self._task = create_supervised_task(
            "check of the settings", self._async_check
        )

    async def async_stop(self) -> None:
        """Stop checking the file; SIGHUP is still handled."""
        if self._task is not None:
            await async_cancel(self._task)

    def reload(self) -> None:
        """Load the settings and apply them."""
        self._mtime_and_size = self._read_mtime_and_size()
        try:
            settings = self._file.load()
        except AzurewickError as err:
            _LOGGER.error("can't reload, settings stay as they are: %s", err)
            return
        self._apply(settings)

    async def _async_check(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self._read_mtime_and_size() != self._mtime_and_size:
                self.reload()

    def _read_mtime_and_size(self) -> tuple[int, int] | None:
        try:
            status = self._file.path.stat()
        except OSError as err:
            _LOGGER.warning("can't check the settings file: %s", err)
            return None
        return status.st_mtime_ns, status.st_size
