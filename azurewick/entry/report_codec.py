"""Encoding of the reports that entry instances send each other."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import astuple
from dataclasses import fields as dataclass_fields
from typing import Any
from zlib import compress
from zlib import decompressobj
from zlib import error as ZlibError

import orjson

from azurewick.entry.cold_reports import encode_claims
from azurewick.entry.cold_reports import read_claims
from azurewick.entry.departures import Departure
from azurewick.entry.departures import DepartureSource
from azurewick.entry.evacuations import decode_evacuations
from azurewick.entry.evacuations import encode_evacuations
from azurewick.entry.learned_reports import encode_learned
from azurewick.entry.learned_reports import read_learned
from azurewick.entry.outcomes import OutcomeCount
from azurewick.entry.peers import PeerReport
from azurewick.entry.speeds import SpeedSample
from azurewick.entry.version_moves import MoveReport
from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Step
from azurewick.helpers.validation import shorten
from azurewick.poison.culprits import Conviction
from azurewick.poison.culprits import Suspicion
from azurewick.replication.models import ConfigurationNotice
from azurewick.rollout.canary import RouteEvidence
from azurewick.rollout.canary import VersionCounts

# Fastest level of zlib; a report has a few hundred bytes.
COMPRESSION_LEVEL = 1
# Counts of outcomes and speeds are sent as integer multiples of this.
OUTCOME_UNIT = 0.1
# Unit of the times in reports of speeds.
SPEED_UNIT_S = 0.01
# Unit of the ages of crashes and of sound answers.
AGE_UNIT_S = 0.01
# Limit of a report after decompression; enough for thousands of servers and
# customers.
MAX_REPORT_BYTES = 262_144
# Largest integer that a report holds; sums of a few such numbers are finite.
MAX_INTEGER = 2**53

KEY_NAME = "n"
KEY_INCARNATION = "i"
KEY_SEQUENCE = "s"
KEY_LEAVING = "l"
KEY_WANTS_LEVELS = "a"
KEY_AGE = "u"
KEY_WORK = "w"
KEY_IN_FLIGHT = "f"
KEY_OUTCOMES = "o"
KEY_SPEEDS = "d"
KEY_QUOTA = "q"
KEY_LEVELS = "t"
KEY_SUSPICIONS = "c"
KEY_CONVICTIONS = "v"
KEY_MOVES = "m"
KEY_DEPARTURES = "x"
KEY_HAS_LOST_STORE = "y"
KEY_LIST_AGE = "r"
KEY_CONFIGURATION = "g"
KEY_EVACUATIONS = "e"
KEY_RESTARTS = "k"
KEY_PROCESSOR_SHARE = "P"
KEY_CAPACITY = "h"
# Sources of departures in reports, by index.
DEPARTURE_SOURCES = tuple(DepartureSource)


def encode_report(report: PeerReport) -> bytes:
    """Encode a report as a datagram."""
    fields: dict[str, Any] = {
        KEY_NAME: report.name,
        KEY_INCARNATION: report.incarnation,
        KEY_SEQUENCE: report.sequence,
        KEY_LEAVING: report.is_leaving,
        KEY_WANTS_LEVELS: report.wants_levels,
        KEY_AGE: round(report.age_s, 2),
        KEY_WORK: round(report.work_per_s, 2),
        KEY_IN_FLIGHT: dict(report.in_flight),
        KEY_OUTCOMES: None
        if report.outcomes is None
        else {
            name: [
                round(count.ended / OUTCOME_UNIT),
                round(count.failed / OUTCOME_UNIT),
            ]
            for name, count in report.outcomes.items()
        },
        KEY_QUOTA: _round_values(report.quota_used),
        KEY_LEVELS: _round_values(report.quota_levels),
    }
    if report.speeds:
        fields[KEY_SPEEDS] = {
            name: [
                round(sample.count / OUTCOME_UNIT),
                round(sample.slowdown_sum / OUTCOME_UNIT),
                round(sample.first_s / SPEED_UNIT_S),
                round(sample.nominal_first_s / SPEED_UNIT_S),
            ]
            for name, sample in report.speeds.items()
        }
    if report.suspicions:
        fields[KEY_SUSPICIONS] = [
            _encode_suspicion(suspicion) for suspicion in report.suspicions
        ]
    if report.convictions:
        fields[KEY_CONVICTIONS] = [
            [
                conviction.trait,
                round(conviction.age_s / AGE_UNIT_S),
                conviction.server_runs,
            ]
            for conviction in report.convictions
        ]
    if report.moves:
        fields[KEY_MOVES] = [_encode_move(move) for move in report.moves]
    if report.departures:
        fields[KEY_DEPARTURES] = [
            [item.run, DEPARTURE_SOURCES.index(item.source), item.revision]
            for item in report.departures
        ]
    if report.list_age_s is not None:
        fields[KEY_LIST_AGE] = round(report.list_age_s / AGE_UNIT_S)
    if report.configuration is not None:
        fields[KEY_CONFIGURATION] = _encode_notice(report.configuration)
    if report.evacuations is not None:
        fields[KEY_EVACUATIONS] = encode_evacuations(report.evacuations)
    if report.restarts:
        fields[KEY_RESTARTS] = encode_claims(report.restarts)
    if report.processor_share:
        fields[KEY_PROCESSOR_SHARE] = round(report.processor_share, 2)
    if report.capacity or report.engine_times:
        fields[KEY_CAPACITY] = encode_learned(report)
    if report.has_lost_store:
        fields[KEY_HAS_LOST_STORE] = True
    return compress(orjson.dumps(fields), COMPRESSION_LEVEL)


def decode_report(data: bytes) -> PeerReport:
    """Return the report in a datagram.

    Raises AzurewickError with code invalid_request.
    """
    try:
        body = orjson.loads(_decompress(data))
        return PeerReport(
            name=_read_text(body, KEY_NAME),
            incarnation=_read_int(body[KEY_INCARNATION]),
            sequence=_read_int(body[KEY_SEQUENCE]),
            is_leaving=body[KEY_LEAVING] is True,
            wants_levels=body[KEY_WANTS_LEVELS] is True,
            age_s=_read_float(body[KEY_AGE]),
            work_per_s=max(0.0, _read_float(body[KEY_WORK])),
            in_flight=_read_counts(body[KEY_IN_FLIGHT]),
            outcomes=_read_outcomes(body[KEY_OUTCOMES]),
            speeds=_read_speeds(body.get(KEY_SPEEDS, {})),
            quota_used=_read_counts(body[KEY_QUOTA]),
            quota_levels=_read_counts(body[KEY_LEVELS]),
            suspicions=_read_suspicions(body.get(KEY_SUSPICIONS, [])),
            convictions=_read_convictions(body.get(KEY_CONVICTIONS, [])),
            moves=_read_moves(body.get(KEY_MOVES, [])),
            departures=_read_departures(body.get(KEY_DEPARTURES, [])),
            list_age_s=_read_age(body.get(KEY_LIST_AGE)),
            configuration=_read_notice(body.get(KEY_CONFIGURATION)),
            evacuations=decode_evacuations(body.get(KEY_EVACUATIONS)),
            restarts=read_claims(body.get(KEY_RESTARTS, [])),
            has_lost_store=body.get(KEY_HAS_LOST_STORE) is True,
            processor_share=max(
                0.0, _read_float(body.get(KEY_PROCESSOR_SHARE, 0.0))
            ),
            **read_learned(body.get(KEY_CAPACITY)),
        )
    except (
        AttributeError,
        IndexError,
        KeyError,
        OverflowError,
        RecursionError,
        TypeError,
        ValueError,
        ZlibError,
    ) as err:
        raise AzurewickError(
            ErrorCode.INVALID_REQUEST,
            f"datagram is not a valid report: {err!r}",
            step=Step.SYNC,
        ) from err


def _decompress(data: bytes) -> bytes:
    """Decompress the body of a datagram.

    Raises ValueError when it is larger than MAX_REPORT_BYTES or incomplete,
    and ZlibError when it is not compressed data.
    """
    decompressor = decompressobj()
    body = decompressor.decompress(data, MAX_REPORT_BYTES)
    if not decompressor.eof:
        raise ValueError(
            f"report is incomplete or larger than {MAX_REPORT_BYTES} bytes"
        )
    return body


def _encode_suspicion(suspicion: Suspicion) -> list[Any]:
    sound_age_s = suspicion.sound_age_s
    return [
        suspicion.trait,
        {
            run: round(age_s / AGE_UNIT_S)
            for run, age_s in suspicion.crash_ages_s.items()
        },
        None if sound_age_s is None else round(sound_age_s / AGE_UNIT_S),
    ]


def _read_suspicions(body: Any) -> tuple[Suspicion, ...]:
    return tuple(
        Suspicion(
            trait=_as_text(trait),
            crash_ages_s={
                run: _read_int(age) * AGE_UNIT_S for run, age in ages.items()
            },
            sound_age_s=None
            if sound is None
            else _read_int(sound) * AGE_UNIT_S,
        )
        for trait, ages, sound in body
    )


def _read_convictions(body: Any) -> tuple[Conviction, ...]:
    return tuple(
        Conviction(
            trait=_as_text(trait),
            age_s=_read_int(age) * AGE_UNIT_S,
            server_runs=tuple(_as_text(run) for run in runs),
        )
        for trait, age, runs in body
    )


def _read_age(value: Any) -> float | None:
    return None if value is None else max(0.0, _read_int(value) * AGE_UNIT_S)


def _encode_notice(notice: ConfigurationNotice) -> list[Any]:
    return [
        notice.revision,
        notice.checked_revision,
        round(notice.age_s / AGE_UNIT_S),
        notice.read_time_s,
        notice.is_receiving,
    ]


def _read_notice(body: Any) -> ConfigurationNotice | None:
    if body is None:
        return None
    revision, checked_revision, age, read_time_s, is_receiving = body
    return ConfigurationNotice(
        revision=_read_int(revision),
        checked_revision=_read_int(checked_revision),
        age_s=max(0.0, _read_int(age) * AGE_UNIT_S),
        read_time_s=_read_float(read_time_s),
        is_receiving=is_receiving is True,
    )


def _read_departures(body: Any) -> tuple[Departure, ...]:
    return tuple(
        Departure(
            run=_as_text(run),
            source=DEPARTURE_SOURCES[_read_int(source)],
            revision=_read_int(revision),
        )
        for run, source, revision in body
    )


def _encode_move(move: MoveReport) -> list[Any]:
    return [
        move.service,
        move.target_version,
        round(move.age_s / AGE_UNIT_S),
        move.is_rejected,
        {
            route: [_encode_counts(counts.old), _encode_counts(counts.new)]
            for route, counts in move.evidence.items()
        },
    ]


def _encode_counts(counts: VersionCounts) -> list[float]:
    return [round(value, 2) for value in astuple(counts)]


def _read_moves(body: Any) -> tuple[MoveReport, ...]:
    return tuple(
        MoveReport(
            service=_as_text(service),
            target_version=_as_text(target_version),
            age_s=_read_int(age) * AGE_UNIT_S,
            is_rejected=is_rejected is True,
            evidence={
                route: RouteEvidence(
                    old=VersionCounts(**_read_version_counts(old)),
                    new=VersionCounts(**_read_version_counts(new)),
                )
                for route, (old, new) in evidence.items()
            },
        )
        for service, target_version, age, is_rejected, evidence in body
    )


def _read_version_counts(body: Any) -> dict[str, float]:
    names = [item.name for item in dataclass_fields(VersionCounts)]
    return {
        name: _read_float(value)
        for name, value in zip(names, body, strict=True)
    }


def _round_values(amounts: Mapping[str, float]) -> dict[str, int]:
    return {name: round(amount) for name, amount in amounts.items()}


def _read_text(body: Any, key: str) -> str:
    return _as_text(body[key])


def _as_text(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f"{shorten(value)} is not a string")
    return value


def _read_outcomes(body: Any) -> dict[str, OutcomeCount] | None:
    if body is None:
        return None
    if not isinstance(body, dict):
        raise TypeError("outcomes are not an object")
    return {
        name: OutcomeCount(
            ended=_read_int(ended) * OUTCOME_UNIT,
            failed=_read_int(failed) * OUTCOME_UNIT,
        )
        for name, (ended, failed) in body.items()
    }


def _read_speeds(body: Any) -> dict[str, SpeedSample]:
    if not isinstance(body, dict):
        raise TypeError("speeds are not an object")
    return {
        name: SpeedSample(
            count=_read_int(count) * OUTCOME_UNIT,
            slowdown_sum=_read_int(slowdown_sum) * OUTCOME_UNIT,
            first_s=_read_int(first) * SPEED_UNIT_S,
            nominal_first_s=_read_int(nominal_first) * SPEED_UNIT_S,
        )
        for name, (
            count,
            slowdown_sum,
            first,
            nominal_first,
        ) in body.items()
    }


def _read_counts(body: Any) -> dict[str, int]:
    if not isinstance(body, dict):
        raise TypeError("counts are not an object")
    return {name: _read_int(count) for name, count in body.items()}


def _read_int(value: Any) -> int:
    """Return a whole number; ValueError if it can't be one of a report."""
    if not isinstance(value, int) or abs(value) > MAX_INTEGER:
        raise ValueError(f"not a whole number: {shorten(value)}")
    return value


def _read_float(value: Any) -> float:
    """Return a number; ValueError if it can't be one of a report."""
    if not isinstance(value, int | float) or abs(value) > MAX_INTEGER:
        raise ValueError(f"not a number: {shorten(value)}")
    return float(value)
