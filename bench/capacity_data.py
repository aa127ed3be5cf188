"""Processor time of a request and of an output token, by process.

Streams model answers through real gateway, agent and engine processes and
fits the processor time of each to the number of requests and of tokens.
"""

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
from bench.capacity_fleet import build_instance_spec
from bench.capacity_fleet import build_settings
from bench.capacity_fleet import open_fleet
from bench.capacity_fleet import POOL
from bench.capacity_fleet import ProcessFleet
from bench.capacity_fleet import REQUEST_CLASS

# Requests of one token each, in each burst.
REQUEST_COUNTS = (50, 100, 200, 400)
# Output tokens of each of CONCURRENT_STREAMS requests, in each burst.
TOKENS_PER_STREAM = (16, 32, 64, 128)
CONCURRENT_REQUESTS = 16
CONCURRENT_STREAMS = 64
IDLE_WINDOW_S = 4.0
FIRST_TOKEN_REQUESTS = 60
SHORT_PROMPT_WORDS = 20
LONG_PROMPT_WORDS = 2000
HOPS = ("gateway", "agent", "engine")


@dataclass(kw_only=True, slots=True)
class DataFigures:
    """Figures of one run, by hop: gateway, agent and engine.

    by_requests and by_tokens have points of (requests or tokens, processor
    seconds); idle_shares is the share of a core without requests.
    """

    by_requests: dict[str, list[tuple[float, float]]] = field(
        default_factory=lambda: {hop: [] for hop in HOPS}
    )
    by_tokens: dict[str, list[tuple[float, float]]] = field(
        default_factory=lambda: {hop: [] for hop in HOPS}
    )
    idle_shares: dict[str, float] = field(default_factory=dict)
    bytes_per_token: float = 0.0
    # Below 1 when the client receives several tokens in one read.
    reads_per_token: float = 0.0
    # Time to first token through the gateway, divided by the time of a direct
    # call of the engine: medians and 95th percentiles.
    first_token_ratios: dict[str, tuple[float, float]] = field(
        default_factory=dict
    )

    def fit_request_cost(self, hop: str) -> Fit:
        """Return the fit of processor seconds by requests."""
        return fit_line(self.by_requests[hop])

    def fit_token_cost(self, hop: str) -> Fit:
        """Return the fit of processor seconds by output tokens."""
        return fit_line(self.by_tokens[hop])


