"""Tests of the estimates of work and value."""

from __future__ import annotations

from random import Random
from unittest import TestCase

from azurewick.entry.models import RouteKind
from azurewick.entry.request_queue import Demand
from azurewick.entry.work import measure_work
from azurewick.entry.work import WorkEstimator
from tests.entry.builders import build_request
from tests.entry.builders import build_route

# Prompt, most and mean output of an answer's route; all requests state the
# same maximum.
PROMPT_TOKENS = 630
MAX_OUTPUT_TOKENS = 2940
MEAN_OUTPUT_TOKENS = 290
# Id that isn't drawn to be ranked by the mean of its route.
RANKED_BY_VALUE = "r-0"


class ValueTest(TestCase):
    """Guards against long answers that are never served under overload.

    A request's value grows with its size. When all requests of a route state
    the same maximum, only the expected length tells their sizes apart.
    """

    def setUp(self):
        self.estimator = WorkEstimator()
        self.route = build_route(kind=RouteKind.STREAM, has_prompt=True)
        random = Random(1)
        for _ in range(300):
            self.estimate(
                round(MEAN_OUTPUT_TOKENS * random.lognormvariate(-0.5, 1.0))
            )

    def estimate(self, expected_output_tokens):
        return self.estimator.estimate(
            self.route,
            build_request(
                request_id=RANKED_BY_VALUE,
                input_tokens=PROMPT_TOKENS,
                output_tokens=MAX_OUTPUT_TOKENS,
                expected_output_tokens=expected_output_tokens,
            ),
        )

    def urgency(self, expected_output_tokens) -> float:
        demand = Demand(
            rank=(0, 1),
            work=self.estimate(expected_output_tokens),
            target_s=0.4,
            deadline_at_s=12.0,
        )
        return demand.urgency(0.0)

    def test_value_grows_with_the_expected_output(self):
        short, usual, long = (
            self.estimate(tokens).value for tokens in (30, 290, 900)
        )
        self.assertLess(short, usual)
        self.assertLess(2 * usual, long)

    def test_long_answers_have_at_least_half_of_the_usual_urgency(self):
        # Before, an answer of three times the mean length had a third of the
        # urgency, and of the longest tenth a third as many were served.
        usual = self.urgency(MEAN_OUTPUT_TOKENS)
        self.assertGreater(self.urgency(3 * MEAN_OUTPUT_TOKENS), 0.5 * usual)

    def test_prompt_costs_more_than_its_own_time(self):
        """All requests in the batch wait while a prompt is processed.

        Ranked by their own times, short answers to prompts of 1,800 tokens
        went before answers of a higher tier that cost the engine less.
        """
        tag = measure_work(build_request(input_tokens=1800), 24)
        answer = measure_work(build_request(input_tokens=630), 290)
        self.assertGreater(5 * tag.cost_s, answer.cost_s)
        self.assertLess(5 * tag.total_s, answer.total_s)
        self.assertLess(answer.cost_s, answer.total_s / 5)

    def test_request_without_a_hint_has_the_value_of_a_usual_one(self):
        for _ in range(200):
            self.estimator.record_output(
                self.route,
                build_request(output_tokens=MAX_OUTPUT_TOKENS),
                MEAN_OUTPUT_TOKENS,
            )
        value = self.estimate(None).value
        self.assertAlmostEqual(1.0, value, delta=0.25)


class SizeFairnessTest(TestCase):
    """Guards against starving the longest requests of a route.

    In a burst, callers ask for twice what the engines can do. The longest
    tenth has to be served at least half as often as all.
    """

    SLOTS = 20
    DURATION_S = 30.0
    MAX_WAIT_S = 0.35

    def play(self, seed: int) -> tuple[float, float]:
        """Return the served shares of the longest tenth and of all."""
        random = Random(seed)
        estimator = WorkEstimator()
        route = build_route(kind=RouteKind.STREAM, has_prompt=True)
        waiting: list[tuple[float, float, float, int]] = []
        free_at_s = [0.0] * self.SLOTS
        requests: dict[int, int] = {}
        served: set[int] = set()
        now_s = 0.0
        mean_s = measure_work(
            build_request(input_tokens=PROMPT_TOKENS), MEAN_OUTPUT_TOKENS
        ).total_s
        while now_s < self.DURATION_S:
            now_s += random.expovariate(2 * self.SLOTS / mean_s)
            number = len(requests)
            output = round(
                MEAN_OUTPUT_TOKENS * random.lognormvariate(-0.5, 1.0)
            )
            requests[number] = output
            work = estimator.estimate(
                route,
                build_request(
                    request_id=f"{seed}-{number}",
                    input_tokens=PROMPT_TOKENS,
                    output_tokens=MAX_OUTPUT_TOKENS,
                    expected_output_tokens=output,
                ),
            )
            urgency = work.value / work.cost_s
            waiting.append((urgency, now_s, work.total_s, number))
            waiting = [
                one for one in waiting if now_s - one[1] < self.MAX_WAIT_S
            ]
            for slot, free_s in enumerate(free_at_s):
                if free_s <= now_s and waiting:
                    chosen = max(waiting)
                    waiting.remove(chosen)
                    free_at_s[slot] = now_s + chosen[2]
                    served.add(chosen[3])
        longest = sorted(requests, key=requests.__getitem__)
        longest = longest[-len(longest) // 10 :]
        return (
            sum(number in served for number in longest) / len(longest),
            len(served) / len(requests),
        )

    def test_longest_tenth_is_served_half_as_often_as_all(self):
        for seed in range(3):
            with self.subTest(seed):
                longest, everyone = self.play(seed)
                self.assertGreaterEqual(longest, 0.5 * everyone)
