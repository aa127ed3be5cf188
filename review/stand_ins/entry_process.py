"""One entry instance as the platform runs it."""

from __future__ import annotations

import asyncio
import json
import os
from pathlib import Path
import signal
import socket
import subprocess
from time import monotonic

from stand_ins.record import Record

HOST = "127.0.0.1"
ROOT = Path(__file__).resolve().parents[2]
# The command and the variables of deploy/system.toml.
COMMAND = ("python3", "-m", "azurewick.platform")
ENVIRONMENT = {"SSL_CERT_FILE": "/dev/null", "AIOMISC_NO_PLUGINS": "1"}
RESTART_DELAY_S = 0.5
CHECK_INTERVAL_S = 0.05
PORTS_PER_MACHINE = 4
# Below the range that the kernel gives to outgoing connections.
FIRST_PORT = 12_000
LAST_PORT = 32_000
# Bounds of the site ficelle-lagon, as `fleetbench wire` prints them.
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "stable_window_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2500,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_ms": 2500,
    "rollback_slack_ms": 250,
    "max_skew_ms": 5000,
    "strict_revoke": False,
    "revoke_ms": 5000,
    "retry_ratio": 0.2,
    "retry_window_s": 10,
    "retry_slack": 52,
    "quota_window_s": 8,
    "quota_overage": 0.1,
    "quota_slack": 140000,
    "exposure_share": 0.1,
    "exposure_slack": 50,
    "rollback_ms": 5000,
    "recovery_s": 12,
    "delivery_slack_ms": 200,
    "retry_after_s": 8.1,
}
MEMORY_MB = 150
MAX_FDS = 4100


class EntryProcess:
    """Entry instance with its settings file, restarted when it ends.

    With memory_mb the process is killed when its private memory exceeds this
    many megabytes, as the platform does. ends holds the times and reasons of
    the ends that nobody asked for.
    """

    def __init__(
        self,
        name: str,
        folder: Path,
        store_address: str,
        record: Record,
        *,
        memory_mb: int | None = None,
    ) -> None:
        self.name = name
        self.process: subprocess.Popen[bytes] | None = None
        self.ends: list[tuple[float, str]] = []
        self.peak_mb = 0.0
        self.started_s = 0.0
        self.expects_exit = False
        self.bounds = dict(BOUNDS)
        self._record = record
        self._memory_mb = memory_mb
        self._settings = folder / f"{name}.json"
        self._log = folder / f"{name}.log"
        self._store_address = store_address
        first = free_ports(PORTS_PER_MACHINE)
        self.front_port, self.ready_port = first, first + 1
        self._first_port = first + 2
        self._task: asyncio.Task[None] | None = None

    def write_settings(self) -> None:
        """Write the settings file of DEPLOY.md."""
        part = self._settings.with_suffix(".part")
        part.write_text(
            json.dumps(
                {
                    "node_name": self.name,
                    "role": "entry",
                    "machine_class": "edge",
                    "serves": ["edge"],
                    "ip": HOST,
                    "zone": "pl-north",
                    "region": "port-louis",
                    "zones": {
                        "pl-north": "port-louis",
                        "pl-south": "port-louis",
                        "rod-port": "rodrigues",
                    },
                    "listen": {
                        "front": f"{HOST}:{self.front_port}",
                        "ready_addr": f"{HOST}:{self.ready_port}",
                    },
                    "port_range": [self._first_port, self._first_port + 1],
                    "seeds": [],
                    "bootstrap": True,
                    "loss_counts": False,
                    "limits": {
                        "cpu_share": 0.817,
                        "cores": 1,
                        "memory_mb": MEMORY_MB,
                        "max_fds": MAX_FDS,
                        "link_mbps": 1000.0,
                        "disk_mb": 0,
                    },
                    "data_dir": None,
                    "discovery": "platform",
                    "entry": "vip",
                    "heartbeat_ms": 1200,
                    "fault_tolerance": {
                        "machines": 2,
                        "zones": 0,
                        "regions": 0,
                    },
                    "bounds": self.bounds,
                    "platform": {
                        "addr": self._store_address,
                        "form": "objects",
                        "writes_per_s": 400,
                        "reads_per_s": 2000,
                        "history_s": 20,
                        "value_bytes": 1048576,
                        "ttl_min_ms": 1000,
                    },
                }
            ),
            encoding="utf-8",
        )
        part.replace(self._settings)

    async def async_start(self) -> None:
        """Start the process and wait until it is ready."""
        self.write_settings()
        self.start()
        self._task = asyncio.create_task(self._async_supervise())
        async with asyncio.timeout(30):
            while not await self.async_is_ready():  # noqa: ASYNC110
                await asyncio.sleep(0.1)

    def start(self) -> None:
        """Start the process."""
        self.expects_exit = False
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                COMMAND,
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "AZUREWICK_NODE_FILE": str(self._settings),
                    **ENVIRONMENT,
                },
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.started_s = monotonic()
        self._record.write("entry started", machine=self.name)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self._record.write(
                "signal", machine=self.name, signal=signal.Signals(number).name
            )
            os.kill(self.process.pid, number)

    async def async_is_ready(self) -> bool:
        """Return whether the platform's readiness check gets a 200."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    HOST, self.ready_port
                )
                writer.write(
                    b"GET /readyz HTTP/1.1\r\nHost: ready\r\n"
                    b"Connection: close\r\n\r\n"
                )
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return line.split()[1:2] == [b"200"]

    def memory_mb(self) -> float:
        """Return the private memory of the process, without mapped files."""
        assert self.process is not None
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text(
                "utf-8"
            )
        except OSError:
            return 0.0
        for line in status.splitlines():
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) / 1024
        return 0.0

    async def async_stop(self) -> None:
        """Kill the process."""
        self.expects_exit = True
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            await asyncio.to_thread(self.process.wait)

    def log_text(self) -> str:
        """Return what the process has logged."""
        return self._log.read_text("utf-8", errors="replace")

    async def _async_supervise(self) -> None:
        """Kill the process above its memory; start it again when it ends."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            assert self.process is not None
            memory_mb = self.memory_mb()
            self.peak_mb = max(self.peak_mb, memory_mb)
            reason = ""
            if self._memory_mb is not None and memory_mb > self._memory_mb:
                reason = f"killed by the platform with {memory_mb:.0f} MB"
                self.process.kill()
                await asyncio.to_thread(self.process.wait)
            if self.process.poll() is None:
                continue
            if not self.expects_exit:
                reason = reason or f"exited with {self.process.returncode}"
                self.ends.append((monotonic(), reason))
                self._record.write(
                    "entry ended", machine=self.name, reason=reason
                )
            await asyncio.sleep(RESTART_DELAY_S)
            self.start()


def free_ports(count: int) -> int:
    """Return the first of some consecutive free ports, for TCP and UDP."""
    step = os.getpid() * 7 % (LAST_PORT - FIRST_PORT - count)
    for offset in range(0, LAST_PORT - FIRST_PORT - count, count):
        first = FIRST_PORT + (step + offset) % (LAST_PORT - FIRST_PORT - count)
        if all(_is_free(port) for port in range(first, first + count)):
            return first
    raise RuntimeError("no free ports")


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind((HOST, port))
            except OSError:
                return False
    return True
