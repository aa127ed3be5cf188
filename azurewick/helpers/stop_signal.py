"""Signal to a daemon to stop."""

from __future__ import annotations

from asyncio import Event
from asyncio import get_running_loop
from signal import SIGINT
from signal import SIGTERM


class StopSignal:
    """Handles SIGTERM and SIGINT from its installation until the loop closes.

    aiomisc's entrypoint handles the first signal only, and only after the
    start of its services: a second one would end the process in its drain.
    """

    def __init__(self) -> None:
        self._received = Event()

    def install(self) -> None:
        """Handle the signals; call it before the listeners are open."""
        loop = get_running_loop()
        for number in (SIGINT, SIGTERM):
            loop.add_signal_handler(number, self._received.set)

    async def async_wait(self) -> None:
        """Wait for the first signal; further ones change nothing."""
        await self._received.wait()
