"""Probe that tells whether a server's process is gone."""

from __future__ import annotations

import asyncio
from logging import getLogger

from azurewick.helpers.address import split_address

_LOGGER = getLogger(__name__)


async def async_is_refused(address: str, timeout_s: float) -> bool:
    """Return whether connections to "IP:port" are refused.

    The host then runs, but no process listens there. A server that doesn't
    answer within timeout_s may as well be cut off, and isn't refused.
    """
    host, port = split_address(address)
    try:
        async with asyncio.timeout(timeout_s):
            _, writer = await asyncio.open_connection(host, port)
            writer.close()
            await writer.wait_closed()
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError) as err:
        _LOGGER.debug("probe of %s failed: %r", address, err)
    return False
