"""Which engines keep the shared part of a prompt.

All instances compute the same order of the engines for a part (rendezvous
hashing), so that requests with the same part meet at one engine without any
exchange, and few of them move when an engine comes or goes.
"""

from __future__ import annotations

from collections.abc import Iterable
from heapq import nlargest
from zlib import crc32

from azurewick.entry.models import CallerRequest
from azurewick.entry.models import PromptPart

# Engines at which a part may be kept: the next one takes over while one has
# few slots left.
HOME_COUNT = 3
# Odd multiplier that spreads a difference in any bit over the higher ones.
_MIX = 0x9E3779B1
_MASK = 0xFFFFFFFF


def find_shared_part(request: CallerRequest) -> PromptPart | None:
    """Return the deepest part that other prompts may share.

    The last part belongs to the request itself. An engine needs all parts
    before a kept one, so that the tokens of all of them count.
    """
    parts = request.prompt_parts[:-1]
    if not parts:
        return None
    return PromptPart(
        name=parts[-1].name, tokens=sum(part.tokens for part in parts)
    )


def choose_homes(part: str, engines: Iterable[str]) -> list[str]:
    """Return the engines that keep a part, the first choice first."""
    part_hash = crc32(part.encode())

    def score(engine: str) -> int:
        return ((crc32(engine.encode()) ^ part_hash) * _MIX) & _MASK

    return nlargest(HOME_COUNT, engines, key=score)
