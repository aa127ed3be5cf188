"""Least squares with few features, from sums that can be added."""

from __future__ import annotations

from collections.abc import Sequence

# Largest sum that is accepted from elsewhere; sums of some are finite.
MAX_SUM = 1e15
# Pivots below this share of the largest diagonal value make no solution.
MIN_PIVOT_SHARE = 1e-12
# Significant digits of sums that are sent.
SENT_DIGITS = 6


class FitSums:
    """Normal equations of a regression.

    matrix holds the sums of products of features, and vector those of the
    features with the target.
    """

    __slots__ = ("matrix", "vector", "weight")

    def __init__(self, size: int) -> None:
        self.matrix = [[0.0] * size for _ in range(size)]
        self.vector = [0.0] * size
        self.weight = 0.0

    def add(self, features: Sequence[float], target: float) -> None:
        """Add a sample."""
        self.weight += 1.0
        for row, left in enumerate(features):
            self.vector[row] += left * target
            for column, right in enumerate(features):
                self.matrix[row][column] += left * right

    def merge(self, other: FitSums) -> None:
        """Add the samples of other sums."""
        self.weight += other.weight
        for row, values in enumerate(other.matrix):
            self.vector[row] += other.vector[row]
            for column, value in enumerate(values):
                self.matrix[row][column] += value

    def decay(self, factor: float) -> None:
        """Multiply the weight of all samples."""
        self.weight *= factor
        self.vector = [value * factor for value in self.vector]
        self.matrix = [
            [value * factor for value in row] for row in self.matrix
        ]

    def solve(self) -> list[float]:
        """Return the coefficients, by elimination.

        Raises ValueError if the samples don't determine them.
        """
        size = len(self.vector)
        rows = [[*self.matrix[row], self.vector[row]] for row in range(size)]
        smallest = MIN_PIVOT_SHARE * max(
            self.matrix[row][row] for row in range(size)
        )
        for pivot in range(size):
            if rows[pivot][pivot] <= smallest:
                raise ValueError("samples don't determine the coefficients")
            for row in range(size):
                if row == pivot:
                    continue
                factor = rows[row][pivot] / rows[pivot][pivot]
                rows[row] = [
                    value - factor * other
                    for value, other in zip(
                        rows[row], rows[pivot], strict=True
                    )
                ]
        return [rows[row][size] / rows[row][row] for row in range(size)]

    @staticmethod
    def length(size: int) -> int:
        """Return the number of values in the list form."""
        return 1 + size + size * (size + 1) // 2

    def to_list(self) -> list[float]:
        """Return the sums as a list: weight, vector, upper triangle."""
        values = [self.weight, *self.vector]
        for row, items in enumerate(self.matrix):
            values.extend(items[row:])
        return [float(f"{value:.{SENT_DIGITS}g}") for value in values]

    @classmethod
    def from_list(cls, size: int, values: Sequence[object]) -> FitSums:
        """Return the sums in a list; ValueError if they can't be such."""
        if len(values) != cls.length(size):
            raise ValueError("wrong number of sums")
        numbers = [_read_sum(value) for value in values]
        sums = cls(size)
        sums.weight = numbers[0]
        sums.vector = numbers[1 : size + 1]
        rest = iter(numbers[size + 1 :])
        for row in range(size):
            for column in range(row, size):
                sums.matrix[row][column] = next(rest)
                sums.matrix[column][row] = sums.matrix[row][column]
        return sums


def _read_sum(value: object) -> float:
    """Return a sum; those of times, loads and lengths aren't negative."""
    if not isinstance(value, int | float) or not 0 <= value <= MAX_SUM:
        raise ValueError("not a sum within its bounds")
    return float(value)
