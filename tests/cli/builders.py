"""Helpers that run the command-line tool against a fake store."""

from __future__ import annotations

import asyncio
from asyncio.subprocess import PIPE
from collections.abc import Sequence
from dataclasses import dataclass
import json
from pathlib import Path
import sys
from tempfile import TemporaryDirectory
from typing import Any
from unittest import IsolatedAsyncioTestCase

from typer.testing import CliRunner

from azurewick.cli.main import app
from fakes.object_api import ObjectApi

SPEC = {
    "pools": [{"name": "models", "kind": "model"}],
    "classes": [
        {
            "name": "quick",
            "pool": "models",
            "tier": 0,
            "target": {"first_token_s": 1.9},
            "version": "v1",
        },
        {
            "name": "draft",
            "pool": "models",
            "tier": 1,
            "target": {"completion_s": 10.0},
        },
    ],
    "customers": [],
}


@dataclass(frozen=True)
class CommandResult:
    """Exit code and output of a command."""

    code: int
    output: str
    errors: str

    @property
    def document(self) -> Any:
        return json.loads(self.output)


class CommandTestCase(IsolatedAsyncioTestCase):
    """Test case with a fake store and a settings file for it."""

    async def asyncSetUp(self):
        self.directory = Path(self.enterContext(TemporaryDirectory()))
        self.store = ObjectApi()
        await self.store.async_start()
        self.addAsyncCleanup(self.store.async_stop)
        self.settings = self.write_file(
            "settings.json", {"store": {"url": self.store.url}}
        )

    def write_file(self, name: str, document: Any) -> Path:
        path = self.directory / name
        text = document if isinstance(document, str) else json.dumps(document)
        path.write_text(text, encoding="utf-8")
        return path

    def build_arguments(self, arguments: Sequence[object], table: bool):
        output = "table" if table else "json"
        options = ["--settings", str(self.settings), "--output", output]
        return [*options, *map(str, arguments)]

    async def async_run(self, *arguments: object) -> CommandResult:
        """Run a command inside this process, in a thread."""
        result = await asyncio.to_thread(
            CliRunner().invoke, app, self.build_arguments(arguments, False)
        )
        if result.exception and not isinstance(result.exception, SystemExit):
            raise result.exception
        return CommandResult(result.exit_code, result.stdout, result.stderr)

    async def async_run_process(
        self, *arguments: object, table: bool = False
    ) -> CommandResult:
        """Run a command as a process of its own, with piped output."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "azurewick.cli.main",
            *self.build_arguments(arguments, table),
            stdout=PIPE,
            stderr=PIPE,
        )
        out, err = await process.communicate()
        return CommandResult(process.returncode, out.decode(), err.decode())

    async def async_apply(self) -> int:
        """Apply SPEC and return its revision."""
        file = self.write_file("fleet.json", SPEC)
        result = await self.async_run("config", "apply", file)
        self.assertEqual(0, result.code, result.errors)
        return result.document["revision"]
