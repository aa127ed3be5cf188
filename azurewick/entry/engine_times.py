"""Times of model engines, learned by service with a factor by server.

The times of a service are a regression over the answers of all instances.
Only the ratios of the times matter, as the speeds of servers are measured
relative to them; so they are scaled to a reference request.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from logging import getLogger
from math import exp
from math import log

from azurewick.entry.work import EngineTimings
from azurewick.entry.work import NOMINAL_TIMINGS
from azurewick.helpers.log_limit import LogLimit
from azurewick.util.linear_fit import FitSums

_LOGGER = getLogger(__name__)

# Time constant of the measurements of a service. Prompt processing and steps
# depend on the model and the hardware, which change with versions only.
SERVICE_TIME_CONSTANT_S = 120.0
# Unit of prompt lengths, which keeps the regression well-conditioned.
PROMPT_UNIT_TOKENS = 1000.0
# Weight of the nominal times, as a number of answers at each prior point.
PRIOR_WEIGHT = 10.0
PRIOR_PROMPTS = (0.0, 1.0, 8.0)
PRIOR_LOADS = (1.0, 6.0, 12.0)
# Learned times stay within this factor of the nominal ones.
MAX_FACTOR = 8.0
# Reference request, whose time stays the nominal one.
REFERENCE_PROMPT_TOKENS = 1000
REFERENCE_OUTPUT_TOKENS = 150
# Answers with fewer output tokens after the first event give no step time.
MIN_STEP_TOKENS = 20
# Time to the first token is measured only up to this share of the slots:
# beyond, the request may have waited.
MAX_FIRST_LOAD_SHARE = 0.75
# Weight of the newest answer in the factor of a server, and the number of
# answers from which on the factor is used.
FACTOR_WEIGHT = 0.1
MIN_FACTOR_ANSWERS = 3
# Deviations from the expected time beyond this, on the logarithmic scale, come
# from a queue or a server that is slow for a moment.
MAX_DEVIATION = 0.7
MAX_FIRST_DEVIATION = 1.2
# Fits are computed again after this time.
FIT_TTL_S = 2.0
# Peers' sums are used for this long.
PEER_TTL_S = 60.0
# Times are logged when they have changed by this share.
LOGGED_CHANGE = 0.15
MAX_REPORTED_SERVICES = 8
# Sums with less weight aren't reported.
MIN_REPORTED_WEIGHT = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamTimes:
    """Measured times of a stream.

    load is the number of requests at the server. step_tokens are the output
    tokens after the first event, and steps_s the time that they took.
    """

    server: str
    service: str
    slots: int
    load: float
    prompt_tokens: int
    first_s: float
    step_tokens: int
    steps_s: float


class TimeSums:
    """Sums of the regressions of one service.

    first is the time to the first token by the prompt and its square, and
    step the time of a step by the load.
    """

    __slots__ = ("first", "step")

    def __init__(
        self, first: FitSums | None = None, step: FitSums | None = None
    ) -> None:
        self.first = first or FitSums(3)
        self.step = step or FitSums(2)

    def add(self, other: TimeSums) -> None:
        """Add other sums to these."""
        self.first.merge(other.first)
        self.step.merge(other.step)

    def decay(self, factor: float) -> None:
        """Multiply all sums by a factor."""
        self.first.decay(factor)
        self.step.decay(factor)

    def add_first(
        self, prompt_tokens: float, first_s: float, expected_s: float
    ) -> None:
        """Add a time to the first token; errors count relative to it."""
        prompt = prompt_tokens / PROMPT_UNIT_TOKENS
        self.first.add(
            [value / expected_s for value in (1.0, prompt, prompt**2)],
            first_s / expected_s,
        )

    def add_step(self, load: float, step_s: float, expected_s: float) -> None:
        """Add the time of a step."""
        self.step.add(
            [1.0 / expected_s, load / expected_s], step_s / expected_s
        )

    def fit(self) -> EngineTimings:
        """Return the times, at the mean load."""
        prior = _build_prior()
        prior.add(self)
        base, by_prompt, by_pair = prior.first.solve()
        step, growth = prior.step.solve()
        weight, loads = prior.step.matrix[0][:2]
        mean_load = loads / weight
        nominal = NOMINAL_TIMINGS
        growth = min(nominal.output_token_s, max(0.0, growth))
        return _scale(
            EngineTimings(
                first_token_s=_limit(base, nominal.first_token_s),
                prefill_token_s=_limit(
                    by_prompt / PROMPT_UNIT_TOKENS, nominal.prefill_token_s
                ),
                prefill_pair_s=_limit(
                    by_pair / PROMPT_UNIT_TOKENS**2, nominal.prefill_pair_s
                ),
                output_token_s=_limit(
                    step + growth * mean_load, nominal.output_token_s
                ),
                step_growth_s=growth,
                mean_load=mean_load,
            )
        )


class EngineTimes:
    """Times by service, from the measurements of all instances."""

    def __init__(self) -> None:
        self._own: dict[str, TimeSums] = {}
        self._decayed_s = 0.0
        # Logarithm of the factor of a server, and the number of its answers.
        self._factors: dict[str, tuple[float, int]] = {}
        self._peers: dict[str, tuple[Mapping[str, TimeSums], float]] = {}
        self._fits: dict[str, EngineTimings] = {}
        self._fitted_s: float | None = None
        self._logged: dict[str, EngineTimings] = {}
        self._log_limit = LogLimit()

    def timings(self, service: str, now_s: float) -> EngineTimings:
        """Return the times of a service's engines."""
        fitted_s = self._fitted_s
        if fitted_s is None or not 0 <= now_s - fitted_s < FIT_TTL_S:
            self._fit(now_s)
        return self._fits.get(service, NOMINAL_TIMINGS)

    def record(self, times: StreamTimes, now_s: float) -> None:
        """Add the times of a complete stream."""
        if times.step_tokens < MIN_STEP_TOKENS or times.steps_s <= 0:
            return
        timings = self.timings(times.service, now_s)
        step_s = times.steps_s / times.step_tokens
        expected_s = timings.at_load(times.load).output_token_s
        deviation = self._update_factor(times.server, log(step_s / expected_s))
        factor, answers = self._factors[times.server]
        if answers < MIN_FACTOR_ANSWERS or abs(deviation) > MAX_DEVIATION:
            return
        self._decay(now_s)
        sums = self._own.setdefault(times.service, TimeSums())
        sums.add_step(times.load, step_s / exp(factor), expected_s)
        first_s = times.first_s / exp(factor)
        expected_s = timings.first_s(times.prompt_tokens)
        if (
            times.load <= MAX_FIRST_LOAD_SHARE * times.slots
            and first_s > 0
            and abs(log(first_s / expected_s)) <= MAX_FIRST_DEVIATION
        ):
            sums.add_first(times.prompt_tokens, first_s, expected_s)

    def factor(self, server: str) -> float:
        """Return the factor of a server relative to its service."""
        return exp(self._factors.get(server, (0.0, 0))[0])

    def report(self, now_s: float) -> Mapping[str, TimeSums]:
        """Return this instance's sums for the peers."""
        self._decay(now_s)
        known = (
            (service, sums)
            for service, sums in self._own.items()
            if sums.step.weight >= MIN_REPORTED_WEIGHT
        )
        heaviest = sorted(known, key=lambda item: -item[1].step.weight)
        return dict(heaviest[:MAX_REPORTED_SERVICES])

    def record_peer(
        self, name: str, sums: Mapping[str, TimeSums], now_s: float
    ) -> None:
        """Replace the sums of a peer."""
        self._peers[name] = (sums, now_s)

    def forget(self, servers: Iterable[str], peers: Iterable[str]) -> None:
        """Drop what is known about servers and peers that have left."""
        present = set(servers)
        known = set(peers)
        self._factors = {
            name: item
            for name, item in self._factors.items()
            if name in present
        }
        self._peers = {
            name: item for name, item in self._peers.items() if name in known
        }

    def fits(self) -> Mapping[str, EngineTimings]:
        """Return the times of the services that were measured."""
        return self._fits

    def _update_factor(self, server: str, ratio: float) -> float:
        """Update a server's factor; return the deviation from it."""
        factor, answers = self._factors.get(server, (0.0, 0))
        deviation = ratio - factor
        weight = max(FACTOR_WEIGHT, 1.0 / (answers + 1))
        change = min(MAX_DEVIATION, max(-MAX_DEVIATION, deviation))
        self._factors[server] = (factor + weight * change, answers + 1)
        return deviation

    def _fit(self, now_s: float) -> None:
        self._fitted_s = now_s
        self._decay(now_s)
        totals: dict[str, TimeSums] = {}
        fresh = (
            sums
            for sums, received_s in self._peers.values()
            if now_s - received_s < PEER_TTL_S
        )
        for part in (self._own, *fresh):
            for service, sums in part.items():
                totals.setdefault(service, TimeSums()).add(sums)
        self._fits = {}
        for service, sums in totals.items():
            try:
                timings = sums.fit()
            except ValueError as err:
                # Rounded sums of a peer may be inconsistent.
                if self._log_limit.allows(service, now_s):
                    _LOGGER.warning(
                        "no times of the engines of %s: %s", service, err
                    )
                continue
            self._fits[service] = timings
            self._log_change(service, timings)

    def _log_change(self, service: str, timings: EngineTimings) -> None:
        logged = self._logged.get(service, NOMINAL_TIMINGS)
        pairs = (
            (timings.prefill_token_s, logged.prefill_token_s),
            (timings.output_token_s, logged.output_token_s),
        )
        if all(abs(new / old - 1) < LOGGED_CHANGE for new, old in pairs):
            return
        self._logged[service] = timings
        _LOGGER.info(
            "times of engines changed",
            extra={
                "service": service,
                "first_token_ms": round(timings.first_token_s * 1e3, 1),
                "prompt_token_us": round(timings.prefill_token_s * 1e6, 2),
                "step_ms": round(timings.output_token_s * 1e3, 3),
                "step_growth_us": round(timings.step_growth_s * 1e6, 2),
                "mean_load": round(timings.mean_load, 1),
            },
        )

    def _decay(self, now_s: float) -> None:
        passed_s = max(0.0, now_s - self._decayed_s)
        self._decayed_s = max(now_s, self._decayed_s)
        factor = exp(-passed_s / SERVICE_TIME_CONSTANT_S)
        for sums in self._own.values():
            sums.decay(factor)


