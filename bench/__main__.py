"""Entry point of script/bench."""

from __future__ import annotations

import sys


def main() -> int:
    """Run the benchmark areas named on the command line."""
    return 0


if __name__ == "__main__":
    sys.exit(main())
