"""Start, readiness and end of the demonstration's processes."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
import os
from pathlib import Path
from random import sample
import signal
import socket
from subprocess import DEVNULL
from subprocess import Popen
from subprocess import TimeoutExpired
import sys

from aiohttp import ClientError
from aiohttp import ClientSession
from aiohttp import ClientTimeout

LOOPBACK = "127.0.0.1"
READY_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 15.0
POLL_INTERVAL_S = 0.1
# Ports of reserve_ports: below the range that the kernel uses for outgoing
# connections.
FIRST_PORT = 12_000
LAST_PORT = 30_000

_CANDIDATE_PORTS = sample(range(FIRST_PORT, LAST_PORT), k=2000)


@dataclass(kw_only=True)
class ManagedProcess:
    """Child process with the URL that answers 200 when it is ready."""

    name: str
    popen: Popen[bytes]
    health_url: str

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to this process by its id."""
        os.kill(self.popen.pid, number)

    @property
    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self.popen.poll() is None


class ProcessGroup:
    """Starts processes, waits for them and stops only those it started."""

    def __init__(self, log_directory: Path) -> None:
        self._log_directory = log_directory
        self.processes: dict[str, ManagedProcess] = {}

    def start(
        self, name: str, module: str, arguments: Sequence[str], health_url: str
    ) -> ManagedProcess:
        """Start a Python module as a process.

        Its output is appended to NAME.log in the log directory.
        """
        with open(self._log_directory / f"{name}.log", "ab") as log:
            popen = Popen(
                [sys.executable, "-m", module, *arguments],
                stdin=DEVNULL,
                stdout=log,
                stderr=log,
            )
        process = ManagedProcess(name=name, popen=popen, health_url=health_url)
        self.processes[name] = process
        return process

    async def async_wait_ready(
        self, session: ClientSession, names: Sequence[str]
    ) -> None:
        """Wait until the processes answer their health URL with 200.

        Raises RuntimeError when one ends or isn't ready within
        READY_TIMEOUT_S.
        """
        await asyncio.gather(
            *(self._async_wait(session, self.processes[n]) for n in names)
        )

    async def _async_wait(
        self, session: ClientSession, process: ManagedProcess
    ) -> None:
        for _ in range(int(READY_TIMEOUT_S / POLL_INTERVAL_S)):
            if not process.is_running:
                break
            try:
                async with session.get(
                    process.health_url, timeout=ClientTimeout(total=1)
                ) as response:
                    if response.status == 200:
                        return
            except (ClientError, TimeoutError):
                pass
            await asyncio.sleep(POLL_INTERVAL_S)
        raise RuntimeError(
            f"{process.name} has ended or is not ready within"
            f" {READY_TIMEOUT_S:.0f} s; see"
            f" {self._log_directory / process.name}.log"
        )

    def stop(self, names: Sequence[str]) -> dict[str, int]:
        """Stop processes with SIGTERM and return their exit codes.

        Frozen ones are resumed. One that has not ended after STOP_TIMEOUT_S
        is killed; a killed one has the negative number of the signal.
        """
        chosen = [self.processes[name] for name in names]
        for process in chosen:
            if process.is_running:
                process.send_signal(signal.SIGCONT)
                process.send_signal(signal.SIGTERM)
        return {process.name: _wait(process) for process in chosen}

    def stop_all(self) -> dict[str, int]:
        """Stop all processes as stop does; return their exit codes."""
        return self.stop(list(self.processes))


def _wait(process: ManagedProcess) -> int:
    try:
        return process.popen.wait(STOP_TIMEOUT_S)
    except TimeoutExpired:
        process.send_signal(signal.SIGKILL)
        return process.popen.wait()


def reserve_ports(count: int) -> list[int]:
    """Return free TCP ports of the loopback address, each at most once.

    They lie below the range from which the kernel takes the ports of
    outgoing connections, so no such connection takes one before the process
    that it is meant for has started.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = _CANDIDATE_PORTS.pop()
        with socket.socket() as item:
            try:
                item.bind((LOOPBACK, port))
            except OSError:
                continue
        ports.append(port)
    return ports
