"""Estimates of the work and the value of requests."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import replace
from zlib import crc32

from azurewick.entry.models import CallerRequest
from azurewick.entry.models import Route

# Nominal engine: time to the first token with an empty prompt, and per prompt
# token, per pair of prompt tokens and per output token in a full batch. The
# slowdown of each server is measured relative to it, so that only the ratios
# of these times matter.
NOMINAL_FIRST_TOKEN_S = 0.06
NOMINAL_PREFILL_TOKEN_S = 0.000008
NOMINAL_PREFILL_PAIR_S = 2.6e-10
NOMINAL_OUTPUT_TOKEN_S = 0.0042
# Requests that share the steps of the nominal engine, and the part of the time
# to the first token in which it works on the request alone.
NOMINAL_BATCH = 12
NOMINAL_START_S = 0.002
# Lower bound of the time of a step at a low load, as a share of that at the
# mean load.
MIN_STEP_SHARE = 0.2
# Work of a request to a plain service, which has no prompt.
NOMINAL_PLAIN_S = 0.045
# Weight of the newest sample in the moving averages.
AVERAGE_WEIGHT = 0.05
# Value of a request relative to the mean of its route: a fixed share, and the
# rest in proportion to its size. In the size, an output token counts as much
# as ten prompt tokens.
FIXED_VALUE_SHARE = 0.3
OUTPUT_TOKEN_WEIGHT = 10
MAX_VALUE = 4.0
# Share of the requests, drawn by their ids, that are ranked by the mean value
# per work of their route. The own value per work ranks the longest requests of
# a route last, so that under overload they would hardly be served.
MEAN_RANKED_SHARE = 0.35
# Assumed output as a share of its maximum, until answers have been measured.
DEFAULT_OUTPUT_SHARE = 0.5


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineTimings:
    """Times of a service's engines.

    output_token_s is the time of a step at mean_load requests, and
    step_growth_s what a further request adds to it.
    """

    first_token_s: float = NOMINAL_FIRST_TOKEN_S
    prefill_token_s: float = NOMINAL_PREFILL_TOKEN_S
    prefill_pair_s: float = NOMINAL_PREFILL_PAIR_S
    output_token_s: float = NOMINAL_OUTPUT_TOKEN_S
    step_growth_s: float = 0.0
    mean_load: float = 0.0

    def first_s(self, prompt_tokens: float) -> float:
        """Return the time to the first token of a prompt."""
        return (
            self.first_token_s
            + prompt_tokens * self.prefill_token_s
            + prompt_tokens**2 * self.prefill_pair_s
        )

    def at_load(self, load: float) -> EngineTimings:
        """Return the times at a number of requests, 1 at least."""
        if not self.step_growth_s:
            return self
        growth_s = (max(1.0, load) - self.mean_load) * self.step_growth_s
        return replace(
            self,
            output_token_s=max(
                MIN_STEP_SHARE * self.output_token_s,
                self.output_token_s + growth_s,
            ),
        )

    def scaled(self, factor: float) -> EngineTimings:
        """Return the times multiplied by a factor."""
        return EngineTimings(
            first_token_s=self.first_token_s * factor,
            prefill_token_s=self.prefill_token_s * factor,
            prefill_pair_s=self.prefill_pair_s * factor,
            output_token_s=self.output_token_s * factor,
            step_growth_s=self.step_growth_s * factor,
            mean_load=self.mean_load,
        )


NOMINAL_TIMINGS = EngineTimings()


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkEstimate:
    """Work of a request in seconds on the nominal engine.

    first_token_s is the part until the first output token. value is the value
    of the request relative to the mean of its route. engine_s is how long the
    whole engine is busy for it, None for a plain service: all requests in the
    batch wait while a prompt is processed, and share the steps afterwards.
    """

    first_token_s: float
    total_s: float
    value: float = 1.0
    engine_s: float | None = None

    @property
    def cost_s(self) -> float:
        """Return what serving the request costs the other requests."""
        return self.total_s if self.engine_s is None else self.engine_s


class WorkEstimator:
    """Estimates work from the prompt and the expected output.

    Output lengths and request sizes are averaged by route. timings returns
    the times of a service's engines.
    """

    def __init__(
        self,
        timings: Callable[[str], EngineTimings] = lambda _: NOMINAL_TIMINGS,
    ) -> None:
        self._timings = timings
        # Mean ratio of output tokens to their announced maximum, by route.
        self._output_shares: dict[str, float] = {}
        # Mean size of the requests, by route.
        self._mean_sizes: dict[str, float] = {}
        # Mean value per second of work, by route.
        self._mean_urgencies: dict[str, float] = {}

    def estimate(
        self, route: Route, request: CallerRequest, service: str = ""
    ) -> WorkEstimate:
        """Return the expected work of a request to a service."""
        if not route.has_prompt:
            return WorkEstimate(
                first_token_s=NOMINAL_PLAIN_S, total_s=NOMINAL_PLAIN_S
            )
        output = request.expected_output_tokens
        if output is None:
            share = self._output_shares.get(route.name, DEFAULT_OUTPUT_SHARE)
            output = round(request.output_tokens * share)
        work = measure_work(request, output, self._timings(service))
        value = self._value(route, request, output)
        mean_urgency = self._update_mean_urgency(route, value / work.cost_s)
        if _is_ranked_by_mean(request):
            value = mean_urgency * work.cost_s
        return replace(work, value=value)

    def max_work_s(
        self, route: Route, request: CallerRequest, service: str = ""
    ) -> float:
        """Return the work in seconds for the maximum output."""
        if not route.has_prompt:
            return NOMINAL_PLAIN_S
        return measure_work(
            request, request.output_tokens, self._timings(service)
        ).total_s

    def record_output(
        self, route: Route, request: CallerRequest, output_tokens: int
    ) -> None:
        """Update the mean output length by a complete answer."""
        if not request.output_tokens:
            return
        share = min(1.0, output_tokens / request.output_tokens)
        known = self._output_shares.get(route.name, DEFAULT_OUTPUT_SHARE)
        self._output_shares[route.name] = known + AVERAGE_WEIGHT * (
            share - known
        )

    def _update_mean_urgency(self, route: Route, urgency: float) -> float:
        """Add a value per second of work; return the route's mean."""
        mean = self._mean_urgencies.get(route.name, urgency)
        mean += AVERAGE_WEIGHT * (urgency - mean)
        self._mean_urgencies[route.name] = mean
        return mean

    def _value(
        self, route: Route, request: CallerRequest, output_tokens: int
    ) -> float:
        size = request_size(request, output_tokens)
        mean = self._mean_sizes.get(route.name, size)
        mean += AVERAGE_WEIGHT * (size - mean)
        self._mean_sizes[route.name] = mean
        if mean <= 0:
            return 1.0
        value = FIXED_VALUE_SHARE + (1 - FIXED_VALUE_SHARE) * size / mean
        return min(MAX_VALUE, value)


def _is_ranked_by_mean(request: CallerRequest) -> bool:
    drawn = crc32(request.request_id.encode()) / 2**32
    return drawn < MEAN_RANKED_SHARE


def request_size(request: CallerRequest, output_tokens: int) -> float:
    """Return the size of a request in prompt tokens.

    output_tokens is the expected length of the answer: the maximum that the
    request states is often the same for all requests of a route.
    """
    prompt = request.input_tokens or 0
    return prompt + OUTPUT_TOKEN_WEIGHT * output_tokens


def measure_work(
    request: CallerRequest,
    output_tokens: int,
    timings: EngineTimings = NOMINAL_TIMINGS,
) -> WorkEstimate:
    """Return the work of a request for a given number of output tokens."""
    first_token_s = timings.first_s(request.input_tokens or 0)
    output_s = output_tokens * timings.output_token_s
    prefill_s = first_token_s - timings.first_token_s
    return WorkEstimate(
        first_token_s=first_token_s,
        total_s=first_token_s + output_s,
        engine_s=NOMINAL_START_S + prefill_s + output_s / NOMINAL_BATCH,
    )