def encode_times(sums: Mapping[str, TimeSums]) -> dict[str, Sequence[float]]:
    """Return the JSON form of sums by service."""
    return {
        service: [*item.first.to_list(), *item.step.to_list()]
        for service, item in sums.items()
    }


def read_times(parts: Sequence[object]) -> dict[str, TimeSums]:
    """Return the sums in the JSON form; ValueError or TypeError if odd.

    parts is what follows the capacity in a report, nothing in an older one.
    """
    if not parts:
        return {}
    body = parts[0]
    if not isinstance(body, dict):
        raise TypeError("times of engines are not an object")
    sums = {}
    for service, values in list(body.items())[:MAX_REPORTED_SERVICES]:
        if not isinstance(values, list):
            raise TypeError("sums of times are not a list")
        first = FitSums.from_list(3, values[: FitSums.length(3)])
        step = FitSums.from_list(2, values[FitSums.length(3) :])
        sums[service] = TimeSums(first, step)
    return sums


def _build_prior() -> TimeSums:
    """Return sums that yield the nominal times."""
    prior = TimeSums()
    for prompt in PRIOR_PROMPTS:
        expected_s = NOMINAL_TIMINGS.first_s(prompt * PROMPT_UNIT_TOKENS)
        prior.add_first(prompt * PROMPT_UNIT_TOKENS, expected_s, expected_s)
    step_s = NOMINAL_TIMINGS.output_token_s
    for load in PRIOR_LOADS:
        prior.add_step(load, step_s, step_s)
    prior.decay(PRIOR_WEIGHT)
    return prior


def _limit(value: float, nominal: float) -> float:
    return min(nominal * MAX_FACTOR, max(nominal / MAX_FACTOR, value))


def _scale(timings: EngineTimings) -> EngineTimings:
    """Scale times so that the reference request takes the nominal time."""
    nominal_s, learned_s = (
        item.first_s(REFERENCE_PROMPT_TOKENS)
        + REFERENCE_OUTPUT_TOKENS * item.output_token_s
        for item in (NOMINAL_TIMINGS, timings)
    )
    return timings.scaled(nominal_s / learned_s)
