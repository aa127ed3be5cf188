"""Answers to idempotent requests while replicas garble some of them."""

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
GARBLED_SHARE = 0.03
BREAKS_OFF = "breaks off"
ENDLESS = "sends bytes without end"
# What each of the replicas does to the share of its answers.
GARBLES = (BREAKS_OFF, ENDLESS, "")
ENDLESS_BLOCK = b"#" * 65_536
DEADLINE_MS = 2000


def answer_of(request_id: str, replica: str) -> bytes:
    """Return the body that a replica gives to a request."""
    text = f"{request_id} by {replica}. ".encode()
    return (text * (ANSWER_BYTES // len(text) + 1))[:ANSWER_BYTES]


class LookupReplica(Replica):
    """Replica with large answers, of which it garbles a share."""

    def __init__(self, case: Case, name: str, garble: str) -> None:
        super().__init__(
            name, PLAIN_SERVICE, case.record, slots=6, is_engine=False
        )
        self._garble = garble
        self._random = Random(name)

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
        if not self._garble or self._random.random() >= GARBLED_SHARE:
            writer.write(
                head(
                    "200 OK", request_id, body, f"Content-Length: {len(body)}"
                )
                + body
            )
            await writer.drain()
            return
        self._record.write(
            "replica garbles",
            replica=self.name,
            id=request_id,
            how=self._garble,
        )
        if self._garble == ENDLESS:
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
                    "MIXED: complete 200 with a wrong body",
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
    names = {word[:3] for word in body.split() if word.startswith(b"i-")}
    return ",".join(sorted(name.decode() for name in names))


async def async_check(case: Case) -> bool:
    """Return whether MIXED was broken."""
    replicas = [
        LookupReplica(case, f"i-{number}", garble if case.trouble else "")
        for number, garble in enumerate(GARBLES)
    ]
    entry = await case.async_start(replicas)
    wrong = await asyncio.gather(
        *(async_run_client(case, entry.front_port) for _ in range(CLIENTS))
    )
    case.record.write("result", wrong_bodies=sum(wrong))
    return sum(wrong) > 0


if __name__ == "__main__":
    run_case(__file__, async_check)
