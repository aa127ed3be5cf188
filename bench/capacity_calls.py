"""Processor time of a grpclib call on each side, by message size."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from pathlib import Path
from random import Random
import subprocess
import sys
from time import process_time

from grpclib.client import Channel
import uvloop

from azurewick.control import control_pb2 as pb
from azurewick.control.control_grpc import ControlStub
from bench.capacity_fit import Fit
from bench.capacity_fit import fit_line

SIZES_BYTES = (100, 1000, 4000, 16_000)
CALLS = 300
WARM_UP_CALLS = 50
NANOSECONDS = 1e9


@dataclass(frozen=True, kw_only=True, slots=True)
class CallCost:
    """Seconds of a unary call by the bytes of each of its two messages."""

    client_points: tuple[tuple[float, float], ...]
    server_points: tuple[tuple[float, float], ...]

    @property
    def client(self) -> Fit:
        """Return the line of the caller."""
        return fit_line(self.client_points)

    @property
    def server(self) -> Fit:
        """Return the line of the callee."""
        return fit_line(self.server_points)


def read_processor_s(pid: int) -> float:
    """Return the processor time of all threads of a process."""
    total_ns = 0
    for task in Path(f"/proc/{pid}/task").iterdir():
        try:
            total_ns += int((task / "schedstat").read_text().split()[0])
        except FileNotFoundError:
            # The thread has ended.
            continue
    return total_ns / NANOSECONDS


def measure_calls(seed: int) -> CallCost:
    """Return the cost of calls between two processes."""
    process = subprocess.Popen(
        [sys.executable, "-m", "bench.capacity_process", "sync-server"],
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        assert process.stdout is not None
        port = int(process.stdout.readline())
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            return runner.run(_async_measure(port, process.pid, seed))
    finally:
        process.terminate()
        process.wait()


async def _async_measure(port: int, pid: int, seed: int) -> CallCost:
    channel = Channel("127.0.0.1", port)
    client, server = [], []
    try:
        for size in SIZES_BYTES:
            packed = Random(seed).randbytes(size)
            await _async_call(channel, packed, WARM_UP_CALLS)
            own_s, other_s = process_time(), read_processor_s(pid)
            await _async_call(channel, packed, CALLS)
            client.append((float(size), (process_time() - own_s) / CALLS))
            server.append(
                (float(size), (read_processor_s(pid) - other_s) / CALLS)
            )
    finally:
        channel.close()
    return CallCost(client_points=tuple(client), server_points=tuple(server))


async def _async_call(channel: Channel, packed: bytes, count: int) -> None:
    stub = ControlStub(channel)
    for _ in range(count):
        await stub.Sync(pb.SyncRequest(packed=packed))
