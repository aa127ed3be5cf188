"""Callers that send mixed traffic of three tiers and record the answers."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from hashlib import sha256
import json
from random import Random
from time import monotonic
from typing import Any

from aiohttp import ClientError
from aiohttp import ClientSession
from aiohttp import ClientTimeout

from azurewick.claims.models import make_claim_key
from azurewick.const import HEADER_IDEMPOTENCY_KEY
from azurewick.const import HEADER_REQUEST_CLASS
from azurewick.const import HEADER_REQUEST_ID
from azurewick.const import PATH_CHAT_COMPLETIONS
from azurewick.const import PREFIX_SERVICES
from azurewick.errors import ErrorCode
from azurewick.errors import Outcome
from demo.fleet import API_KEYS
from demo.fleet import CLASS_DEPOSIT
from demo.fleet import CLASS_DRAFT
from demo.fleet import CLASS_QUICK
from demo.fleet import CLASS_TAG
from demo.fleet import POOL_BOOKING

REQUEST_TIMEOUT_S = 20.0
PACE_INTERVAL_S = 0.01
TIERS = {CLASS_QUICK: 0, CLASS_DRAFT: 1, CLASS_TAG: 2, CLASS_DEPOSIT: 0}
FIRST_TOKEN_TARGET_S = {CLASS_QUICK: 1.9}
COMPLETION_TARGET_S = {CLASS_DRAFT: 10.0, CLASS_TAG: 10.0, CLASS_DEPOSIT: 5.0}
MAX_TOKENS = {CLASS_QUICK: 12, CLASS_DRAFT: 30, CLASS_TAG: 4}
# The engines cache whole blocks of 16 words.
PROMPT_WORDS = {CLASS_QUICK: 64, CLASS_DRAFT: 256, CLASS_TAG: 64}
SHARED_PREFIX_SHARE = 0.75
CLASS_CYCLE = (
    CLASS_QUICK,
    CLASS_TAG,
    CLASS_QUICK,
    CLASS_DRAFT,
    CLASS_DEPOSIT,
)


@dataclass(frozen=True, kw_only=True)
class RequestRecord:
    """Answer or failure that a caller got for one attempt of a request.

    is_complete says that the whole answer arrived without an error. code and
    outcome are those of an error, status is 0 without an answer, and
    claim_key and answer are only set for deposits.
    """

    request_class: str
    sent_at_s: float
    duration_s: float
    first_token_s: float | None = None
    status: int = 0
    code: str = ""
    outcome: str = ""
    is_complete: bool = False
    claim_key: str = ""
    request_id: str = ""
    answer: bytes = b""

    @property
    def is_good(self) -> bool:
        """Return whether the answer was complete and within its target."""
        if not self.is_complete:
            return False
        limit_s = FIRST_TOKEN_TARGET_S.get(self.request_class)
        if limit_s is not None:
            return (
                self.first_token_s is not None
                and self.first_token_s <= limit_s
            )
        return self.duration_s <= COMPLETION_TARGET_S[self.request_class]


@dataclass(kw_only=True)
class Callers:
    """Callers of several customers that use all gateways in turn.

    violations counts broken invariants that the callers noticed.
    """

    session: ClientSession
    gateway_urls: list[str]
    random: Random
    request_timeout_s: float = REQUEST_TIMEOUT_S
    # Prefix of the idempotency keys, which differs between groups of callers.
    name: str = "key"
    records: list[RequestRecord] = field(default_factory=list)
    violations: Counter[str] = field(default_factory=Counter)
    # Prompt words that a perfect cache would still miss: each request's own
    # words, and each shared prefix once.
    needed_words: int = 0
    _shared_prefixes: set[str] = field(default_factory=set)
    _seen_keys: set[str] = field(default_factory=set)
    _sent: int = 0
    _tasks: set[asyncio.Task[RequestRecord]] = field(default_factory=set)

    async def async_send_for(
        self,
        duration_s: float,
        rate_per_s: float,
        classes: tuple[str, ...] = CLASS_CYCLE,
        resends: int = 0,
    ) -> None:
        """Send requests at a steady rate without waiting for the answers."""
        started_s = monotonic()
        sent = 0
        while (elapsed_s := monotonic() - started_s) < duration_s:
            while sent < elapsed_s * rate_per_s:
                self.send(classes[self._sent % len(classes)], resends=resends)
                sent += 1
            await asyncio.sleep(PACE_INTERVAL_S)

    def send(
        self, request_class: str, *, resends: int = 0, key: str = ""
    ) -> asyncio.Task[RequestRecord]:
        """Send one request in the background.

        It is sent again up to resends times until its answer is complete.
        """
        self._sent += 1
        number = self._sent
        key = key or f"{self.name}-{number}"
        task = asyncio.create_task(
            self._async_send(request_class, number, key, resends)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def async_wait_answered(self) -> None:
        """Wait for the answers to all requests."""
        while self._tasks:
            await asyncio.gather(*self._tasks)

    async def _async_send(
        self, request_class: str, number: int, key: str, resends: int
    ) -> RequestRecord:
        record = await self._async_attempt(request_class, number, key, 0)
        for attempt in range(1, resends + 1):
            if record.is_complete:
                break
            await asyncio.sleep(0.2 * attempt)
            record = await self._async_attempt(
                request_class, number, key, attempt
            )
        return record

    async def _async_attempt(
        self, request_class: str, number: int, key: str, attempt: int
    ) -> RequestRecord:
        url = self.gateway_urls[(number + attempt) % len(self.gateway_urls)]
        customer = list(API_KEYS)[len(key) % len(API_KEYS)]
        headers = {
            "Authorization": f"Bearer {API_KEYS[customer]}",
            HEADER_REQUEST_CLASS: request_class,
            HEADER_IDEMPOTENCY_KEY: key,
        }
        if request_class == CLASS_DEPOSIT:
            path = f"{PREFIX_SERVICES}{POOL_BOOKING}/deposits"
            body: dict[str, Any] = {"amount": 25, "reference": key}
        else:
            path = PATH_CHAT_COMPLETIONS
            body = self._build_chat(request_class, key, customer)
        claim_key = ""
        if request_class == CLASS_DEPOSIT:
            claim_key = make_claim_key(customer, request_class, key)
        record = await self._async_post(
            url + path, headers, body, request_class, claim_key
        )
        self.records.append(record)
        return record

    def _build_chat(
        self, request_class: str, key: str, customer: str
    ) -> dict[str, Any]:
        words = PROMPT_WORDS[request_class]
        shared = int(words * SHARED_PREFIX_SHARE)
        # Words of about the length of a token: the gateway estimates tokens
        # from bytes, and the fake engine counts words.
        prefix_word = f"{customer[:2]}{TIERS[request_class]}"
        prompt = [f"{prefix_word}{i}" for i in range(shared)]
        if key not in self._seen_keys:
            self._seen_keys.add(key)
            self.needed_words += words - shared
        if prefix_word not in self._shared_prefixes:
            self._shared_prefixes.add(prefix_word)
            self.needed_words += shared
        key_digest = sha256(key.encode()).hexdigest()
        prompt += [
            key_digest[i % 60 : i % 60 + 4] for i in range(words - shared)
        ]
        return {
            "model": "assistant",
            "stream": request_class == CLASS_QUICK,
            "max_tokens": MAX_TOKENS[request_class],
            "messages": [{"role": "user", "content": " ".join(prompt)}],
        }

    async def _async_post(
        self,
        url: str,
        headers: dict[str, str],
        body: dict[str, Any],
        request_class: str,
        claim_key: str,
    ) -> RequestRecord:
        sent_at_s = monotonic()
        first_token_s: float | None = None
        status = 0
        request_id = ""
        data = b""
        is_fully_read = False
        try:
            async with self.session.post(
                url,
                json=body,
                headers=headers,
                timeout=ClientTimeout(total=self.request_timeout_s),
            ) as response:
                status = response.status
                request_id = response.headers.get(HEADER_REQUEST_ID, "")
                async for chunk in response.content.iter_any():
                    if first_token_s is None:
                        first_token_s = monotonic() - sent_at_s
                    data += chunk
            is_fully_read = True
        except (ClientError, TimeoutError):
            pass
        code, outcome = _read_error(status, data)
        is_complete = is_fully_read and status in (200, 201) and not code
        if is_complete and body.get("stream") and b"[DONE]" not in data:
            self.violations["stream ended as whole without its end"] += 1
            is_complete = False
        return RequestRecord(
            request_class=request_class,
            sent_at_s=sent_at_s,
            duration_s=monotonic() - sent_at_s,
            first_token_s=first_token_s,
            status=status,
            code=code,
            outcome=outcome,
            is_complete=is_complete,
            claim_key=claim_key,
            request_id=request_id,
            answer=data if claim_key else b"",
        )


def _read_error(status: int, data: bytes) -> tuple[str, str]:
    if status == 200 and b"event: error" in data:
        return ErrorCode.STREAM_BROKEN, Outcome.UNKNOWN
    if status < 400:
        return "", ""
    try:
        error = json.loads(data)["error"]
        return error["code"], error["outcome"]
    except (ValueError, KeyError, TypeError):
        return f"status {status} of the backend server", ""