class ServingPath:
    """Gateway, agent and engine processes, and a client that calls them."""

    def __init__(self, fleet: ProcessFleet, suffix: str) -> None:
        self._fleet = fleet
        self._process_names = {hop: f"{hop}-{suffix}" for hop in HOPS}
        self._request_number = 0
        self.urls: dict[str, str] = {}

    async def async_start(self, *, with_control_plane: bool) -> None:
        """Start the processes with or without the control plane."""
        fleet = self._fleet
        configuration = build_configuration(3)
        self.urls["engine"] = await fleet.async_start_engine(
            self._process_names["engine"]
        )
        store_url = "http://127.0.0.1:1"
        if with_control_plane:
            store_url = await fleet.async_start_store(
                "store", configuration, {}
            )
        gateway = build_settings(
            "gateway", self._process_names["gateway"], store_url
        )
        agent = build_settings(
            "agent",
            self._process_names["agent"],
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
            settings["name"]: build_instance_spec(settings)
            for settings in (gateway, agent)
        }
        if with_control_plane:
            await self._async_register_instances(store_url, instances)
        mode = "on" if with_control_plane else "off"
        for hop, settings in (("gateway", gateway), ("agent", agent)):
            self.urls[hop] = await fleet.async_start_daemon(
                f"{hop}-{mode}",
                {
                    "settings": settings,
                    "configuration": configuration,
                    "instances": instances,
                },
            )

    async def _async_register_instances(
        self, store_url: str, instances: Mapping[str, Any]
    ) -> None:
        for name, spec in instances.items():
            async with self._fleet.session.put(
                f"{store_url}/admin/instances/{name}", json=spec
            ) as response:
                response.raise_for_status()

    def read_processor_times_s(self) -> dict[str, float]:
        """Return the processor time of each process since its start."""
        return {
            hop: read_processor_s(self._fleet.read_pid(name))
            for hop, name in self._process_names.items()
        }

    async def async_request(
        self, hop: str, tokens: int, words: int
    ) -> tuple[float, int, int]:
        """Stream one answer from a hop.

        Returns the seconds to the first token, the bytes and the reads.
        """
        self._request_number += 1
        # Prompts differ from the first word on, so that no prefix of them is
        # in the cache of the engine.
        prompt = " ".join(f"w{self._request_number}-{n}" for n in range(words))
        body = {
            "model": "m",
            "stream": True,
            "max_tokens": tokens,
            "messages": [{"role": "user", "content": prompt}],
        }
        headers = {
            "Authorization": f"Bearer {API_KEY}",
            HEADER_REQUEST_CLASS: REQUEST_CLASS,
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
        """Stream answers through the gateway; return bytes and reads."""
        slots = asyncio.Semaphore(concurrency)

        async def async_send_one() -> tuple[int, int]:
            async with slots:
                _, size, reads = await self.async_request(
                    "gateway", tokens, SHORT_PROMPT_WORDS
                )
                return size, reads

        answers = await asyncio.gather(
            *(async_send_one() for _ in range(requests))
        )
        return sum(size for size, _ in answers), sum(n for _, n in answers)


async def async_measure_data() -> dict[str, DataFigures]:
    """Return the figures with the control plane on and off."""
    figures = {}
    for mode in ("off", "on"):
        async with open_fleet() as fleet:
            path = ServingPath(fleet, mode)
            await path.async_start(with_control_plane=mode == "on")
            figures[mode] = await _async_measure_path(path)
    return figures


async def _async_measure_path(path: ServingPath) -> DataFigures:
    figures = DataFigures()
    await path.async_burst(50, CONCURRENT_REQUESTS, 4)
    before = path.read_processor_times_s()
    await asyncio.sleep(IDLE_WINDOW_S)
    figures.idle_shares = {
        hop: (end_s - before[hop]) / IDLE_WINDOW_S
        for hop, end_s in path.read_processor_times_s().items()
    }
    for requests in REQUEST_COUNTS:
        await _async_measure_burst(
            path, figures, requests, CONCURRENT_REQUESTS, 1
        )
    sizes, reads = [], []
    for tokens in TOKENS_PER_STREAM:
        size, count = await _async_measure_burst(
            path, figures, CONCURRENT_STREAMS, CONCURRENT_STREAMS, tokens
        )
        sizes.append((float(CONCURRENT_STREAMS * tokens), float(size)))
        reads.append((float(CONCURRENT_STREAMS * tokens), float(count)))
    figures.bytes_per_token = fit_line(sizes).slope
    figures.reads_per_token = fit_line(reads).slope
    for name, words in (
        ("short", SHORT_PROMPT_WORDS),
        ("long", LONG_PROMPT_WORDS),
    ):
        figures.first_token_ratios[name] = await _async_compare_first_token(
            path, words
        )
    return figures


async def _async_measure_burst(
    path: ServingPath,
    figures: DataFigures,
    requests: int,
    concurrency: int,
    tokens: int,
) -> tuple[int, int]:
    """Run one burst and add its points; return its bytes and reads.

    The processor time that each process uses when idle is subtracted.
    """
    before, started_s = path.read_processor_times_s(), perf_counter()
    answers = await path.async_burst(requests, concurrency, tokens)
    spent_s = perf_counter() - started_s
    points = figures.by_requests if tokens == 1 else figures.by_tokens
    count = requests if tokens == 1 else requests * tokens
    for hop, end_s in path.read_processor_times_s().items():
        busy_s = end_s - before[hop] - figures.idle_shares[hop] * spent_s
        points[hop].append((float(count), busy_s))
    return answers


async def _async_compare_first_token(
    path: ServingPath, words: int
) -> tuple[float, float]:
    """Return the ratios of times to first token: median and 95th percentile.

    Direct calls of the engine and calls of the gateway alternate.
    """
    times: dict[str, list[float]] = {"engine": [], "gateway": []}
    for _ in range(FIRST_TOKEN_REQUESTS):
        for hop, values in times.items():
            first_s, _, _ = await path.async_request(hop, 2, words)
            values.append(first_s)
    percentiles = {
        hop: quantiles(values, n=20) for hop, values in times.items()
    }
    return (
        percentiles["gateway"][9] / percentiles["engine"][9],
        percentiles["gateway"][18] / percentiles["engine"][18],
    )
