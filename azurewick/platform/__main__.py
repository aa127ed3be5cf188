"""Process that the platform starts as an entry instance.

It imports neither the command-line parser nor the validators of the other
daemons: callers are refused while all instances start again.
"""

from __future__ import annotations

import os
from pathlib import Path
import signal
import sys


def main() -> int:
    """Run an entry instance until SIGTERM; return the exit code."""
    # By default SIGHUP would end the process. The settings are read later and
    # are checked for changes after the start.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # These imports take most of the time of a start.
    from azurewick.errors import AzurewickError
    from azurewick.platform.const import ENV_NODE_FILE
    from azurewick.platform.runner import EXIT_INVALID_SETTINGS
    from azurewick.platform.runner import run_instance

    path = os.environ.get(ENV_NODE_FILE)
    if path is None:
        print(f"azurewick-entry: {ENV_NODE_FILE} is not set", file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    try:
        return run_instance(Path(path))
    except AzurewickError as err:
        print(f"azurewick-entry: {err}", file=sys.stderr)
        return EXIT_INVALID_SETTINGS


if __name__ == "__main__":
    sys.exit(main())
