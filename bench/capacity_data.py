"""Processor time of requests and tokens in gateway and agent."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from statistics import quantiles
from time import perf_counter
from typing import Any

from azurewick.const import HEADER_REQUEST_CLASS
from azurewick.const import PATH_CHAT_COMPLETIONS
from bench.capacity_calls import read_processor_s
from bench.capacity_fit import Fit
from bench.capacity_fit import fit_line
from bench.capacity_fleet import API_KEY
from bench.capacity_fleet import build_configuration
from bench.capacity_fleet import build_listed
from bench.capacity_fleet import build_settings
from bench.capacity_fleet import CLASS
from bench.capacity_fleet import open_fleet
from bench.capacity_fleet import POOL
from bench.capacity_fleet import RealFleet

REQUESTS = (50, 100, 200, 400)
TOKENS = (16, 32, 64, 128)
CONCURRENCY = 16
STREAMS = 64
IDLE_S = 4.0
FIRST_TOKEN_REQUESTS = 60
SHORT_PROMPT_WORDS = 20
LONG_PROMPT_WORDS = 2000
HOPS = ("gateway", "agent", "engine")


@dataclass(kw_only=True, slots=True)
class DataFigures:
    """Points of (requests or tokens, processor seconds) for each hop."""

    by_requests: dict[str, list[tuple[float, float]]] = field(
        default_factory=lambda: {hop: [] for hop in HOPS}
    )
    by_tokens: dict[str, list[tuple[float, float]]] = field(
        default_factory=lambda: {hop: [] for hop in HOPS}
    )
    idle: dict[str, float] = field(default_factory=dict)
    bytes_per_token: float = 0.0
    # Below 1 when a client's read finds several tokens together.
    reads_per_token: float = 0.0
    # Through the gateway over the direct call: median and 95th percentile.
    first_token_ratios: dict[str, tuple[float, float]] = field(
        default_factory=dict
    )

    def request_line(self, hop: str) -> Fit:
        """Return the line of seconds by requests."""
        return fit_line(self.by_requests[hop])

    def token_line(self, hop: str) -> Fit:
        """Return the line of seconds by tokens."""
        return fit_line(self.by_tokens[hop])


class Chain:
    """Gateway, agent and engine in front of which requests are made."""

    def __init__(self, fleet: RealFleet, suffix: str) -> None:
        self._fleet = fleet
        self._names = {hop: f"{hop}-{suffix}" for hop in HOPS}
        self._serial = 0
        self.urls: dict[str, str] = {}

    async def async_start(self, *, control: bool) -> None:
        """Start the processes with or without the control part."""
        fleet = self._fleet
        configuration = build_configuration(3)
        self.urls["engine"] = await fleet.async_start_engine(
            self._names["engine"]
        )
        store_url = "http://127.0.0.1:1"
        if control:
            store_url = await fleet.async_start_store(
                "store", configuration, {}
            )
        gateway = build_settings("gateway", self._names["gateway"], store_url)
        agent = build_settings(
            "agent",
            self._names["agent"],
            store_url,
            pool=POOL,
            kind="model",
            version="v1",
            backend_url=self.urls["engine"],
            max_batch=256,
            initial_batch=256,
            peers=[gateway["control_address"]],
        )
        instances = {
            one["name"]: build_listed(one) for one in (gateway, agent)
        }
        if control:
            await self._async_register(store_url, instances)
        mode = "on" if control else "off"
        for hop, settings in (("gateway", gateway), ("agent", agent)):
            self.urls[hop] = await fleet.async_start_daemon(
                f"{hop}-{mode}",
                {
                    "settings": settings,
                    "configuration": configuration,
                    "instances": instances,
                },
            )

    async def _async_register(
        self, store_url: str, instances: Mapping[str, Any]
    ) -> None:
        for name, spec in instances.items():
            async with self._fleet.session.put(
                f"{store_url}/admin/instances/{name}", json=spec
            ) as response:
                response.raise_for_status()

    def read_s(self) -> dict[str, float]:
        """Return the processor time of each process until now."""
        return {
            hop: read_processor_s(self._fleet.read_pid(name))
            for hop, name in self._names.items()
        }

    async def async_request(
        self, hop: str, tokens: int, words: int
    ) -> tuple[float, int, int]:
        """Stream one answer; return first-token time, bytes and reads."""
        self._serial += 1
        # Each prompt differs from its first word, so that none is cached.
        prompt = " ".join(f"w{self._serial}-{n}" for n in range(words))
        body = {
            "model": "m",
            "stream": True,
            "max_tokens": tokens,
            "messages": [{"role": "user", "content": prompt}],
        }
        headers = {
            "Authorization": f"Bearer {API_KEY}",
            HEADER_REQUEST_CLASS: CLASS,
        }
        started_s = perf_counter()
        first_s, size, reads = 0.0, 0, 0
        async with self._fleet.session.post(
            self.urls[hop] + PATH_CHAT_COMPLETIONS, json=body, headers=headers
        ) as response:
            response.raise_for_status()
            async for data in response.content.iter_any():
                first_s = first_s or perf_counter() - started_s
                size += len(data)
                reads += 1
        return first_s, size, reads

    async def async_burst(
        self, requests: int, concurrency: int, tokens: int
    ) -> tuple[int, int]:
        """Make requests through the gateway; return bytes and reads."""
        slots = asyncio.Semaphore(concurrency)

        async def async_one() -> tuple[int, int]:
            async with slots:
                _, size, reads = await self.async_request(
                    "gateway", tokens, SHORT_PROMPT_WORDS
                )
                return size, reads

        answers = await asyncio.gather(*(async_one() for _ in range(requests)))
        return sum(size for size, _ in answers), sum(n for _, n in answers)


async def async_measure_data() -> dict[str, DataFigures]:
    """Return the figures with the control part on and off."""
    figures = {}
    for mode in ("off", "on"):
        async with open_fleet() as fleet:
            chain = Chain(fleet, mode)
            await chain.async_start(control=mode == "on")
            figures[mode] = await _async_measure_chain(chain)
    return figures


async def _async_measure_chain(chain: Chain) -> DataFigures:
    figures = DataFigures()
    await chain.async_burst(50, CONCURRENCY, 4)
    before = chain.read_s()
    await asyncio.sleep(IDLE_S)
    figures.idle = {
        hop: (end_s - before[hop]) / IDLE_S
        for hop, end_s in chain.read_s().items()
    }
    for requests in REQUESTS:
        await _async_add(chain, figures, requests, CONCURRENCY, 1)
    sizes, reads = [], []
    for tokens in TOKENS:
        size, count = await _async_add(
            chain, figures, STREAMS, STREAMS, tokens
        )
        sizes.append((float(STREAMS * tokens), float(size)))
        reads.append((float(STREAMS * tokens), float(count)))
    figures.bytes_per_token = fit_line(sizes).slope
    figures.reads_per_token = fit_line(reads).slope
    for name, words in (
        ("short", SHORT_PROMPT_WORDS),
        ("long", LONG_PROMPT_WORDS),
    ):
        figures.first_token_ratios[name] = await _async_compare(chain, words)
    return figures


async def _async_add(
    chain: Chain,
    figures: DataFigures,
    requests: int,
    concurrency: int,
    tokens: int,
) -> tuple[int, int]:
    """Add the points of one burst, without what the processes do idle."""
    before, started_s = chain.read_s(), perf_counter()
    answers = await chain.async_burst(requests, concurrency, tokens)
    spent_s = perf_counter() - started_s
    points = figures.by_requests if tokens == 1 else figures.by_tokens
    count = requests if tokens == 1 else requests * tokens
    for hop, end_s in chain.read_s().items():
        busy_s = end_s - before[hop] - figures.idle[hop] * spent_s
        points[hop].append((float(count), busy_s))
    return answers


async def _async_compare(chain: Chain, words: int) -> tuple[float, float]:
    """Return the ratios of first-token times, taken in turns."""
    times: dict[str, list[float]] = {"engine": [], "gateway": []}
    for _ in range(FIRST_TOKEN_REQUESTS):
        for hop, values in times.items():
            first_s, _, _ = await chain.async_request(hop, 2, words)
            values.append(first_s)
    cuts = {hop: quantiles(values, n=20) for hop, values in times.items()}
    return (
        cuts["gateway"][9] / cuts["engine"][9],
        cuts["gateway"][18] / cuts["engine"][18],
    )
