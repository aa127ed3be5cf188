"""Speed of the old version, as the measure of slow results."""

from __future__ import annotations

from bisect import insort
from collections import deque
from dataclasses import dataclass
from dataclasses import field

from azurewick.rollout.counts import EvidenceKey
from azurewick.routing.models import OfferResult

# A result is slow when it takes this much longer than the given quantile of
# the old version on requests of about the same size.
SLOW_FACTOR = 1.25
SLOW_QUANTILE = 0.8
MIN_REFERENCE_SAMPLES = 20
REFERENCE_SAMPLES = 100
# Smaller differences come from the processes' own scheduling and are far
# below any class target, so they don't make a result slow: at a first token
# within 10 ms, a factor of 1.25 rolled back a good version.
MIN_SLOWDOWN_S = {"first": 0.05, "inter": 0.005, "whole": 0.05}


@dataclass(slots=True)
class _Samples:
    ordered: list[float] = field(default_factory=list)
    recent: deque[float] = field(default_factory=deque)

    def add(self, value: float) -> None:
        insort(self.ordered, value)
        self.recent.append(value)
        if len(self.recent) > REFERENCE_SAMPLES:
            self.ordered.remove(self.recent.popleft())

    def limit(self, measure: object) -> float | None:
        if len(self.ordered) < MIN_REFERENCE_SAMPLES:
            return None
        index = int(SLOW_QUANTILE * (len(self.ordered) - 1))
        usual = self.ordered[index]
        slowdown = MIN_SLOWDOWN_S[str(measure)]
        return max(SLOW_FACTOR * usual, usual + slowdown)


class SpeedReference:
    """Speed of the old version on requests of about the same size.

    Sizes are compared by the power of two of the computed prompt tokens, as
    a new server has an empty prefix cache, and for answers that came as a
    whole by that of the output tokens as well.
    """

    def __init__(self) -> None:
        self._samples: dict[tuple[object, ...], _Samples] = {}

    def is_slow(
        self, key: EvidenceKey, result: OfferResult, *, learn: bool
    ) -> bool:
        """Return whether a result is slow, and learn from it if asked."""
        is_slow = False
        for measure, value in self._values(result):
            samples = self._find(key, measure)
            limit = samples.limit(measure[0])
            is_slow |= limit is not None and value > limit
            if learn:
                samples.add(value)
        return is_slow

    def is_late(self, key: EvidenceKey, result: OfferResult) -> bool:
        """Return whether a result without a token waited for it too long."""
        computed = max(0, result.prompt_tokens - result.cached_tokens)
        measure = ("first", computed.bit_length())
        limit = self._find(key, measure).limit(measure[0])
        return limit is not None and result.duration_s > limit

    def _find(self, key: EvidenceKey, measure: tuple[object, ...]) -> _Samples:
        name = (key.request_class, key.route, *measure)
        return self._samples.setdefault(name, _Samples())

    def _values(
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
