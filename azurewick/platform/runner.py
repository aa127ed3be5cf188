"""Start of an entry instance from the platform's settings file."""

from __future__ import annotations

import gc
from pathlib import Path

from azurewick.entry.application import run_entry
from azurewick.helpers.logging import setup_rate_limited_logging
from azurewick.platform.application import build_entry
from azurewick.platform.settings import NodeSettingsFile

EXIT_INVALID_SETTINGS = 2


def run_instance(settings_file: Path) -> int:
    """Run an entry instance until SIGTERM; return the exit code.

    Raises AzurewickError with code invalid_settings.
    """
    node_file = NodeSettingsFile(settings_file)
    settings = node_file.load()
    setup_rate_limited_logging("info")
    instance = build_entry(settings)
    # The objects of the imported modules are never garbage. Without them, a
    # full collection is a shorter pause.
    gc.freeze()
    return run_entry(instance, node_file)
