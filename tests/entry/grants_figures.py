"""Prints the figures of docs/design/slot-grants.md.

python -m tests.entry.grants_figures [part of a scenario's name]
"""

from __future__ import annotations

from collections.abc import Callable
import logging
from statistics import mean
import sys

from tests.entry.grants_model import GrantsModel
from tests.entry.sharing_model import Load
from tests.entry.sharing_model import Outcome

SEEDS = range(3)
LARGE_FLEET_INSTANCES = 30


class OwnSharesModel(GrantsModel):
    """The same simulation with the instances' own shares."""

    def __init__(self, load: Load, seed: int) -> None:
        super().__init__(load, seed)
        for instance in self._instances:
            instance.grants.is_enabled = False


def build_load(instances: int, **changes) -> Load:
    fields = {
        "engines": 29 if instances == 68 else 20,
        "slots": 12,
        "duration_s": 6.0,
        "report_interval_s": (
            0.4 if instances > LARGE_FLEET_INSTANCES else 0.2
        ),
        "min_delay_s": 0.0005,
        "max_delay_s": 0.006,
        "loss": 0.01,
    }
    return Load(instances=instances, **{**fields, **changes})


def end_broker(model: GrantsModel) -> None:
    model.at(3.0, lambda: model.kill(model.broker()))


def cut_off(model: GrantsModel) -> None:
    names = {f"e{index}" for index in range(12)}
    model.at(2.0, lambda: model.island.update(names))
    model.at(4.5, model.island.clear)


SCENARIOS = [
    *(
        (
            f"{instances} load {factor}",
            build_load(instances, load_factor=factor),
        )
        for instances in (5, 22, 36, 68)
        for factor in (0.8, 1.8)
    ),
    ("36 loss", build_load(36, loss=0.1)),
    ("36 delays", build_load(36, max_delay_s=0.03)),
    ("36 start", build_load(36, reports_start_s=0.9)),
    ("36 broker ends", build_load(36), end_broker),
    ("36 cut off", build_load(36), cut_off),
]


def print_figures(name: str, load: Load, prepare=lambda model: None) -> None:
    for build in (OwnSharesModel, GrantsModel):
        models = [build(load, seed) for seed in SEEDS]
        for model in models:
            prepare(model)
        outcomes = [model.run() for model in models]

        def average(
            read: Callable[[Outcome], float], outcomes=outcomes
        ) -> float:
            return mean(read(outcome) for outcome in outcomes)

        requests = sum(outcomes[0].arrivals_by_instance.values())
        engine_time_s = load.engines * load.duration_s
        print(
            f"{name:20} {build.__name__:15}"
            f" crowded {average(lambda o: o.crowded_s) / engine_time_s:.3f}"
            f" earned {average(lambda o: o.earned_share):.3f}"
            f" late {average(lambda o: o.late / o.served):.3f}"
            f" refused twice {average(lambda o: o.refused_again):.0f}"
            f" messages {models[0].sent.total() / requests:.1f}",
            flush=True,
        )


if __name__ == "__main__":
    logging.disable(logging.WARNING)
    wanted = " ".join(sys.argv[1:])
    for scenario in SCENARIOS:
        if wanted in scenario[0]:
            print_figures(*scenario)
