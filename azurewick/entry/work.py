"""Estimates of the work of requests and of the slowdown of servers."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace

from azurewick.entry.models import CallerRequest
from azurewick.entry.models import Route

# Nominal engine: time to the first token of an empty prompt, to read one
# prompt token and to make one output token in a full batch. Each server's
# slowdown is learned against it, so that only their proportions matter.
NOMINAL_FIRST_S = 0.06
NOMINAL_PREFILL_S = 0.000008
NOMINAL_OUTPUT_S = 0.0042
# Work of a request to a plain service.
NOMINAL_PLAIN_S = 0.045
# Weight of the newest answer in the learned output lengths.
LENGTH_WEIGHT = 0.05
# A request's value has a fixed part and one that grows with its size, which
# counts an output token as much as ten prompt tokens.
FIXED_VALUE = 0.3
OUTPUT_TOKEN_SIZE = 10
LARGEST_VALUE = 4.0
# Part of the maximum that an answer takes until lengths are learned.
DEFAULT_LENGTH_SHARE = 0.5


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkEstimate:
    """Work of a request in seconds of the nominal engine.

    first_s is the part until the first output token. value is that of the
    request against the mean of its route.
    """

    first_s: float
    total_s: float
    value: float = 1.0


class WorkEstimator:
    """Estimates work from prompt and expected output, learned by route."""

    def __init__(self) -> None:
        # Mean of output tokens over the announced maximum, by route.
        self._length_shares: dict[str, float] = {}
        # Mean size of the requests, by route.
        self._sizes: dict[str, float] = {}

    def estimate(self, route: Route, request: CallerRequest) -> WorkEstimate:
        """Return the work of a request."""
        if not route.has_prompt:
            return WorkEstimate(
                first_s=NOMINAL_PLAIN_S, total_s=NOMINAL_PLAIN_S
            )
        output = request.expected_output_tokens
        if output is None:
            share = self._length_shares.get(route.name, DEFAULT_LENGTH_SHARE)
            output = round(request.output_tokens * share)
        work = measure_work(request, output)
        return replace(work, value=self._value(route, request))

    def longest_s(self, route: Route, request: CallerRequest) -> float:
        """Return the work in seconds if the answer takes its maximum."""
        if not route.has_prompt:
            return NOMINAL_PLAIN_S
        return measure_work(request, request.output_tokens).total_s

    def learn(
        self, route: Route, request: CallerRequest, output_tokens: int
    ) -> None:
        """Take the length of a complete answer."""
        if not request.output_tokens:
            return
        share = min(1.0, output_tokens / request.output_tokens)
        known = self._length_shares.get(route.name, DEFAULT_LENGTH_SHARE)
        self._length_shares[route.name] = known + LENGTH_WEIGHT * (
            share - known
        )

    def _value(self, route: Route, request: CallerRequest) -> float:
        size = request_size(request)
        mean = self._sizes.get(route.name, size)
        mean += LENGTH_WEIGHT * (size - mean)
        self._sizes[route.name] = mean
        if mean <= 0:
            return 1.0
        grown = FIXED_VALUE + (1 - FIXED_VALUE) * size / mean
        return min(LARGEST_VALUE, grown)


def request_size(request: CallerRequest) -> float:
    """Return the size of a request in prompt tokens."""
    prompt = request.input_tokens or 0
    return prompt + OUTPUT_TOKEN_SIZE * request.output_tokens


def measure_work(request: CallerRequest, output_tokens: int) -> WorkEstimate:
    """Return the work of a request with a known length of its answer."""
    first_s = NOMINAL_FIRST_S + (request.input_tokens or 0) * NOMINAL_PREFILL_S
    return WorkEstimate(
        first_s=first_s, total_s=first_s + output_tokens * NOMINAL_OUTPUT_S
    )
