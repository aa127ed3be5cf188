"""Tests of the learned times of engines."""

from __future__ import annotations

from math import exp
from math import log
from random import Random
from statistics import mean
from unittest import TestCase

from azurewick.entry.backends import Backend
from azurewick.entry.engine_times import EngineTimes
from azurewick.entry.engine_times import StreamTimes
from azurewick.entry.engine_times import TimeSums
from azurewick.entry.peers import PeerReport
from azurewick.entry.report_codec import decode_report
from azurewick.entry.report_codec import encode_report
from azurewick.entry.server_learning import ServerLearning
from azurewick.entry.work import EngineTimings
from azurewick.entry.work import NOMINAL_TIMINGS
from azurewick.errors import AzurewickError
from azurewick.util.linear_fit import FitSums
from tests.entry.builders import build_entry
from tests.entry.builders import build_request

FACTORS = {"s1": 0.55, "s2": 0.8, "s3": 1.0, "s4": 1.6, "s5": 2.8}
ENGINE = EngineTimings(
    first_token_s=0.02,
    prefill_token_s=1 / 80_000,
    prefill_pair_s=2e-10,
    output_token_s=0.0033,
    step_growth_s=0.00008,
)


def draw_times(
    random: Random, engine: EngineTimings, pace: float = 1.0
) -> StreamTimes:
    server = random.choice(sorted(FACTORS))
    load = random.randint(1, 12)
    prompt_tokens = int(min(40_000, random.lognormvariate(6.5, 1.2)))
    factor = FACTORS[server] * pace * random.lognormvariate(0, 0.1)
    steps = random.randint(40, 300)
    return StreamTimes(
        server=server,
        service="models",
        slots=12,
        load=load,
        prompt_tokens=prompt_tokens,
        first_s=factor * engine.first_s(prompt_tokens),
        step_tokens=steps,
        steps_s=factor * steps * engine.at_load(load).output_token_s,
    )


def first_error(timings: EngineTimings, engine: EngineTimings) -> float:
    """Return the mean error of first tokens, relative to that of steps."""
    prompts = (50, 500, 2000, 8000, 30_000)
    ratios = [
        log(timings.first_s(prompt) / engine.first_s(prompt))
        - log(timings.output_token_s / engine.at_load(6.0).output_token_s)
        for prompt in prompts
    ]
    return mean(abs(ratio) for ratio in ratios)


class EngineTimesTest(TestCase):
    """Guards against predictions from the times of another engine."""

    def learn(
        self, engine: EngineTimings, slow_share: float = 0.0, seed: int = 1
    ) -> EngineTimes:
        """Return what a new instance takes from five peers."""
        random = Random(seed)
        instances = [EngineTimes() for _ in range(5)]
        for step in range(1500):
            pace = 4.0 if random.random() < slow_share else 1.0
            times = draw_times(random, engine, pace)
            random.choice(instances).record(times, step * 0.04)
        fresh = EngineTimes()
        for index, instance in enumerate(instances):
            fresh.record_peer(f"e{index}", instance.report(60.0), 60.0)
        return fresh

    def test_times_of_a_service_are_learned(self):
        for seed in (1, 2, 3):
            with self.subTest(seed):
                timings = self.learn(ENGINE, seed=seed).timings("models", 60)
                nominal = first_error(NOMINAL_TIMINGS, ENGINE)
                learned = first_error(timings, ENGINE)
                self.assertLess(learned, 0.15)
                self.assertLess(learned, nominal / 2)
                growth = timings.step_growth_s / timings.output_token_s
                wanted = 0.00008 / ENGINE.at_load(6.0).output_token_s
                self.assertAlmostEqual(wanted, growth, delta=wanted * 0.4)

    def test_moments_of_slowness_do_not_count(self):
        timings = self.learn(ENGINE, slow_share=0.1).timings("models", 60.0)
        self.assertLess(first_error(timings, ENGINE), 0.2)

    def test_engine_without_growth_has_none(self):
        engine = EngineTimings(output_token_s=0.0028)
        timings = self.learn(engine).timings("models", 60.0)
        self.assertLess(timings.step_growth_s, 0.006 * timings.output_token_s)

    def test_reference_request_keeps_its_time(self):
        timings = self.learn(ENGINE).timings("models", 60.0)
        for item in (timings, NOMINAL_TIMINGS):
            total_s = item.first_s(1000) + 150 * item.output_token_s
            self.assertAlmostEqual(0.69826, total_s, places=4)

    def test_servers_have_factors(self):
        random = Random(4)
        times = EngineTimes()
        for step in range(400):
            times.record(draw_times(random, ENGINE), step * 0.1)
        ratio = times.factor("s5") / times.factor("s1")
        self.assertAlmostEqual(2.8 / 0.55, ratio, delta=1.0)

    def test_times_are_nominal_unless_learned(self):
        learning = ServerLearning()
        backend = Backend(entry=build_entry())
        work = learning.record_stream(
            backend,
            build_request(input_tokens=1000),
            load=9.0,
            output_tokens=150,
            first_event_tokens=6,
            first_s=1.0,
            took_s=4.0,
            now_s=1.0,
        )
        self.assertAlmostEqual(0.69826, work.total_s, places=5)
        self.assertFalse(learning.times_report(1.0))


class TimesReportTest(TestCase):
    """Guards against sums of a peer that spoil the times."""

    def test_sums_are_sent(self):
        random = Random(1)
        times = EngineTimes()
        for step in range(100):
            times.record(draw_times(random, ENGINE), step * 0.1)
        report = PeerReport(
            name="e2",
            incarnation=1,
            sequence=1,
            engine_times=times.report(10.0),
        )
        sent = decode_report(encode_report(report)).engine_times["models"]
        self.assertAlmostEqual(
            1.0,
            sent.step.vector[1] / times.report(10.0)["models"].step.vector[1],
            places=4,
        )

    def test_odd_sums_are_refused_and_inconsistent_ones_not_used(self):
        for value in (-1.0, 1e16, float("nan"), "9"):
            with self.subTest(value), self.assertRaises(ValueError):
                FitSums.from_list(2, [value] * FitSums.length(2))
        sums = self._odd_sums()
        negative = EngineTimes().report(1.0) | {"models": TimeSums()}
        negative["models"].step.weight = -1.0
        report = PeerReport(
            name="e2", incarnation=1, sequence=1, engine_times=negative
        )
        with self.assertRaises(AzurewickError):
            decode_report(encode_report(report))
        times = EngineTimes()
        times.record_peer("e2", {"models": sums}, 1.0)
        with self.assertLogs("azurewick.entry.engine_times", "WARNING"):
            self.assertEqual(NOMINAL_TIMINGS, times.timings("models", 1.0))

    @staticmethod
    def _odd_sums():
        sums = EngineTimes()
        random = Random(1)
        for step in range(50):
            sums.record(draw_times(random, ENGINE), step * 0.1)
        odd = sums.report(5.0)["models"]
        odd.step.matrix[0][1] = odd.step.matrix[1][0] = exp(30)
        return odd
