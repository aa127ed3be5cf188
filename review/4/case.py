"""Large bodies, within the limits, while many users come at once."""

from __future__ import annotations

import asyncio
from time import monotonic

from stand_ins.case import Case
from stand_ins.case import run_case
from stand_ins.client import Client
from stand_ins.deployment import ENGINE_SERVICE
from stand_ins.deployment import PATH_DRAFT
from stand_ins.entry_process import MEMORY_MB
from stand_ins.replica import Replica

REPLICAS = 9
# Drafts in the zone pl-north on the day quiet-1: 18.8 of 111 of its 22.1
# requests a second.
DRAFTS_PER_S = 3.74
# The configuration allows 4,194,304.
BODY_BYTES = 1_600_000
# Channels that the clients of the zone keep open.
CHANNELS = 40
CALM_S = 10.0
# Factors and lengths of the bursts of quiet-1, and the calm after them.
BURSTS = ((1.8, 5.0, 5.0), (2.2, 2.5, 8.0))
# Time until the first token of a draft of about 54,000 tokens.
PREFILL_S = 1.3
DEADLINE_MS = 15_000
# Channels that may be closed without an answer by the rule.
ALLOWED_LOSSES = 3


class Clients:
    """Clients of one zone that keep their channels for many requests."""

    def __init__(self, case: Case, port: int) -> None:
        self.lost: list[str] = []
        self._case = case
        self._port = port
        self._idle: list[Client] = []
        self._body = b"x" * BODY_BYTES
        self._tasks: set[asyncio.Task[None]] = set()

    async def async_send(self, per_s: float, for_s: float) -> None:
        """Send requests at a rate."""
        until_s = monotonic() + for_s
        while monotonic() < until_s:
            task = asyncio.create_task(self._async_send_one())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(1 / per_s)

    async def async_open(self) -> None:
        """Open the channels; each one carries a small request first."""
        clients = [
            Client(self._port, self._case.record) for _ in range(CHANNELS)
        ]
        await asyncio.gather(
            *(
                client.async_send(
                    "POST",
                    f"{PATH_DRAFT}quote",
                    deadline_ms=DEADLINE_MS,
                    headers="X-Model: m\r\nX-Token-Count: 100,6\r\n",
                    body=b"hello",
                )
                for client in clients
            )
        )
        self._idle.extend(clients)

    async def async_wait(self) -> None:
        """Wait for the answers to all requests."""
        await asyncio.gather(*self._tasks)

    async def _async_send_one(self) -> None:
        client = (
            self._idle.pop()
            if self._idle
            else Client(self._port, self._case.record)
        )
        is_kept = client.is_open
        request_id, answer = await client.async_send(
            "POST",
            f"{PATH_DRAFT}quote",
            deadline_ms=DEADLINE_MS,
            headers="X-Model: m\r\nX-Token-Count: 54000,60\r\n",
            body=self._body,
        )
        has_run = any(
            request_id in replica.runs for replica in self._case.replicas
        )
        if answer.error and is_kept and has_run and not answer.status:
            self.lost.append(request_id)
            self._case.record.write(
                "LOST: closed without an answer, after it was passed on",
                id=request_id,
                error=answer.error,
            )
        if client.is_open:
            self._idle.append(client)


async def async_check(case: Case) -> bool:
    """Return whether LOST was broken."""
    entry = await case.async_start(
        [
            Replica(
                f"i-{number}",
                ENGINE_SERVICE,
                case.record,
                slots=11,
                is_engine=True,
                prefill_s=PREFILL_S,
            )
            for number in range(REPLICAS)
        ],
        memory_mb=MEMORY_MB,
    )
    clients = Clients(case, entry.front_port)
    await clients.async_open()
    await clients.async_send(DRAFTS_PER_S, CALM_S)
    case.record.write("calm", peak_mb=f"{entry.peak_mb:.0f}")
    for burst_factor, for_s, calm_s in BURSTS:
        factor = burst_factor if case.trouble else 1.0
        case.record.write("burst begins", factor=factor)
        await clients.async_send(DRAFTS_PER_S * factor, for_s)
        case.record.write("burst ends", peak_mb=f"{entry.peak_mb:.0f}")
        await clients.async_send(DRAFTS_PER_S, calm_s)
    await clients.async_wait()
    case.record.write(
        "result",
        ends=len(entry.ends),
        reasons=[reason for _, reason in entry.ends],
        peak_mb=f"{entry.peak_mb:.0f}",
        lost=len(clients.lost),
    )
    return len(clients.lost) > ALLOWED_LOSSES


if __name__ == "__main__":
    run_case(__file__, async_check)
