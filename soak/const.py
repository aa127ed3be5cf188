"""Names and times of the soak."""

from __future__ import annotations

from typing import Final

HOST: Final = "127.0.0.1"
CALLER_HOST: Final = "soak.example"
API_KEY: Final = "soak-key"
CUSTOMER: Final = "soak-customer"

SERVICE_PLAIN: Final = "plain"
SERVICE_NEXT: Final = "plain-next"
SERVICE_STREAM: Final = "stream"

PATH_BOOKING: Final = "/booking/"
PATH_LOOKUP: Final = "/lookup/"
PATH_DRAFT: Final = "/draft/"
# Its service changes with each configuration, which shows the one in force.
PATH_PROBE: Final = "/probe/"

ROUTE_TIMEOUT_S: Final = 4.0
# Bounds of the promises, as the entry instances get them in their settings.
GRACE_S: Final = 8.0
DRAIN_S: Final = 2.5
CONFIG_S: Final = 2.5
ROLLBACK_SLACK_S: Final = 0.25
STABLE_WINDOW_S: Final = 3.0
LATE_S: Final = 0.5
RECOVERY_S: Final = 12.0
MAX_ATTEMPTS: Final = 2
