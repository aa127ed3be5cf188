"""Runs the tests with nose2 and prints a summary line."""

from __future__ import annotations

from pathlib import Path
import sys

from nose2.events import Plugin
from nose2.main import PluggableTestProgram

KNOWN_FAILURES_FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"
KNOWN_FAILURES_PREFIX = "test: "


def read_known_failures() -> frozenset[str]:
    """Return the ids of the tests listed as known failures.

    KNOWN-RED.txt lists a test as "test: ID"; other lines are ignored.
    """
    if not KNOWN_FAILURES_FILE.exists():
        return frozenset()
    return frozenset(
        line.removeprefix(KNOWN_FAILURES_PREFIX).strip()
        for line in KNOWN_FAILURES_FILE.read_text(
            encoding="utf-8"
        ).splitlines()
        if line.startswith(KNOWN_FAILURES_PREFIX)
    )


class ResultCounter(Plugin):
    """Counts results and reports known failures as skipped tests."""

    configSection = "result-counter"

    def __init__(self):
        self.known_failures = read_known_failures()
        self.passed = 0
        self.failed = 0
        self.skipped = 0
        self.observed_known_failures: list[str] = []

    def setTestOutcome(self, event):
        """Report a test as skipped if it failed and is a known failure."""
        test_id = event.test.id()
        if test_id in self.known_failures and event.outcome in (
            "failed",
            "error",
        ):
            event.outcome = "skipped"
            event.reason = "listed in KNOWN-RED.txt"
            event.exc_info = None
            self.observed_known_failures.append(test_id)

    def testOutcome(self, event):
        """Count an outcome.

        A passed subtest is not counted, because its test is.
        """
        if event.outcome == "subtest" and event.exc_info is None:
            return
        if event.outcome == "skipped":
            self.skipped += 1
        elif event.outcome == "passed" and event.expected:
            self.passed += 1
        elif event.outcome == "failed" and event.expected:
            self.passed += 1
        else:
            self.failed += 1


def main() -> int:
    """Run the tests and return the exit code, 1 also if no test ran."""
    names = sys.argv[1:] or ["tests"]
    counter = ResultCounter()
    program = PluggableTestProgram(
        module=None,
        argv=["nose2", "-s", ".", "-t", ".", *names],
        exit=False,
        extraHooks=[
            ("setTestOutcome", counter),
            ("testOutcome", counter),
        ],
    )
    for test_id in counter.observed_known_failures:
        print(f"known red: {test_id}")
    summary = f"{counter.passed} passed, {counter.failed} failed"
    if counter.skipped:
        summary += f", {counter.skipped} skipped"
    print(summary, flush=True)
    if counter.passed + counter.failed == 0:
        print("no test ran", file=sys.stderr)
        return 1
    succeeded = counter.failed == 0 and program.result.wasSuccessful()
    return 0 if succeeded else 1


if __name__ == "__main__":
    sys.exit(main())
