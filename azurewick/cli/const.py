"""Exit codes and names of the command-line tool."""

from __future__ import annotations

from enum import IntEnum
from typing import Final

from azurewick.errors import ErrorCode

ENV_SETTINGS_FILE: Final = "AZUREWICK_SETTINGS"
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


# Errors with any other code exit with FAILURE.
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
    ExitCode.INVALID_INPUT: "correct the named input and try again",
    ExitCode.CONFLICT: (
        "read the current state, then decide whether to repeat the change"
    ),
    ExitCode.STORE_UNAVAILABLE: (
        "gateways go on with the last state that they read; try again when"
        " the store answers"
    ),
    ExitCode.NOT_FOUND: "list existing names, for example with 'target list'",
    ExitCode.UNREACHABLE: "check the URLs of the gateways in the settings",
    ExitCode.WAIT_EXPIRED: "the change goes on; follow it with 'status'",
}
