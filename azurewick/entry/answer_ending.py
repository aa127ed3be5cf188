"""Ways in which the answer of one attempt ends, for the request log."""

from __future__ import annotations

from enum import StrEnum

from aiohttp import ClientError

from azurewick.entry.events import EventTooLargeError
from azurewick.entry.repeated_answer import RepeatedAnswerError
from azurewick.entry.stall_watchdog import StalledError
from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode


class AnswerTooLargeError(ValueError):
    """An answer exceeds the size or the number of events that is allowed."""


class AnswerEnding(StrEnum):
    """How an answer ended.

    REFUSED stands for an answer that isn't passed on because of its head,
    NOT_RESUMED for a server that didn't go on with a stream, and REPEATED
    for a body that holds a second answer.
    """

    NONE = "none"
    COMPLETE = "complete"
    RESET = "reset"
    CLOSED_EARLY = "closed_early"
    TOO_LARGE = "too_large"
    STALLED = "stalled"
    REJECTED = "rejected"
    REFUSED = "refused"
    NOT_RESUMED = "not_resumed"
    REPEATED = "repeated"
    DAMAGED = "damaged"


class NotResumedError(AzurewickError):
    """A server has answered, but not with the rest of a stream."""


def classify_ending(error: BaseException, *, has_head: bool) -> AnswerEnding:
    """Return how an answer ended that failed with an error.

    has_head is set if the head of the answer has been received.
    """
    if isinstance(error, StalledError):
        return AnswerEnding.STALLED
    if isinstance(error, AnswerTooLargeError | EventTooLargeError):
        return AnswerEnding.TOO_LARGE
    if isinstance(error, RepeatedAnswerError):
        return AnswerEnding.REPEATED
    if isinstance(error, NotResumedError):
        return AnswerEnding.NOT_RESUMED
    if isinstance(error, AzurewickError):
        if not has_head:
            return AnswerEnding.NONE
        if error.code is ErrorCode.OVERLOADED:
            return AnswerEnding.REJECTED
        return AnswerEnding.REFUSED
    if isinstance(error, OSError) or isinstance(error.__cause__, OSError):
        return AnswerEnding.RESET
    if isinstance(error, ClientError):
        return AnswerEnding.CLOSED_EARLY
    return AnswerEnding.DAMAGED
