"""Version moves of the demonstration."""

from __future__ import annotations

from demo.fleet import Fleet


async def async_request_move(
    fleet: Fleet, request_class: str, version: str, by_time_s: float
) -> None:
    """Ask for a version move."""


async def async_wait_for_move(
    fleet: Fleet, request_class: str, version: str, timeout_s: float
) -> str:
    """Wait for the end of a move and return its state."""
    return "unknown"
