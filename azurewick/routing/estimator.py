"""Estimates learned from finished work."""

from __future__ import annotations

from collections import OrderedDict
import math
from typing import Final

DEFAULT_OUTPUT_TOKENS: Final = 128
# Weight, in samples, of a class's mean against a customer's own history.
PRIOR_SAMPLES: Final = 4.0
# The mean follows about the last 64 requests of a customer and class.
HISTORY_SAMPLES: Final = 64
# 15 models, 1,700 customers and a few classes each; the oldest go first.
MAX_HISTORIES: Final = 20_000

DEFAULT_PREFILL_TOKENS_PER_S: Final = 4000.0
DEFAULT_INTER_TOKEN_S: Final = 0.04
# A rate follows a change of speed within about this time.
RATE_TIME_CONSTANT_S: Final = 1.0
# The relation between batch size and step time changes only with the
# hardware or the version, so it is learned over a longer time.
SHAPE_TIME_CONSTANT_S: Final = 30.0
# Steps slower than usual by this factor are not explained by the prefills
# between them.
SLOWDOWN_FACTOR: Final = 4.0
# Batch size at which a step takes twice as long as an empty one.
DEFAULT_HALF_BATCH: Final = 32.0
MIN_HALF_BATCH: Final = 4.0
MAX_HALF_BATCH: Final = 512.0


class _Mean:
    """Mean that forgets old samples."""

    __slots__ = ("count", "mean")

    def __init__(self) -> None:
        self.count = 0
        self.mean = 0.0

    def add(self, value: float) -> None:
        self.count = min(self.count + 1, HISTORY_SAMPLES)
        self.mean += (value - self.mean) / self.count


class OutputLengthPredictor:
    """Predict the output length from the history of a customer and class.

    A customer with little history is predicted near the mean of the class.
    """

    def __init__(self, default_tokens: int = DEFAULT_OUTPUT_TOKENS) -> None:
        self._default_tokens = default_tokens
        self._classes: dict[str, _Mean] = {}
        self._customers: OrderedDict[tuple[str, str], _Mean] = OrderedDict()

    def predict(self, customer: str, request_class: str) -> int:
        """Return the expected output length in tokens, at least 1."""
        of_class = self._classes.get(request_class)
        expected = float(self._default_tokens)
        if of_class is not None:
            expected += (of_class.mean - expected) * (
                of_class.count / (of_class.count + 1.0)
            )
        own = self._customers.get((customer, request_class))
        if own is not None:
            expected += (own.mean - expected) * (
                own.count / (own.count + PRIOR_SAMPLES)
            )
        return max(1, round(expected))

    def record(
        self, customer: str, request_class: str, output_tokens: int
    ) -> None:
        """Record the output length of a finished request."""
        self._classes.setdefault(request_class, _Mean()).add(output_tokens)
        key = (customer, request_class)
        self._customers.setdefault(key, _Mean()).add(output_tokens)
        self._customers.move_to_end(key)
        if len(self._customers) > MAX_HISTORIES:
            self._customers.popitem(last=False)


class ServerRateEstimator:
    """Learn an engine's prefill and decode rates; used by its agent.

    The time of a step is taken as a + b * running, so that a rate measured
    at a small batch also tells the rate at the batch limit.
    """

    def __init__(
        self,
        prefill_tokens_per_s: float = DEFAULT_PREFILL_TOKENS_PER_S,
        inter_token_s: float = DEFAULT_INTER_TOKEN_S,
    ) -> None:
        self._prefill_tokens_per_s = prefill_tokens_per_s
        self._half_batch = DEFAULT_HALF_BATCH
        # Step time over (half batch + running).
        self._slope_s = inter_token_s / (self._half_batch + 1.0)
        self._usual_slope_s = self._slope_s
        self._last_decode_s: float | None = None
        self._weight = 0.0
        self._sum_x = self._sum_y = self._sum_xx = self._sum_xy = 0.0

    @property
    def prefill_tokens_per_s(self) -> float:
        """Return the learned prompt tokens a second.

        Prefills are rare against decode steps. When the steps have become
        much slower, so have the prefills.
        """
        slowdown = self._slope_s / self._usual_slope_s
        if slowdown < SLOWDOWN_FACTOR:
            return self._prefill_tokens_per_s
        return self._prefill_tokens_per_s / slowdown

    def record_prefill(self, tokens: int, duration_s: float) -> None:
        """Record the prefill of tokens that no cache held."""
        if tokens < 16 or duration_s <= 0.0:
            return
        # The mean is taken of seconds per token: slow prefills must count
        # by the time they took. Short prompts carry mostly overhead.
        weight = 0.2 * min(1.0, tokens / 256)
        per_token_s = 1.0 / self._prefill_tokens_per_s
        per_token_s += weight * (duration_s / tokens - per_token_s)
        self._prefill_tokens_per_s = 1.0 / per_token_s

    def record_decode(
        self, running: int, inter_token_s: float, now_s: float
    ) -> None:
        """Record the time between tokens at a number of running requests."""
        if running < 1 or inter_token_s <= 0.0:
            return
        elapsed_s = (
            inter_token_s
            if self._last_decode_s is None
            else max(0.0, now_s - self._last_decode_s)
        )
        self._last_decode_s = now_s
        self._learn_shape(running, inter_token_s, elapsed_s)
        weight = 1.0 - math.exp(-elapsed_s / RATE_TIME_CONSTANT_S)
        slope_s = inter_token_s / (self._half_batch + running)
        self._slope_s += min(0.5, weight) * (slope_s - self._slope_s)
        weight = 1.0 - math.exp(-elapsed_s / SHAPE_TIME_CONSTANT_S)
        self._usual_slope_s += weight * (slope_s - self._usual_slope_s)

    def inter_token_s(self, running: int) -> float:
        """Return the expected time between tokens at a batch size."""
        return self._slope_s * (self._half_batch + max(1, running))

    def decode_tokens_per_s(self, batch_limit: int) -> float:
        """Return the tokens a second of all requests of a full batch."""
        return max(1, batch_limit) / self.inter_token_s(batch_limit)

    def service_s(
        self, prompt_tokens: int, output_tokens: int, batch_limit: int
    ) -> float:
        """Return the share of the server's time that a request takes."""
        return (
            prompt_tokens / self._prefill_tokens_per_s
            + output_tokens / self.decode_tokens_per_s(batch_limit)
        )

    def _learn_shape(self, x: float, y: float, elapsed_s: float) -> None:
        keep = math.exp(-elapsed_s / SHAPE_TIME_CONSTANT_S)
        self._weight = self._weight * keep + 1.0
        self._sum_x = self._sum_x * keep + x
        self._sum_y = self._sum_y * keep + y
        self._sum_xx = self._sum_xx * keep + x * x
        self._sum_xy = self._sum_xy * keep + x * y
        mean_x = self._sum_x / self._weight
        mean_y = self._sum_y / self._weight
        variance = self._sum_xx / self._weight - mean_x * mean_x
        if self._weight < 20.0 or variance < 4.0:
            return
        slope = (self._sum_xy / self._weight - mean_x * mean_y) / variance
        if slope <= 0.0:
            return
        half_batch = mean_y / slope - mean_x
        half_batch = min(MAX_HALF_BATCH, max(MIN_HALF_BATCH, half_batch))
        before = self._half_batch
        self._half_batch += 0.05 * (half_batch - before)
        # Keep the estimate at the present batch size unchanged.
        change = (before + x) / (self._half_batch + x)
        self._slope_s *= change
        self._usual_slope_s *= change
