"""Estimators of output lengths and of an engine's rates."""

from __future__ import annotations

from collections import OrderedDict
import math
from typing import Final

DEFAULT_OUTPUT_TOKENS: Final = 128
# Weight of a class's mean, in samples, relative to a customer's own history.
PRIOR_SAMPLES: Final = 4.0
# A moving mean covers about this many of the latest samples.
HISTORY_SAMPLES: Final = 64
# Sized for 15 models and 1,700 customers with a few classes each. The history
# that was not updated for the longest time is evicted first.
MAX_HISTORIES: Final = 20_000

DEFAULT_PREFILL_TOKENS_PER_S: Final = 4000.0
DEFAULT_INTER_TOKEN_S: Final = 0.04
# Time constant with which the rates follow a change of speed.
RATE_TIME_CONSTANT_S: Final = 1.0
# Time constant of the fit of step time to batch size and of the long-term step
# time. Both change only with the hardware or the version.
LONG_TERM_TIME_CONSTANT_S: Final = 30.0
# Decode steps slower than in the long term by this factor mean that the engine
# is slow; prefills between the steps slow them by less.
SLOWDOWN_FACTOR: Final = 4.0
# Batch size at which a step takes twice as long as at an empty batch.
DEFAULT_HALF_BATCH: Final = 32.0
MIN_HALF_BATCH: Final = 4.0
MAX_HALF_BATCH: Final = 512.0


class _MovingMean:
    """Moving mean of about the last HISTORY_SAMPLES samples."""

    __slots__ = ("count", "mean")

    def __init__(self) -> None:
        self.count = 0
        self.mean = 0.0

    def add(self, value: float) -> None:
        self.count = min(self.count + 1, HISTORY_SAMPLES)
        self.mean += (value - self.mean) / self.count


class OutputLengthPredictor:
    """Predict the output length from the history of a customer and class.

    The less history a customer has, the closer the prediction is to the mean
    of the class.
    """

    def __init__(self, default_tokens: int = DEFAULT_OUTPUT_TOKENS) -> None:
        self._default_tokens = default_tokens
        self._class_means: dict[str, _MovingMean] = {}
        self._customer_means: OrderedDict[tuple[str, str], _MovingMean] = (
            OrderedDict()
        )

    def predict(self, customer: str, request_class: str) -> int:
        """Return the expected output length in tokens, at least 1."""
        class_mean = self._class_means.get(request_class)
        expected = float(self._default_tokens)
        if class_mean is not None:
            expected += (class_mean.mean - expected) * (
                class_mean.count / (class_mean.count + 1.0)
            )
        customer_mean = self._customer_means.get((customer, request_class))
        if customer_mean is not None:
            expected += (customer_mean.mean - expected) * (
                customer_mean.count / (customer_mean.count + PRIOR_SAMPLES)
            )
        return max(1, round(expected))

    def record(
        self, customer: str, request_class: str, output_tokens: int
    ) -> None:
        """Record the output length of a finished request."""
        self._class_means.setdefault(request_class, _MovingMean()).add(
            output_tokens
        )
        key = (customer, request_class)
        self._customer_means.setdefault(key, _MovingMean()).add(output_tokens)
        self._customer_means.move_to_end(key)
        if len(self._customer_means) > MAX_HISTORIES:
            self._customer_means.popitem(last=False)


class ServerRateEstimator:
    """Estimate an engine's prefill and decode rates for its agent.

    The time of a decode step is modelled as slope * (half batch + running),
    so that steps measured at a small batch also give the rate at the batch
    limit.
    """

    def __init__(
        self,
        prefill_tokens_per_s: float = DEFAULT_PREFILL_TOKENS_PER_S,
        inter_token_s: float = DEFAULT_INTER_TOKEN_S,
    ) -> None:
        self._prefill_tokens_per_s = prefill_tokens_per_s
        self._half_batch = DEFAULT_HALF_BATCH
        # Step time divided by (half batch + running).
        self._slope_s = inter_token_s / (self._half_batch + 1.0)
        self._long_term_slope_s = self._slope_s
        self._last_decode_s: float | None = None
        # Decayed sums of the linear fit: x is the number of running requests
        # and y the step time.
        self._weight = 0.0
        self._sum_x = self._sum_y = self._sum_xx = self._sum_xy = 0.0

    @property
    def prefill_tokens_per_s(self) -> float:
        """Return the prompt tokens per second.

        Prefills are much rarer than decode steps, so when the steps have
        become much slower, the prefill rate is reduced by the same factor.
        """
        slowdown = self._slope_s / self._long_term_slope_s
        if slowdown < SLOWDOWN_FACTOR:
            return self._prefill_tokens_per_s
        return self._prefill_tokens_per_s / slowdown

    def record_prefill(self, tokens: int, duration_s: float) -> None:
        """Record the prefill of tokens that were not cached."""
        if tokens < 16 or duration_s <= 0.0:
            return
        # The mean is of seconds per token, so that slow prefills count by the
        # time they took. Short prompts weigh less, as their time is mostly
        # overhead.
        weight = 0.2 * min(1.0, tokens / 256)
        per_token_s = 1.0 / self._prefill_tokens_per_s
        per_token_s += weight * (duration_s / tokens - per_token_s)
        self._prefill_tokens_per_s = 1.0 / per_token_s

    def record_decode(
        self, running: int, inter_token_s: float, now_s: float
    ) -> None:
        """Record a decode step of a number of running requests."""
        if running < 1 or inter_token_s <= 0.0:
            return
        elapsed_s = (
            inter_token_s
            if self._last_decode_s is None
            else max(0.0, now_s - self._last_decode_s)
        )
        self._last_decode_s = now_s
        self._update_half_batch(running, inter_token_s, elapsed_s)
        weight = 1.0 - math.exp(-elapsed_s / RATE_TIME_CONSTANT_S)
        slope_s = inter_token_s / (self._half_batch + running)
        self._slope_s += min(0.5, weight) * (slope_s - self._slope_s)
        weight = 1.0 - math.exp(-elapsed_s / LONG_TERM_TIME_CONSTANT_S)
        self._long_term_slope_s += weight * (slope_s - self._long_term_slope_s)

    def inter_token_s(self, running: int) -> float:
        """Return the expected seconds between tokens at a batch size."""
        return self._slope_s * (self._half_batch + max(1, running))

    def decode_tokens_per_s(self, batch_limit: int) -> float:
        """Return the tokens per second of all requests of a full batch."""
        return max(1, batch_limit) / self.inter_token_s(batch_limit)

    def service_s(
        self, prompt_tokens: int, output_tokens: int, batch_limit: int
    ) -> float:
        """Return the server time, in s, that a request takes."""
        return (
            prompt_tokens / self._prefill_tokens_per_s
            + output_tokens / self.decode_tokens_per_s(batch_limit)
        )

    def _update_half_batch(
        self, running: float, inter_token_s: float, elapsed_s: float
    ) -> None:
        """Update the half batch by a linear fit of step time to batch size."""
        decay = math.exp(-elapsed_s / LONG_TERM_TIME_CONSTANT_S)
        self._weight = self._weight * decay + 1.0
        self._sum_x = self._sum_x * decay + running
        self._sum_y = self._sum_y * decay + inter_token_s
        self._sum_xx = self._sum_xx * decay + running * running
        self._sum_xy = self._sum_xy * decay + running * inter_token_s
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
        previous = self._half_batch
        self._half_batch += 0.05 * (half_batch - previous)
        # Keeps the step time estimated for the present batch size.
        scale = (previous + running) / (self._half_batch + running)
        self._slope_s *= scale
        self._long_term_slope_s *= scale
