"""Files with settings."""

from __future__ import annotations

from pathlib import Path

from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Step


def read_settings_file(path: Path) -> str:
    """Return the text of a settings file.

    Raises AzurewickError with code invalid_settings.
    """
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as err:
        raise AzurewickError(
            ErrorCode.INVALID_SETTINGS,
            f"can't read the settings file {path}: {err}",
            step=Step.SETTINGS,
        ) from err
