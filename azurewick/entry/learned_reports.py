"""Part of a report about learned limits and times.

Their codecs are imported only when a report has this part: a start takes
longer with them, and by default nothing is learned.
"""

from __future__ import annotations

from typing import Any

from azurewick.entry.peers import PeerReport


def encode_learned(report: PeerReport) -> list[Any]:
    """Return the JSON form of what an instance has learned."""
    from azurewick.entry.capacity_codec import encode_capacity
    from azurewick.entry.engine_times import encode_times

    return [
        *encode_capacity(report.capacity),
        encode_times(report.engine_times),
    ]


def read_learned(body: Any) -> dict[str, Any]:
    """Return the fields of a PeerReport, none without a body."""
    if body is None:
        return {}
    from azurewick.entry.capacity_codec import read_capacity
    from azurewick.entry.engine_times import read_times

    return {
        "capacity": read_capacity(body),
        "engine_times": read_times(body[3:]),
    }
