"""Workloads of the benchmarks and the jobs drawn from them.

ASSOCIATION and FICELLE are the workloads of two operators of azurewick.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import field
import math
import random
from typing import Final

from azurewick.models import ClassTarget
from azurewick.models import RequestClass
from azurewick.routing.affinity import MAX_PREFIX_HASHES
from azurewick.routing.affinity import prefix_tokens

POOL: Final = "assistant"
FIRST_TOKEN_S: Final = 1.9
INTER_TOKEN_S: Final = 0.079
# Shares of 5 customers, two of them large, in the requests.
CUSTOMER_SHARES: Final = (0.45, 0.3, 0.12, 0.08, 0.05)


@dataclass(frozen=True, kw_only=True, slots=True)
class ClassLoad:
    """Load of a request class.

    share is the class's part of the pool's server time. own_tokens (the part
    of a prompt that no other request has) and output_tokens are median,
    minimum and maximum of a log-normal length. Each prompt begins with the
    shared_tokens of its class. If the class has contexts, such as
    conversations, one of them follows, with a length between the two
    context_tokens.
    """

    request_class: RequestClass
    share: float
    own_tokens: tuple[int, int, int]
    output_tokens: tuple[int, int, int]
    shared_tokens: int = 0
    contexts: int = 0
    context_tokens: tuple[int, int] = (0, 0)


@dataclass(kw_only=True, slots=True)
class Job:
    """Request of the workload with its result.

    needed_tokens are the prompt tokens that have to be computed even with
    one cache for the whole pool. context_tokens include the shared part.
    """

    request_id: str
    arrival_s: float
    gateway: int
    customer: str
    class_load: ClassLoad
    prompt_tokens: int
    output_tokens: int
    context: str
    context_tokens: int
    needed_tokens: int = 0
    first_token_s: float | None = None
    finish_s: float | None = None
    computed_tokens: int = 0
    cached_tokens: int = 0
    is_lost: bool = False
    is_shed: bool = False
    prefix_hashes: tuple[str, ...] = field(default=())

    @property
    def tier(self) -> int:
        """Return the tier of the request's class."""
        return self.class_load.request_class.tier

    @property
    def is_good(self) -> bool:
        """Return whether the request met its class target."""
        target = self.class_load.request_class.target
        if self.finish_s is None or self.first_token_s is None:
            return False
        if (
            target.first_token_s is not None
            and self.first_token_s - self.arrival_s > target.first_token_s
        ):
            return False
        if (
            target.completion_s is not None
            and self.finish_s - self.arrival_s > target.completion_s
        ):
            return False
        if target.inter_token_s is None or self.output_tokens < 2:
            return True
        decode_s = self.finish_s - self.first_token_s
        return decode_s / (self.output_tokens - 1) <= target.inter_token_s


def build_request_class(name: str, tier: int, **target: float) -> RequestClass:
    """Return a request class of the model's pool."""
    return RequestClass(
        name=name, pool=POOL, tier=tier, target=ClassTarget(**target)
    )


ASSOCIATION: Final = (
    ClassLoad(
        request_class=build_request_class(
            "condition",
            0,
            first_token_s=FIRST_TOKEN_S,
            inter_token_s=INTER_TOKEN_S,
        ),
        share=0.25,
        own_tokens=(350, 50, 4000),
        output_tokens=(120, 8, 800),
        shared_tokens=700,
    ),
    ClassLoad(
        request_class=build_request_class(
            "catalogue",
            1,
            first_token_s=FIRST_TOKEN_S,
            inter_token_s=INTER_TOKEN_S,
        ),
        share=0.35,
        own_tokens=(80, 10, 1000),
        output_tokens=(60, 4, 400),
        shared_tokens=1400,
    ),
    ClassLoad(
        request_class=build_request_class(
            "draft", 2, first_token_s=10.0, inter_token_s=0.12
        ),
        share=0.4,
        own_tokens=(900, 100, 8000),
        output_tokens=(400, 15, 2000),
        shared_tokens=1000,
        contexts=60,
        context_tokens=(500, 3000),
    ),
)
FICELLE: Final = (
    ClassLoad(
        request_class=build_request_class(
            "gauge",
            0,
            first_token_s=FIRST_TOKEN_S,
            inter_token_s=INTER_TOKEN_S,
        ),
        share=0.25,
        own_tokens=(60, 10, 600),
        output_tokens=(70, 5, 500),
        shared_tokens=900,
    ),
    ClassLoad(
        request_class=build_request_class(
            "quote",
            1,
            first_token_s=8.0,
            inter_token_s=INTER_TOKEN_S,
        ),
        share=0.5,
        own_tokens=(120, 20, 1000),
        output_tokens=(200, 20, 2000),
        shared_tokens=500,
        contexts=40,
        context_tokens=(2000, 7000),
    ),
    ClassLoad(
        request_class=build_request_class("tag", 2, completion_s=20.0),
        share=0.25,
        own_tokens=(150, 10, 2000),
        output_tokens=(8, 1, 40),
        shared_tokens=600,
    ),
)


