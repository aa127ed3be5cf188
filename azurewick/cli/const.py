"""Exit codes and names of the command-line tool."""

from __future__ import annotations

from enum import IntEnum
from typing import Final

from azurewick.errors import ErrorCode

ENVIRONMENT_SETTINGS: Final = "AZUREWICK_SETTINGS"
DEFAULT_SETTINGS_FILE: Final = "azurewick.json"
PLURAL_VERSION_MOVES: Final = "versionmoves"


class ExitCode(IntEnum):
    """Exit codes; stable, so that scripts may rely on them."""

    SUCCESS = 0
    FAILURE = 1
    INVALID_INPUT = 2
    CONFLICT = 3
    STORE_UNAVAILABLE = 4
    NOT_FOUND = 5
    UNREACHABLE = 6
    WAIT_EXPIRED = 7


EXIT_CODE_BY_ERROR: Final[dict[ErrorCode, ExitCode]] = {
    ErrorCode.INVALID_SETTINGS: ExitCode.INVALID_INPUT,
    ErrorCode.INVALID_CONFIGURATION: ExitCode.INVALID_INPUT,
    ErrorCode.INVALID_REQUEST: ExitCode.INVALID_INPUT,
    ErrorCode.UNKNOWN_CLASS: ExitCode.INVALID_INPUT,
    ErrorCode.STORE_CONFLICT: ExitCode.CONFLICT,
    ErrorCode.STORE_UNAVAILABLE: ExitCode.STORE_UNAVAILABLE,
    ErrorCode.STORE_RATE_LIMITED: ExitCode.STORE_UNAVAILABLE,
    ErrorCode.STORE_NOT_FOUND: ExitCode.NOT_FOUND,
    ErrorCode.PEER_UNREACHABLE: ExitCode.UNREACHABLE,
}

ADVICE_BY_EXIT_CODE: Final[dict[ExitCode, str]] = {
    ExitCode.INVALID_INPUT: "correct the named field and run it again",
    ExitCode.CONFLICT: "read the current state, then decide again",
    ExitCode.STORE_UNAVAILABLE: (
        "requests are served from the last state; try again when the store"
        " answers"
    ),
    ExitCode.NOT_FOUND: "list what exists, for example with 'target list'",
    ExitCode.UNREACHABLE: "check the gateways' URLs in the settings",
    ExitCode.WAIT_EXPIRED: "the change is kept; ask again with 'status'",
}
