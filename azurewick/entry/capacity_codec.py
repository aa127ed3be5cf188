"""Encoding of what instances report about the capacity of servers."""

from __future__ import annotations

from typing import Any

from azurewick.entry.capacity_policy import CapacityReport
from azurewick.entry.capacity_policy import LoadSample
from azurewick.entry.server_capacity import MAX_REPORTED_LIMITS
from azurewick.entry.server_capacity import MAX_REPORTED_SAMPLES

LOAD_UNIT = 0.5
SLOWDOWN_UNIT = 0.01
AGE_UNIT_S = 0.1
# Largest integer in this part of a report.
MAX_VALUE = 1_000_000
# Numbers of samples grow as long as an instance runs.
MAX_NUMBER = 2**53


def encode_capacity(report: CapacityReport) -> list[Any]:
    """Return the JSON form: number of the first sample, samples, limits."""
    first = report.samples[0].number if report.samples else 0
    return [
        first,
        [
            [
                sample.server,
                round(sample.load / LOAD_UNIT),
                max(1, round(sample.slowdown / SLOWDOWN_UNIT)),
                round(sample.age_s / AGE_UNIT_S),
            ]
            for sample in report.samples
        ],
        dict(report.limits),
    ]


def read_capacity(body: Any) -> CapacityReport:
    """Return the report in the JSON form; ValueError or TypeError if odd.

    Of a report that exceeds the bounds, the newest samples are used.
    """
    if body is None:
        return CapacityReport()
    first, samples, limits = body[:3]
    first = _read_int(first, MAX_NUMBER)
    if not isinstance(samples, list) or not isinstance(limits, dict):
        raise TypeError("samples of capacity are not a list, or limits odd")
    skipped = max(0, len(samples) - MAX_REPORTED_SAMPLES)
    return CapacityReport(
        samples=tuple(
            LoadSample(
                number=first + index,
                server=_read_name(server),
                load=_read_int(load) * LOAD_UNIT,
                slowdown=max(1, _read_int(slowdown)) * SLOWDOWN_UNIT,
                age_s=_read_int(age) * AGE_UNIT_S,
            )
            for index, (server, load, slowdown, age) in enumerate(
                samples[skipped:], start=skipped
            )
        ),
        limits={
            name: max(1, _read_int(limit))
            for name, limit in list(limits.items())[:MAX_REPORTED_LIMITS]
        },
    )


def _read_name(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError("name of a server is not a string")
    return value


def _read_int(value: Any, maximum: int = MAX_VALUE) -> int:
    """Return a whole number from 0 to a maximum; ValueError for others."""
    if not isinstance(value, int) or not 0 <= value <= maximum:
        raise ValueError("not a whole number within its bounds")
    return value