def draw_length(rng: random.Random, distribution: tuple[int, int, int]) -> int:
    """Draw a log-normal length; distribution is median, minimum, maximum."""
    median, low, high = distribution
    value = median * math.exp(rng.gauss(0.0, 0.9))
    return int(min(high, max(low, value)))


def set_needed_tokens(jobs: list[Job], cache_tokens: int) -> None:
    """Set needed_tokens of each job.

    They are the prompt tokens that a single cache of cache_tokens, the
    memory of the whole pool, would miss.
    """
    cache: OrderedDict[str, int] = OrderedDict()
    used_tokens = 0
    for job in sorted(jobs, key=lambda job: job.arrival_s):
        cached_tokens = 0
        for key, tokens in (
            (
                f"shared/{job.class_load.request_class.name}",
                job.class_load.shared_tokens,
            ),
            (job.context, job.context_tokens),
        ):
            if not tokens:
                continue
            if key in cache:
                cached_tokens = max(cached_tokens, tokens)
            else:
                used_tokens += tokens
            cache[key] = tokens
            cache.move_to_end(key)
        while used_tokens > cache_tokens:
            used_tokens -= cache.popitem(last=False)[1]
        job.needed_tokens = job.prompt_tokens - cached_tokens


class JobFactory:
    """Draws the jobs of a workload; a seed always gives the same jobs."""

    def __init__(
        self, loads: tuple[ClassLoad, ...], gateways: int, seed: int
    ) -> None:
        self._loads = loads
        self._gateways = gateways
        self._random = random.Random(f"workload-{seed}")
        self._context_tokens: dict[str, list[int]] = {}
        self._count = 0
        for load in loads:
            self._context_tokens[load.request_class.name] = [
                self._random.randint(*load.context_tokens)
                for _ in range(load.contexts)
            ]
        self._customers = [f"c{i}" for i in range(len(CUSTOMER_SHARES))]

    def build(self, load: ClassLoad, arrival_s: float) -> Job:
        """Return a job of a class that arrives at a time."""
        rng = self._random
        self._count += 1
        name = load.request_class.name
        context, context_tokens = "", 0
        contexts = self._context_tokens[name]
        if contexts:
            # The square makes low indices, the popular contexts, more likely.
            index = int(len(contexts) * rng.random() ** 2)
            context = f"{name}/{index}"
            context_tokens = load.shared_tokens + contexts[index]
        prompt = max(load.shared_tokens, context_tokens) + draw_length(
            rng, load.own_tokens
        )
        job = Job(
            request_id=f"r{self._count}",
            arrival_s=arrival_s,
            gateway=rng.randrange(self._gateways),
            customer=rng.choices(self._customers, CUSTOMER_SHARES)[0],
            class_load=load,
            prompt_tokens=prompt,
            output_tokens=draw_length(rng, load.output_tokens),
            context=context,
            context_tokens=context_tokens,
        )
        job.prefix_hashes = _build_prefix_hashes(job)
        return job

    def mean_service_s(
        self,
        load: ClassLoad,
        prefill_tokens_per_s: float,
        decode_tokens_per_s: float,
    ) -> float:
        """Return the mean server time of a request of a class.

        The shared part and the context of prompts are not counted.
        """
        rng = random.Random(1)
        samples = 400
        total_s = 0.0
        for _ in range(samples):
            total_s += draw_length(rng, load.own_tokens) / prefill_tokens_per_s
            total_s += (
                draw_length(rng, load.output_tokens) / decode_tokens_per_s
            )
        return total_s / samples

    def build_arrivals(
        self, load: ClassLoad, rate_per_s: float, start_s: float, end_s: float
    ) -> list[Job]:
        """Return the jobs of a class that arrive as a Poisson process."""
        jobs = []
        time_s = start_s + self._random.expovariate(rate_per_s)
        while time_s < end_s:
            jobs.append(self.build(load, time_s))
            time_s += self._random.expovariate(rate_per_s)
        return jobs


def _build_prefix_hashes(job: Job) -> tuple[str, ...]:
    """Return placeholders for the prefix hashes that a gateway computes.

    Two prompts have the same placeholder at a depth if they have the same
    tokens up to there, as with real hashes.
    """
    name = job.class_load.request_class.name
    hashes = []
    for depth in range(MAX_PREFIX_HASHES):
        tokens = prefix_tokens(depth)
        if tokens > job.prompt_tokens:
            break
        if tokens <= job.class_load.shared_tokens:
            owner = name
        elif tokens <= job.context_tokens:
            owner = job.context
        else:
            owner = job.request_id
        hashes.append(f"{owner}:{depth}")
    return tuple(hashes)
