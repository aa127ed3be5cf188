"""Check of the framing of a body in chunks."""

from __future__ import annotations

_LINE_END = b"\r\n"
# Longest line with the size of a chunk and its extensions.
MAX_SIZE_LINE_BYTES = 4096
_HEX_DIGITS = frozenset(b"0123456789abcdefABCDEF")
_MAX_SIZE_DIGITS = 16


class ChunkError(ValueError):
    """A body in chunks has a damaged framing."""


class ChunkChecker:
    """Checks that each chunk of a body has the size that it states.

    aiohttp parses answers leniently: after a chunk it takes a line feed for
    the end of the line, so that a size that is too large by one gives a body
    with one byte more.
    """

    def __init__(self) -> None:
        self._is_done = False
        # Data of the current chunk that hasn't arrived yet.
        self._missing_bytes = 0
        self._is_after_data = False
        # Start of a line whose end hasn't arrived yet.
        self._rest = b""

    def feed(self, data: bytes) -> None:
        """Check the next bytes of the body.

        Raises ChunkError when a chunk doesn't end where its size says, or
        its size is invalid. Trailers aren't checked.
        """
        data = self._rest + data
        position = 0
        while position < len(data) and not self._is_done:
            if self._missing_bytes:
                taken = min(self._missing_bytes, len(data) - position)
                self._missing_bytes -= taken
                position += taken
                continue
            if self._is_after_data:
                mark = data[position : position + len(_LINE_END)]
                if not _LINE_END.startswith(mark):
                    raise ChunkError("a chunk doesn't have its size")
                if len(mark) < len(_LINE_END):
                    break
                self._is_after_data = False
                position += len(_LINE_END)
                continue
            end = data.find(_LINE_END, position)
            if end < 0:
                if len(data) - position > MAX_SIZE_LINE_BYTES:
                    raise ChunkError("the size of a chunk has no end")
                break
            self._start_chunk(data[position:end])
            position = end + len(_LINE_END)
        self._rest = b"" if self._is_done else data[position:]

    def _start_chunk(self, line: bytes) -> None:
        size = line.partition(b";")[0].strip(b" \t")
        if not 0 < len(size) <= _MAX_SIZE_DIGITS or not _HEX_DIGITS.issuperset(
            size
        ):
            raise ChunkError("the size of a chunk is no number")
        self._missing_bytes = int(size, 16)
        self._is_after_data = True
        self._is_done = not self._missing_bytes
