"""Large answers to idempotent requests while replicas break some off."""

from __future__ import annotations

import asyncio
from asyncio import StreamReader
from asyncio import StreamWriter
from hashlib import blake2b
from random import Random

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

CLIENTS = 6
REQUESTS_PER_CLIENT = 40
PAUSE_S = 0.1
ANSWER_BYTES = 600_000
# Largest doses of `garble` in ficelle-lagon: share 0.6 of the replicas, and
# x 0.03 of their answers.
GARBLED_REPLICAS = 2
GARBLED_SHARE = 0.03
DEADLINE_MS = 2000


def answer_of(request_id: str, replica: str) -> bytes:
    """Return the body that a replica gives to a request."""
    text = f"{request_id} by {replica}. ".encode()
    return (text * (ANSWER_BYTES // len(text) + 1))[:ANSWER_BYTES]


class LookupReplica(Replica):
    """Replica with large answers, of which it breaks off a share."""

    def __init__(self, case: Case, name: str, garbled_share: float) -> None:
        super().__init__(
            name, PLAIN_SERVICE, case.record, slots=6, is_engine=False
        )
        self._garbled_share = garbled_share
        self._random = Random(name)

    async def async_run(
        self,
        request: Message,
        request_id: str,
        reader: StreamReader,
        writer: StreamWriter,
    ) -> None:
        """Answer with a body of ANSWER_BYTES, or break it off."""
        self.record_run(request_id)
        await async_work(PLAIN_WORK_S, reader)
        body = answer_of(request_id, self.name)
        writer.write(
            head("200 OK", request_id, body, f"Content-Length: {len(body)}")
        )
        if self._random.random() < self._garbled_share:
            cut = self._random.randrange(len(body))
            self._record.write(
                "replica breaks off",
                replica=self.name,
                id=request_id,
                after=cut,
            )
            writer.write(body[:cut])
            await writer.drain()
            raise ConnectionResetError
        writer.write(body)
        await writer.drain()


async def async_run_client(case: Case, port: int) -> int:
    """Send requests; return how many successes had a wrong body."""
    client = Client(port, case.record)
    wrong = 0
    for _ in range(REQUESTS_PER_CLIENT):
        request_id, answer = await client.async_send(
            "GET", f"{PATH_LOOK}stock", deadline_ms=DEADLINE_MS
        )
        if answer.status == 200 and not answer.error:
            seal = blake2b(answer.body, digest_size=8).hexdigest()
            if seal != answer.headers.get("x-response-seal"):
                wrong += 1
                case.record.write(
                    "MIXED: complete 200 with a body of two replicas",
                    id=request_id,
                    bytes=len(answer.body),
                    seal_of_body=seal,
                    seal_of_answer=answer.headers.get("x-response-seal"),
                    replicas=_replicas_in(answer.body),
                )
        await asyncio.sleep(PAUSE_S)
    client.close()
    return wrong


def _replicas_in(body: bytes) -> str:
    words = body.replace(b".", b"").split()
    return ",".join(sorted({w.decode() for w in words if w[:2] == b"i-"}))


async def async_check(case: Case) -> bool:
    """Return whether MIXED was broken."""
    replicas = [
        LookupReplica(
            case,
            f"i-{number}",
            GARBLED_SHARE if case.trouble and number < GARBLED_REPLICAS else 0,
        )
        for number in range(3)
    ]
    entry = await case.async_start(replicas)
    wrong = await asyncio.gather(
        *(async_run_client(case, entry.front_port) for _ in range(CLIENTS))
    )
    case.record.write("result", wrong_bodies=sum(wrong))
    return sum(wrong) > 0


if __name__ == "__main__":
    run_case(__file__, async_check)
