"""Answers to idempotent requests while replicas garble some of them."""

from __future__ import annotations

import asyncio
from asyncio import StreamReader
from asyncio import StreamWriter
from hashlib import blake2b
from random import Random
from time import monotonic

from stand_ins.case import Case
from stand_ins.case import run_case
from stand_ins.client import Client
from stand_ins.deployment import PATH_LOOK
from stand_ins.deployment import PLAIN_SERVICE
from stand_ins.http import Message
from stand_ins.replica import async_work
from stand_ins.replica import head
from stand_ins.replica import PLAIN_WORK_S
from stand_ins.replica import Replica

# Lookups of all clients together: as many as the zone pl-north has requests.
REQUESTS_PER_S = 39.5
CLIENTS = 8
ANSWER_BYTES = 600_000
# Dose of `garble` in ficelle-lagon: share 0.35 of the servers, here one of
# three, and x 0.02 of their answers, for 5.5 s. It comes several times.
GARBLED_REPLICA = "i-0"
GARBLED_SHARE = 0.02
GARBLED_FOR_S = 5.5
PAUSE_S = 2.0
TIMES = 5
DEADLINE_MS = 2000
BREAKS_OFF = "breaks off"
ENDLESS = "sends bytes without end"
ENDLESS_BLOCK = b"#" * 65_536
DEADLINE_MS = 2000


def answer_of(request_id: str, replica: str) -> bytes:
    """Return the body that a replica gives to a request."""
    text = f"{request_id} by {replica}. ".encode()
    return (text * (ANSWER_BYTES // len(text) + 1))[:ANSWER_BYTES]


class LookupReplica(Replica):
    """Replica with large answers, of which it garbles a share."""

    def __init__(self, case: Case, name: str) -> None:
        super().__init__(
            name, PLAIN_SERVICE, case.record, slots=6, is_engine=False
        )
        self.garbled_share = 0.0
        self._random = Random()

    async def async_run(
        self,
        request: Message,
        request_id: str,
        reader: StreamReader,
        writer: StreamWriter,
    ) -> None:
        """Answer with a body of ANSWER_BYTES, or garble it."""
        self.record_run(request_id)
        await async_work(PLAIN_WORK_S, reader)
        body = answer_of(request_id, self.name)
        if self._random.random() >= self.garbled_share:
            writer.write(
                head(
                    "200 OK", request_id, body, f"Content-Length: {len(body)}"
                )
                + body
            )
            await writer.drain()
            return
        how = self._random.choice((BREAKS_OFF, ENDLESS))
        self._record.write(
            "replica garbles", replica=self.name, id=request_id, how=how
        )
        if how == ENDLESS:
            writer.write(head("200 OK", request_id, body, "Connection: close"))
            while not reader.at_eof():
                writer.write(ENDLESS_BLOCK)
                await writer.drain()
            raise ConnectionResetError
        writer.write(
            head("200 OK", request_id, body, f"Content-Length: {len(body)}")
            + body[: self._random.randrange(len(body))]
        )
        await writer.drain()
        raise ConnectionResetError


async def async_run_client(
    case: Case, port: int, until_s: float
) -> tuple[int, int]:
    """Send requests; return their number and that of the wrong bodies."""
    client = Client(port, case.record)
    sent = wrong = 0
    next_s = monotonic()
    while next_s < until_s:
        sent += 1
        request_id, answer = await client.async_send(
            "GET", f"{PATH_LOOK}stock", deadline_ms=DEADLINE_MS
        )
        if answer.status == 200 and not answer.error:
            seal = blake2b(answer.body, digest_size=8).hexdigest()
            if seal != answer.headers.get("x-response-seal"):
                wrong += 1
                case.record.write(
                    "MIXED: complete 200 with a wrong body",
                    id=request_id,
                    bytes=len(answer.body),
                    seal_of_body=seal,
                    seal_of_answer=answer.headers.get("x-response-seal"),
                    replicas=_replicas_in(answer.body),
                )
        next_s = max(next_s + CLIENTS / REQUESTS_PER_S, monotonic())
        await asyncio.sleep(next_s - monotonic())
    client.close()
    return sent, wrong


def _replicas_in(body: bytes) -> str:
    names = {word[:3] for word in body.split() if word.startswith(b"i-")}
    return ",".join(sorted(name.decode() for name in names))


async def async_check(case: Case) -> bool:
    """Return whether MIXED was broken."""
    replicas = [LookupReplica(case, f"i-{number}") for number in range(3)]
    entry = await case.async_start(replicas)
    until_s = monotonic() + TIMES * (GARBLED_FOR_S + PAUSE_S)
    clients = [
        asyncio.create_task(async_run_client(case, entry.front_port, until_s))
        for _ in range(CLIENTS)
    ]
    for _ in range(TIMES):
        if case.trouble:
            _garble(replicas, GARBLED_SHARE)
        await asyncio.sleep(GARBLED_FOR_S)
        _garble(replicas, 0.0)
        await asyncio.sleep(PAUSE_S)
    counts = await asyncio.gather(*clients)
    sent, wrong = (sum(column) for column in zip(*counts, strict=True))
    case.record.write("result", requests=sent, wrong_bodies=wrong)
    return wrong > 0


def _garble(replicas: list[LookupReplica], share: float) -> None:
    for replica in replicas:
        if replica.name == GARBLED_REPLICA:
            replica.garbled_share = share


if __name__ == "__main__":
    run_case(__file__, async_check)
