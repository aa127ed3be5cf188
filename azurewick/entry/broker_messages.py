"""Messages between the askers and the brokers of slots, and their encoding.

A message is a byte that tells it from a report and a JSON array. Times are
sent as what is left of them, as the clocks of two instances differ.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from math import inf
from math import isfinite
from typing import Any
from typing import NamedTuple

import orjson

from azurewick.entry.broker_election import Group
from azurewick.entry.models import PromptPart
from azurewick.entry.request_queue import Demand
from azurewick.entry.work import WorkEstimate
from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Step

# Reports are compressed and start with 0x78.
MESSAGE_MARK = b"\x01"
# Bound of an ask; excluded servers that don't fit are left out.
MAX_ASK_BYTES = 400
# Larger datagrams aren't decoded. Long names of customers and parts of prompts
# may exceed the bound of an ask.
MAX_MESSAGE_BYTES = 8_192
MAX_EXCLUDED = 8
# Longest time and largest number accepted from a peer.
MAX_TIME_S = 86_400.0
MAX_NUMBER = 2**53


class RequestKey(NamedTuple):
    """Identifies a request in the fleet.

    incarnation is the asker's; number counts its requests.
    """

    asker: str
    incarnation: int
    number: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Ask:
    """Asks for a slot of an engine of a group.

    excluded are servers that the asker can't use, the most important first.
    Without may_wait only a slot that is free at once is granted.
    """

    key: RequestKey
    group: Group
    demand: Demand
    excluded: tuple[str, ...] = ()
    may_wait: bool = True


@dataclass(frozen=True, kw_only=True, slots=True)
class Queued:
    """Acknowledges an ask that waits; wait_s is the predicted wait."""

    key: RequestKey
    wait_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Grant:
    """Grants a slot of a server."""

    key: RequestKey
    server: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Refusal:
    """Refuses a slot; wait_s is the predicted wait."""

    key: RequestKey
    wait_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Release:
    """Returns a granted slot.

    unavailable_s is for how long the asker won't use the server any more,
    because it has failed, was unreachable or wants no requests.
    """

    key: RequestKey
    server: str
    unavailable_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Withdrawal:
    """Says that the asker no longer waits."""

    key: RequestKey


AskerMessage = Ask | Release | Withdrawal
BrokerMessage = Queued | Grant | Refusal
Message = AskerMessage | BrokerMessage


class _Kind(IntEnum):
    """Kind of a message on the wire."""

    ASK = 1
    QUEUED = 2
    GRANT = 3
    REFUSAL = 4
    RELEASE = 5
    WITHDRAWAL = 6


def is_broker_message(data: bytes) -> bool:
    """Return whether a datagram is a message and not a report."""
    return data.startswith(MESSAGE_MARK)


def encode_message(message: Message, sender: str, now_s: float) -> bytes:
    """Encode a message as a datagram.

    The name of the asker is left out of answers: they are sent to it.
    """
    rest: list[Any]
    match message:
        case Ask():
            return _encode_ask(message, now_s)
        case Queued():
            kind, rest = _Kind.QUEUED, [_to_ms(message.wait_s)]
        case Grant():
            kind, rest = _Kind.GRANT, [message.server]
        case Refusal():
            kind, rest = _Kind.REFUSAL, [_to_ms(message.wait_s)]
        case Release():
            unavailable_ms = _to_ms(message.unavailable_s)
            kind, rest = _Kind.RELEASE, [message.server, unavailable_ms]
        case Withdrawal():
            kind, rest = _Kind.WITHDRAWAL, []
    key = message.key
    return _dump([kind, sender, key.incarnation, key.number, *rest])


def decode_message(
    data: bytes, own_name: str, now_s: float
) -> tuple[str, Message]:
    """Return the sender's name and the message in a datagram.

    Raises AzurewickError with code invalid_request.
    """
    try:
        if len(data) > MAX_MESSAGE_BYTES:
            raise ValueError(f"message of {len(data)} bytes")
        kind, sender, incarnation, number, *rest = orjson.loads(
            data[len(MESSAGE_MARK) :]
        )
        return _read_text(sender), _decode(
            _Kind(kind),
            _read_text(sender),
            own_name,
            (_read_int(incarnation), _read_int(number)),
            rest,
            now_s,
        )
    except (IndexError, OverflowError, TypeError, ValueError) as err:
        raise AzurewickError(
            ErrorCode.INVALID_REQUEST,
            f"datagram is not a valid broker message: {err!r}",
            step=Step.SYNC,
        ) from err


def _decode(
    kind: _Kind,
    sender: str,
    own_name: str,
    numbers: tuple[int, int],
    rest: list[Any],
    now_s: float,
) -> Message:
    if kind in (_Kind.ASK, _Kind.RELEASE, _Kind.WITHDRAWAL):
        key = RequestKey(sender, *numbers)
        if kind is _Kind.ASK:
            return _decode_ask(key, rest, now_s)
        if kind is _Kind.WITHDRAWAL:
            return Withdrawal(key=key)
        return Release(
            key=key,
            server=_read_text(rest[0]),
            unavailable_s=_read_time_s(rest[1]),
        )
    key = RequestKey(own_name, *numbers)
    if kind is _Kind.GRANT:
        return Grant(key=key, server=_read_text(rest[0]))
    wait_s = inf if rest[0] is None else _read_time_s(rest[0])
    if kind is _Kind.QUEUED:
        return Queued(key=key, wait_s=wait_s)
    return Refusal(key=key, wait_s=wait_s)


def _encode_ask(ask: Ask, now_s: float) -> bytes:
    demand = ask.demand
    part = demand.shared_part
    homes = demand.current_home_regions()
    fields = [
        _Kind.ASK,
        ask.key.asker,
        ask.key.incarnation,
        ask.key.number,
        *ask.group,
        *demand.rank,
        _to_ms(demand.work.first_token_s),
        _to_ms(demand.work.total_s),
        _to_ms(demand.work.cost_s),
        round(demand.work.value, 4),
        _to_ms(demand.target_s - now_s),
        _to_ms(demand.deadline_at_s - now_s),
        int(demand.is_caller_retry),
        int(demand.is_started),
        int(demand.on_new_version),
        int(ask.may_wait),
        demand.customer,
        None if part is None else [part.name, part.tokens],
        None if homes is None else sorted(homes),
    ]
    excluded = list(ask.excluded[:MAX_EXCLUDED])
    data = _dump([*fields, excluded])
    while len(data) > MAX_ASK_BYTES and excluded:
        excluded.pop()
        data = _dump([*fields, excluded])
    return data


def _decode_ask(key: RequestKey, rest: list[Any], now_s: float) -> Ask:
    group, rank, work, times, flags, others = (
        rest[:3],
        rest[3:5],
        rest[5:9],
        rest[9:11],
        rest[11:15],
        rest[15:],
    )
    customer, part, homes, excluded = others
    first_token_s, total_s, cost_s = map(_read_time_s, work[:3])
    value = _read_float(work[3])
    if total_s <= 0 or cost_s <= 0 or value <= 0:
        raise ValueError("work and value must be above 0")
    is_caller_retry, is_started, on_new_version, may_wait = (
        flag == 1 for flag in flags
    )
    return Ask(
        key=key,
        group=Group(
            _read_text(group[0]), _read_text(group[1]), _read_int(group[2])
        ),
        demand=Demand(
            rank=(_read_int(rank[0]), _read_int(rank[1])),
            work=WorkEstimate(
                first_token_s=first_token_s,
                total_s=total_s,
                value=value,
                engine_s=cost_s,
            ),
            target_s=now_s + _read_time_s(times[0]),
            deadline_at_s=now_s + _read_time_s(times[1]),
            is_caller_retry=is_caller_retry,
            is_started=is_started,
            on_new_version=on_new_version,
            customer=_read_text(customer),
            shared_part=None
            if part is None
            else PromptPart(
                name=_read_text(part[0]), tokens=_read_int(part[1])
            ),
            home_regions=None
            if homes is None
            else frozenset(_read_text(home) for home in homes),
        ),
        excluded=tuple(_read_text(name) for name in excluded[:MAX_EXCLUDED]),
        may_wait=may_wait,
    )


def _dump(fields: list[Any]) -> bytes:
    return MESSAGE_MARK + orjson.dumps(fields)


def _to_ms(time_s: float) -> float | None:
    return round(time_s * 1000, 1) if isfinite(time_s) else None


def _read_text(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f"{value!r} is no text")
    return value


def _read_int(value: Any) -> int:
    if not isinstance(value, int) or not 0 <= value <= MAX_NUMBER:
        raise ValueError(f"{value!r} is no valid number")
    return value


def _read_float(value: Any) -> float:
    if not isinstance(value, int | float) or not isfinite(value):
        raise TypeError(f"{value!r} is no number")
    return float(value)


def _read_time_s(value: Any) -> float:
    time_s = _read_float(value) / 1000
    if abs(time_s) > MAX_TIME_S:
        raise ValueError(f"time of {time_s} s")
    return time_s
