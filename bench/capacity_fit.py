"""Linear fits and processor-time meters of the capacity benchmark."""

from __future__ import annotations

from asyncio import AbstractEventLoop
from asyncio import Task
from collections import Counter
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Generator
from collections.abc import Sequence
from contextvars import Context
from contextvars import ContextVar
from dataclasses import dataclass
from functools import partial
from time import process_time
from time import process_time_ns
from types import coroutine
from typing import Any
from typing import TypeVar

from bench.models import BenchRow

ResultT = TypeVar("ResultT")

# The process that a task's processor time is charged to; empty for none.
CURRENT_OWNER: ContextVar[str] = ContextVar("owner", default="")
ROUNDS = 3
MICROSECONDS = 1e6  # in a second


@dataclass(frozen=True, kw_only=True, slots=True)
class Fit:
    """Least-squares line through (size, figure) points.

    residual is the largest distance of a point from the line, divided by
    the largest figure. A large residual means that the figure does not grow
    linearly with the size.
    """

    intercept: float
    slope: float
    residual: float

    def predict(self, size: float) -> float:
        """Return the figure that the line gives for a size."""
        return self.intercept + self.slope * size


def fit_line(points: Sequence[tuple[float, float]]) -> Fit:
    """Return the least-squares line through (size, figure) points."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    line = Fit(intercept=mean_y - slope * mean_x, slope=slope, residual=0.0)
    largest = max(abs(y) for _, y in points) or 1.0
    return Fit(
        intercept=line.intercept,
        slope=slope,
        residual=max(abs(y - line.predict(x)) for x, y in points) / largest,
    )


def build_row(
    name: str,
    seed: int,
    figure: float,
    unit: str,
    bound: float | None = None,
    baseline: dict[str, float] | None = None,
) -> BenchRow:
    """Return a row of the area; its figure must not exceed the bound."""
    return BenchRow(
        name=f"capacity.{name}",
        seed=seed,
        figure=figure,
        unit=unit,
        bound=bound,
        baseline=baseline or {},
        ok=bound is None or figure <= bound,
    )


def build_series(
    name: str,
    seed: int,
    points: Sequence[tuple[float, float]],
    unit: str,
    bound: float | None = None,
) -> list[BenchRow]:
    """Return a row for each size.

    Only the last row, that of the largest size, has the bound and the fit.
    """
    line = fit_line(points)
    last = len(points) - 1
    fit = {
        "slope": line.slope,
        "intercept": line.intercept,
        "residual": line.residual,
    }
    return [
        build_row(
            f"{name}.{size:g}",
            seed,
            figure,
            unit,
            bound if index == last else None,
            fit if index == last else None,
        )
        for index, (size, figure) in enumerate(points)
    ]


def measure_us(action: Callable[[], object], count: int) -> float:
    """Return the processor time of one action in microseconds.

    The action runs count times in each round. The fastest round is used,
    because other work on the machine only makes a round slower.
    """
    best_s = float("inf")
    for _ in range(ROUNDS):
        started_s = process_time()
        for _ in range(count):
            action()
        best_s = min(best_s, process_time() - started_s)
    return best_s / count * MICROSECONDS


class ProcessorMeter:
    """Attributes the processor time of one event loop to owners.

    Each task gets its owner from CURRENT_OWNER when it is created. The
    meter's own cost, about a microsecond for each step of a task, is charged
    to the owner too.
    """

    def __init__(self, loop: AbstractEventLoop) -> None:
        self.spent_ns: Counter[str] = Counter()
        self._owner = ""
        self._since_ns = process_time_ns()
        loop.set_task_factory(self._create_task)

    def charge_to(self, owner: str) -> str:
        """Charge the time from now on to an owner; return the previous one."""
        now_ns = process_time_ns()
        self.spent_ns[self._owner] += now_ns - self._since_ns
        self._since_ns = now_ns
        previous, self._owner = self._owner, owner
        return previous

    def reset(self) -> None:
        """Discard the time that was charged until now."""
        self.charge_to(self._owner)
        self.spent_ns.clear()

    async def async_run_charged(
        self, owner: str, work: Coroutine[Any, Any, ResultT]
    ) -> ResultT:
        """Run a coroutine and charge its processor time to an owner."""
        result: ResultT = await self._step_charged(owner, work)
        return result

    @coroutine
    def _step_charged(
        self, owner: str, work: Coroutine[Any, Any, Any]
    ) -> Generator[Any, Any, Any]:
        resume: Callable[[], Any] = partial(work.send, None)
        while True:
            previous = self.charge_to(owner)
            try:
                waiting = resume()
            except StopIteration as stop:
                return stop.value
            finally:
                self.charge_to(previous)
            try:
                value = yield waiting
            except BaseException as err:
                resume = partial(work.throw, err)
            else:
                resume = partial(work.send, value)

    def _create_task(
        self,
        loop: AbstractEventLoop,
        work: Coroutine[Any, Any, Any] | Generator[Any, None, Any],
        context: Context | None = None,
    ) -> Task[Any]:
        owner = CURRENT_OWNER.get()
        if owner and isinstance(work, Coroutine):
            work = self.async_run_charged(owner, work)
        return Task(work, loop=loop, context=context)
