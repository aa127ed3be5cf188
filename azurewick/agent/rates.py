"""Service times of the backend server, learned from finished answers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from azurewick.agent.usage import Usage
from azurewick.models import Offer
from azurewick.routing.estimator import ServerRateEstimator

# About ten answers of a plain service replace most of the estimate.
DURATION_WEIGHT: Final = 0.2
# Shorter outputs measure overheads more than the time between tokens.
MIN_OUTPUT_TOKENS: Final = 4


@dataclass(frozen=True, kw_only=True, slots=True)
class AnswerTiming:
    """Times of one answer, counted from its dispatch.

    first_byte_s says when the first token came only if the answer was
    streamed. decoding is the number of requests that ran beside it.
    """

    is_streamed: bool
    first_byte_s: float
    duration_s: float
    decoding: int


class ServerRates:
    """Expected times of requests at one backend server."""

    def __init__(self) -> None:
        self._engine = ServerRateEstimator()
        self._service_duration_s = 0.0

    @property
    def prefill_tokens_per_s(self) -> float:
        """Return the learned prefill rate of a model engine."""
        return self._engine.prefill_tokens_per_s

    def decode_tokens_per_s(self, batch_limit: int) -> float:
        """Return the tokens a second of all requests of a full batch."""
        return self._engine.decode_tokens_per_s(batch_limit)

    def record_answer(
        self, usage: Usage, timing: AnswerTiming, now_s: float
    ) -> float | None:
        """Learn from an answer; return its time between tokens, if known."""
        computed = usage.prompt_tokens - usage.cached_tokens
        prefill_s = timing.first_byte_s
        if timing.is_streamed:
            self._engine.record_prefill(computed, prefill_s)
        else:
            prefill_s = computed / self._engine.prefill_tokens_per_s
        decode_s = timing.duration_s - prefill_s
        if usage.output_tokens < MIN_OUTPUT_TOKENS or decode_s <= 0:
            return None
        inter_token_s = decode_s / (usage.output_tokens - 1)
        self._engine.record_decode(timing.decoding, inter_token_s, now_s)
        return inter_token_s

    def record_service_duration(self, duration_s: float) -> None:
        """Learn from an answer of a plain service."""
        before_s = self._service_duration_s or duration_s
        self._service_duration_s = before_s + DURATION_WEIGHT * (
            duration_s - before_s
        )

    def expected_prefill_s(self, offer: Offer) -> float:
        """Return the time until the first token of a request."""
        tokens = max(0, offer.prompt_tokens - offer.expected_cached_tokens)
        return tokens / self._engine.prefill_tokens_per_s

    def expected_duration_s(
        self, offer: Offer, batch_limit: int, *, is_model: bool
    ) -> float:
        """Return the time until the end of the answer."""
        if not is_model:
            return self._service_duration_s
        return self.expected_prefill_s(offer) + (
            offer.expected_output_tokens
            * self._engine.inter_token_s(batch_limit)
        )

    def expected_cost_s(
        self, offer: Offer, batch_limit: int, *, is_model: bool
    ) -> float:
        """Return the share of the server's time that a request takes."""
        if not is_model:
            return self._service_duration_s / max(1, batch_limit)
        tokens = max(0, offer.prompt_tokens - offer.expected_cached_tokens)
        return self._engine.service_s(
            tokens, offer.expected_output_tokens, batch_limit
        )
