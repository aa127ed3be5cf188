"""Processor time of a grpclib call at client and server by message size."""

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

MESSAGE_SIZES_BYTES = (100, 1000, 4000, 16_000)
MEASURED_CALLS = 300
WARM_UP_CALLS = 50
NANOSECONDS = 1e9


@dataclass(frozen=True, kw_only=True, slots=True)
class CallCost:
    """Processor time of a unary call at each side.

    The points are (bytes, seconds). Request and reply have the same size.
    """

    client_points: tuple[tuple[float, float], ...]
    server_points: tuple[tuple[float, float], ...]

    @property
    def client_fit(self) -> Fit:
        """Return the fit of the client's seconds by message size."""
        return fit_line(self.client_points)

    @property
    def server_fit(self) -> Fit:
        """Return the fit of the server's seconds by message size."""
        return fit_line(self.server_points)


def read_processor_s(pid: int) -> float:
    """Return the processor time of all threads of a process in seconds."""
    total_ns = 0
    for task in Path(f"/proc/{pid}/task").iterdir():
        try:
            total_ns += int((task / "schedstat").read_text().split()[0])
        except FileNotFoundError:
            # The thread ended after the directory was listed.
            continue
    return total_ns / NANOSECONDS


def measure_calls(seed: int) -> CallCost:
    """Return the cost of calls from this process to an echo server."""
    process = subprocess.Popen(
        [sys.executable, "-m", "bench.capacity_process", "sync-server"],
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        assert process.stdout is not None
        port = int(process.stdout.readline())
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            return runner.run(_async_measure_calls(port, process.pid, seed))
    finally:
        process.terminate()
        process.wait()


async def _async_measure_calls(port: int, pid: int, seed: int) -> CallCost:
    channel = Channel("127.0.0.1", port)
    client, server = [], []
    try:
        for size in MESSAGE_SIZES_BYTES:
            packed = Random(seed).randbytes(size)
            await _async_make_calls(channel, packed, WARM_UP_CALLS)
            client_before_s, server_before_s = (
                process_time(),
                read_processor_s(pid),
            )
            await _async_make_calls(channel, packed, MEASURED_CALLS)
            client.append(
                (
                    float(size),
                    (process_time() - client_before_s) / MEASURED_CALLS,
                )
            )
            server.append(
                (
                    float(size),
                    (read_processor_s(pid) - server_before_s) / MEASURED_CALLS,
                )
            )
    finally:
        channel.close()
    return CallCost(client_points=tuple(client), server_points=tuple(server))


async def _async_make_calls(
    channel: Channel, packed: bytes, count: int
) -> None:
    stub = ControlStub(channel)
    for _ in range(count):
        await stub.Sync(pb.SyncRequest(packed=packed))
