"""Tests that the documentation for operators agrees with the source."""

from __future__ import annotations

from pathlib import Path
import re
from unittest import TestCase

from azurewick.cli.const import ExitCode
from azurewick.errors import DEFAULT_HTTP_STATUS
from azurewick.errors import ErrorCode
from azurewick.errors import HTTP_STATUS
from azurewick.errors import Outcome
from azurewick.errors import Step

DIRECTORY = Path(__file__).parents[2] / "docs" / "operating"


def read_rows(page: str, columns: int) -> list[list[str]]:
    """Return the body rows of the tables with this number of columns."""
    rows = []
    for line in (DIRECTORY / page).read_text(encoding="utf-8").splitlines():
        cells = [cell.strip() for cell in line.strip("|").split("|")]
        is_body = "`" in cells[0] or cells[0].isdigit()
        if line.startswith("|") and len(cells) == columns and is_body:
            rows.append(cells)
    return rows


class OperatingPagesTest(TestCase):
    """Guards against codes that are missing or wrong in the tables."""

    def test_each_error_code_is_listed_once(self):
        rows = read_rows("refusals.md", 7)
        codes = sorted(row[0].strip("`") for row in rows)
        self.assertEqual(sorted(ErrorCode), codes)
        for code, status, steps, outcomes, *texts in rows:
            with self.subTest(code):
                name = ErrorCode(code.strip("`"))
                wanted = HTTP_STATUS.get(name, DEFAULT_HTTP_STATUS)
                self.assertEqual(str(wanted), status)
                for step in re.findall("`(.*?)`", steps):
                    Step(step)
                for outcome in re.findall("`(.*?)`", outcomes):
                    Outcome(outcome)
                self.assertTrue(steps and outcomes and all(texts))

    def test_each_outcome_is_listed_once(self):
        rows = read_rows("refusals.md", 3)
        self.assertEqual(
            sorted(Outcome), sorted(row[0].strip("`") for row in rows)
        )

    def test_each_exit_code_is_listed_once(self):
        rows = read_rows("command-line.md", 4)
        self.assertEqual(
            [(str(code.value), f"`{code.name}`") for code in ExitCode],
            [(row[0], row[1]) for row in rows],
        )
