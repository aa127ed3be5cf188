"""Reload of the settings while the process runs."""

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

# The file may change without a signal.
CHECK_INTERVAL_S = 1.0


class SettingsFile(Protocol):
    """File that holds the settings of this process."""

    @property
    def path(self) -> Path:
        """Return the path of the file."""

    def load(self) -> EntrySettings:
        """Return the settings; AzurewickError when they are invalid."""


class SettingsReloader:
    """Applies the settings on SIGHUP and when the file has changed.

    Settings that can't be read leave those in force.
    """

    def __init__(
        self,
        settings_file: SettingsFile,
        apply: Callable[[EntrySettings], None],
    ) -> None:
        self._file = settings_file
        self._apply = apply
        self._stamp = self._read_stamp()
        self._task: Task[None] | None = None

    def start(self) -> None:
        """Start to listen for the signal and to check the file."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(SIGHUP, self.reload)
        self._task = create_supervised_task(
            "check of the settings", self._async_check
        )

    async def async_stop(self) -> None:
        """Stop to check; a signal is still answered."""
        if self._task is not None:
            await async_cancel(self._task)

    def reload(self) -> None:
        """Load the settings and apply them."""
        self._stamp = self._read_stamp()
        try:
            settings = self._file.load()
        except AzurewickError as err:
            _LOGGER.error("settings are kept as they were: %s", err)
            return
        self._apply(settings)

    async def _async_check(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self._read_stamp() != self._stamp:
                self.reload()

    def _read_stamp(self) -> tuple[int, int] | None:
        try:
            status = self._file.path.stat()
        except OSError as err:
            _LOGGER.warning("can't read the settings file: %s", err)
            return None
        return status.st_mtime_ns, status.st_size
