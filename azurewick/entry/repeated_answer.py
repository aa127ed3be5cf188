"""Detection of a second answer inside the body of an answer.

A faulty server may write its answer again on the same connection. When the
first one has no length, or has been cut, the second one, head and all, becomes
a part of its body.
"""

from __future__ import annotations

import re

from azurewick.entry.models import AnswerHead
from azurewick.helpers.http_client import FRAMING_CLOSE
from azurewick.helpers.http_client import FRAMING_LENGTH

# A head whose first lines are longer isn't found.
MAX_SEARCHED_BYTES = 8192
_MARK = b"HTTP/1."
_MIN_STATUS_BYTES = len(b"HTTP/1.1 200 ")
_LINE_END = b"\r\n"
# Status line and the complete header fields after it.
_HEAD = re.compile(
    rb"HTTP/1\.[01] [1-5]\d\d(?: [^\r\n]*)?\r\n((?:[!-9;-~]+:[^\r\n]*\r\n)*)"
)
# Part of a line after a mark or after header fields.
_PART_OF_STATUS = re.compile(rb"[^\r\n]*\r?")
_PART_OF_FIELD = re.compile(rb"(?:[!-9;-~]+(?::[^\r\n]*)?)?\r?")


class RepeatedAnswerError(ValueError):
    """The body of an answer holds the head of another one."""


class RepeatedAnswerDetector:
    """Looks for the head of a second answer in a body.

    A body that ends with its connection must not hold any head with the
    fields that identify answers. One with a length may quote the head of
    another answer, but not its own. A body in chunks isn't searched: a
    second answer breaks its framing.
    """

    def __init__(self, head: AnswerHead, framing: str) -> None:
        self._identity = head.identity
        self._names = frozenset(name for name, _ in head.identity)
        self._status_line = head.status_line + _LINE_END
        self._is_unframed = framing == FRAMING_CLOSE
        self._is_active = framing in (FRAMING_CLOSE, FRAMING_LENGTH)
        # Bytes at the end of the data so far that may begin a head.
        self._open = b""

    def feed(self, data: bytes) -> None:
        """Search the next bytes of the body.

        Raises RepeatedAnswerError when they complete a head.
        """
        if not self._is_active:
            return
        data = self._open + data
        start = data.find(_MARK)
        while start >= 0:
            match = _HEAD.match(data, start)
            if match is not None and self._is_answer(match[1]):
                raise RepeatedAnswerError("the body holds a second answer")
            if match is None:
                end, part = start + len(_MARK), _PART_OF_STATUS
            else:
                end, part = match.end(), _PART_OF_FIELD
            if len(data) - start <= MAX_SEARCHED_BYTES and part.fullmatch(
                data, end
            ):
                self._open = data[start:]
                return
            start = data.find(_MARK, end)
        self._open = data[1 - len(_MARK) :]

    def finish(self) -> None:
        """Check the end of the body.

        Raises RepeatedAnswerError when the body ends inside a head. Less than
        a status code, or less than a line in a body with a length, can't be
        told from the text of a body.
        """
        if not self._is_active:
            return
        match = _HEAD.match(self._open)
        if match is None:
            is_repeated = (
                self._is_unframed
                and len(self._open) >= _MIN_STATUS_BYTES
                and self._status_line.startswith(self._open)
            )
        else:
            is_repeated = (
                self._status_line == self._open[: len(self._status_line)]
            )
        if is_repeated:
            raise RepeatedAnswerError("the body ends inside a second answer")

    def _is_answer(self, lines: bytes) -> bool:
        """Return whether header fields are those of an answer."""
        for line in lines.split(_LINE_END):
            name, _, value = line.partition(b":")
            name = name.lower()
            if self._is_unframed and name in self._names:
                return True
            if (name, value.strip()) in self._identity:
                return True
        return False
