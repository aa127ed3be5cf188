"""Gateway daemon."""

from __future__ import annotations

from azurewick.settings.models import GatewaySettings


def run_gateway(settings: GatewaySettings) -> int:
    """Run the gateway until it is stopped and return the exit code."""
    raise NotImplementedError
