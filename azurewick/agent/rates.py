"""Service times of the backend server, learned from its responses."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from azurewick.agent.usage import Usage
from azurewick.models import Offer
from azurewick.routing.estimator import ServerRateEstimator

# With this weight ten responses make up about 90 % of the moving average.
DURATION_SAMPLE_WEIGHT: Final = 0.2
# The duration of shorter outputs is mostly overhead, not decoding.
MIN_OUTPUT_TOKENS: Final = 4


@dataclass(frozen=True, kw_only=True, slots=True)
class ResponseTiming:
    """Times of one response, counted from its dispatch.

    first_byte_s is the time of the first token only if the response was
    streamed. decoding is the number of running requests that had a first
    token when the response ended.
    """

    is_streamed: bool
    first_byte_s: float
    duration_s: float
    decoding: int


class ServerRates:
    """Learned rates of one backend server and the times they predict."""

    def __init__(self) -> None:
        self._engine_rates = ServerRateEstimator()
        self._service_duration_s = 0.0

    @property
    def prefill_tokens_per_s(self) -> float:
        """Return the learned prefill rate of a model engine."""
        return self._engine_rates.prefill_tokens_per_s

    def decode_tokens_per_s(self, batch_limit: int) -> float:
        """Return the total decode rate of a batch of batch_limit requests."""
        return self._engine_rates.decode_tokens_per_s(batch_limit)

    def record_response(
        self, usage: Usage, timing: ResponseTiming, now_s: float
    ) -> float | None:
        """Learn from a model engine's response.

        Returns its mean time between tokens, None when it is too short to
        tell.
        """
        computed = usage.prompt_tokens - usage.cached_tokens
        prefill_s = timing.first_byte_s
        if timing.is_streamed:
            self._engine_rates.record_prefill(computed, prefill_s)
        else:
            prefill_s = computed / self._engine_rates.prefill_tokens_per_s
        decode_s = timing.duration_s - prefill_s
        if usage.output_tokens < MIN_OUTPUT_TOKENS or decode_s <= 0:
            return None
        inter_token_s = decode_s / (usage.output_tokens - 1)
        self._engine_rates.record_decode(timing.decoding, inter_token_s, now_s)
        return inter_token_s

    def record_service_duration(self, duration_s: float) -> None:
        """Learn from a response of a plain service."""
        before_s = self._service_duration_s or duration_s
        self._service_duration_s = before_s + DURATION_SAMPLE_WEIGHT * (
            duration_s - before_s
        )

    def expected_prefill_s(self, offer: Offer) -> float:
        """Return the expected time from the dispatch to the first token."""
        tokens = max(0, offer.prompt_tokens - offer.expected_cached_tokens)
        return tokens / self._engine_rates.prefill_tokens_per_s

    def expected_duration_s(
        self, offer: Offer, batch_limit: int, *, is_model: bool
    ) -> float:
        """Return the expected time from the dispatch to the response's end."""
        if not is_model:
            return self._service_duration_s
        return self.expected_prefill_s(offer) + (
            offer.expected_output_tokens
            * self._engine_rates.inter_token_s(batch_limit)
        )

    def expected_cost_s(
        self, offer: Offer, batch_limit: int, *, is_model: bool
    ) -> float:
        """Return the expected server time of a request.

        Requests run side by side, so this is its share of the server, not
        its duration.
        """
        if not is_model:
            return self._service_duration_s / max(1, batch_limit)
        tokens = max(0, offer.prompt_tokens - offer.expected_cached_tokens)
        return self._engine_rates.service_s(
            tokens, offer.expected_output_tokens, batch_limit
        )
