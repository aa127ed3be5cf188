"""Validated settings of the command-line tool."""

from __future__ import annotations

from pathlib import Path

from pydantic import ValidationError

from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Step
from azurewick.settings.loader import describe_validation_error
from azurewick.settings.models import Address
from azurewick.settings.models import HttpUrl
from azurewick.settings.models import SettingsModel
from azurewick.settings.models import StoreSettings


class ClientSettings(SettingsModel):
    """Addresses of the store and of the gateways.

    gateways are the URLs that callers use; control_addresses are "IP:port"
    of the control ports of the same gateways.
    """

    store: StoreSettings
    gateways: tuple[HttpUrl, ...] = ()
    control_addresses: tuple[Address, ...] = ()


def load_client_settings(path: Path) -> ClientSettings:
    """Return the settings in a JSON file.

    Raises AzurewickError with code invalid_settings.
    """
    try:
        return ClientSettings.model_validate_json(path.read_bytes())
    except OSError as err:
        message = f"can't read the settings file {path}: {err}"
    except ValidationError as err:
        message = f"{path}: {describe_validation_error(err)}"
    raise AzurewickError(
        ErrorCode.INVALID_SETTINGS, message, step=Step.SETTINGS
    )
