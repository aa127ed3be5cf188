"""Construction of a store client from the settings of a daemon."""

from __future__ import annotations

from azurewick.helpers.clock import monotonic_s
from azurewick.settings.models import StoreSettings
from azurewick.store.client import ObjectApiClient


def open_store(
    settings: StoreSettings, calls_per_s: float | None = None
) -> ObjectApiClient:
    """Return a client; calls_per_s overrides the rate in the settings."""
    rate = calls_per_s or settings.calls_per_s
    return ObjectApiClient(
        settings.url,
        calls_per_s=rate,
        burst_calls=max(settings.burst_calls, rate),
        request_timeout_s=settings.request_timeout_s,
        clock=monotonic_s,
    )
