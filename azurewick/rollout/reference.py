"""Latency of the old version, the reference for slow results."""

from __future__ import annotations

from bisect import insort
from collections import deque
from dataclasses import dataclass
from dataclasses import field

from azurewick.rollout.counts import EvidenceKey
from azurewick.routing.models import OfferResult

# A result is slow when it takes longer than SLOW_FACTOR times this quantile of
# the old version's latencies on requests of about the same size.
SLOW_FACTOR = 1.25
SLOW_QUANTILE = 0.8
MIN_REFERENCE_SAMPLES = 20
REFERENCE_SAMPLES = 100
# A result is slow only if it exceeds the quantile by at least this time.
# Smaller differences are scheduling noise of the processes and far below any
# class target: with first tokens within 10 ms, the factor of 1.25 without this
# minimum rolled back a good version.
MIN_SLOWDOWN_S = {"first": 0.05, "inter": 0.005, "whole": 0.05}


@dataclass(slots=True)
class _Samples:
    """Latest latencies of the old version for one kind and size."""

    sorted_values: list[float] = field(default_factory=list)
    recent: deque[float] = field(default_factory=deque)

    def add(self, value: float) -> None:
        insort(self.sorted_values, value)
        self.recent.append(value)
        if len(self.recent) > REFERENCE_SAMPLES:
            self.sorted_values.remove(self.recent.popleft())

    def slow_limit(self, kind: object) -> float | None:
        if len(self.sorted_values) < MIN_REFERENCE_SAMPLES:
            return None
        index = int(SLOW_QUANTILE * (len(self.sorted_values) - 1))
        quantile = self.sorted_values[index]
        min_slowdown = MIN_SLOWDOWN_S[str(kind)]
        return max(SLOW_FACTOR * quantile, quantile + min_slowdown)


class LatencyReference:
    """Latencies of the old version on requests of about the same size.

    Requests are grouped by the power of two of their computed prompt tokens.
    Cached tokens are left out of the size, as a new server starts with an
    empty prefix cache. Answers that arrived as a whole, without a first
    token time, are also grouped by the power of two of their output tokens.
    """

    def __init__(self) -> None:
        self._samples: dict[tuple[object, ...], _Samples] = {}

    def is_slow(
        self, key: EvidenceKey, result: OfferResult, *, record: bool
    ) -> bool:
        """Return whether a result is slow compared to the old version.

        With record, its latencies are added to the reference afterwards.
        """
        is_slow = False
        for measure, value in self._measure(result):
            samples = self._find_samples(key, measure)
            limit = samples.slow_limit(measure[0])
            is_slow |= limit is not None and value > limit
            if record:
                samples.add(value)
        return is_slow

    def is_first_token_late(
        self, key: EvidenceKey, result: OfferResult
    ) -> bool:
        """Return whether a result without a token waited too long for one."""
        computed = max(0, result.prompt_tokens - result.cached_tokens)
        measure = ("first", computed.bit_length())
        limit = self._find_samples(key, measure).slow_limit(measure[0])
        return limit is not None and result.duration_s > limit

    def _find_samples(
        self, key: EvidenceKey, measure: tuple[object, ...]
    ) -> _Samples:
        sample_key = (key.request_class, key.route, *measure)
        return self._samples.setdefault(sample_key, _Samples())

    def _measure(
        self, result: OfferResult
    ) -> list[tuple[tuple[object, ...], float]]:
        computed = max(0, result.prompt_tokens - result.cached_tokens)
        size = computed.bit_length()
        output = result.output_tokens
        first_token_s = result.first_token_s
        if first_token_s is None:
            measure = ("whole", size, output.bit_length())
            return [(measure, result.duration_s)]
        values: list[tuple[tuple[object, ...], float]] = [
            (("first", size), first_token_s)
        ]
        if output > 1:
            inter_token_s = (result.duration_s - first_token_s) / (output - 1)
            values.append((("inter",), inter_token_s))
        return values
