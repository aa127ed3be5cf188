"""Loader of the daemons' JSON settings."""

from __future__ import annotations

from pathlib import Path

from pydantic import TypeAdapter
from pydantic import ValidationError

from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Step
from azurewick.settings.files import read_settings_file
from azurewick.settings.models import AgentSettings
from azurewick.settings.models import DaemonSettings
from azurewick.settings.models import GatewaySettings

_ADAPTER: TypeAdapter[GatewaySettings | AgentSettings] = TypeAdapter(
    DaemonSettings
)


def describe_validation_error(err: ValidationError) -> str:
    """Return each invalid field with its problem and its value."""
    return "; ".join(
        f"{'.'.join(str(part) for part in item['loc']) or 'document'}: "
        f"{item['msg']} (got {_shorten(item.get('input'))})"
        for item in err.errors(include_url=False)
    )


def _shorten(value: object, limit: int = 60) -> str:
    text = repr(value)
    return text if len(text) <= limit else text[: limit - 3] + "..."


def parse_settings(text: str) -> GatewaySettings | AgentSettings:
    """Return the settings in a JSON text.

    Raises AzurewickError with code invalid_settings.
    """
    try:
        return _ADAPTER.validate_json(text)
    except ValidationError as err:
        raise AzurewickError(
            ErrorCode.INVALID_SETTINGS,
            describe_validation_error(err),
            step=Step.SETTINGS,
        ) from err


def load_settings(path: Path) -> GatewaySettings | AgentSettings:
    """Return the settings in a JSON file.

    Raises AzurewickError with code invalid_settings.
    """
    return parse_settings(read_settings_file(path))
