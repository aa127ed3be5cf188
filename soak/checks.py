"""Checks of the guarantees of the entry instances on a recorded history."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

from soak.const import CONFIGURATION_DELAY_S
from soak.const import CUSTOMER
from soak.const import DRAIN_NOTICE_S
from soak.const import LATENESS_SLACK_S
from soak.const import MAX_ATTEMPTS
from soak.const import PATH_BOOKING
from soak.const import PATH_DRAFT
from soak.const import PATH_LOOKUP
from soak.const import PATH_PROBE
from soak.const import ROLLBACK_SLACK_S
from soak.const import ROUTE_TIMEOUT_S
from soak.const import SERVICE_PLAIN
from soak.const import SERVICE_STREAM
from soak.const import UNDISTURBED_WINDOW_S
from soak.records import Call
from soak.records import End
from soak.records import History
from soak.records import plain_body
from soak.records import Run
from soak.records import seal_of
from soak.records import stream_body

# Statuses that guarantee that the request hasn't run and never will.
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
SERVICE_OF_PATH = {
    PATH_LOOKUP: SERVICE_PLAIN,
    PATH_BOOKING: SERVICE_PLAIN,
    PATH_DRAFT: SERVICE_STREAM,
}
# A request may arrive just before the process closes its connections. One
# that was cut within this time and has not run doesn't count as lost.
UNREAD_REQUEST_SLACK_S = 0.2
# Runs that may start or end late, as a request may be dispatched before the
# instance notices that its caller has disconnected.
MAX_LATE_RUNS = 3
# Share of the runs that may end late after their callers have disconnected.
MAX_LATE_RUN_SHARE = 0.25
# Share of the requests after the recovery that must get a 200.
MIN_SERVED_SHARE = 0.25


def find_violations(history: History, recovered_s: float) -> list[str]:
    """Return a line for each violation of a guarantee.

    recovered_s is the monotonic time from which callers must be served again.
    """
    runs = _runs_by_request(history)
    return [
        *_check_answers(history),
        *_check_single_runs(history, runs),
        *_check_refusals(history, runs),
        *_check_routing(history),
        *_check_attempts(history, runs),
        *_check_drained_servers(history),
        *_check_configuration(history),
        *_check_rollback(history),
        *_check_planned_work(history, runs),
        *_check_time_limit(history),
        *_check_abandoned_runs(history),
        *_check_recovery(history, recovered_s),
        *history.unexpected_exits,
    ]


def _runs_by_request(history: History) -> dict[str, list[Run]]:
    runs = defaultdict(list)
    for run in history.runs:
        runs[run.request_id].append(run)
    return runs


def _check_answers(history: History) -> Iterator[str]:
    """Find incomplete or unsigned successes and denied valid requests."""
    for call in history.calls:
        if call.end is not End.ANSWERED:
            continue
        if 200 <= call.status < 300:
            expected = (
                stream_body(call.request_id)
                if call.is_stream
                else plain_body(call.request_id, call.path)
            )
            if call.body != expected or call.seal != seal_of(expected):
                yield f"wrong body or signature: {_describe(call)}"
        elif call.seal and call.status != 500:
            yield f"signature without a 2xx or 500: {_describe(call)}"
        elif call.status in (400, 401, 403, 404, 413, 431):
            yield f"valid request denied: {_describe(call)}"


def _check_single_runs(
    history: History, runs: dict[str, list[Run]]
) -> Iterator[str]:
    for call in history.calls:
        if call.runs_at_most_once and len(runs.get(call.request_id, ())) > 1:
            yield f"ran more than once: {_describe(call)}"


def _check_refusals(
    history: History, runs: dict[str, list[Run]]
) -> Iterator[str]:
    for call in history.calls:
        if (
            call.end is End.ANSWERED
            and call.runs_at_most_once
            and call.status in NOT_EXECUTED_STATUSES
            and call.request_id in runs
        ):
            yield f"refused as not executed, but has run: {_describe(call)}"


def _check_routing(history: History) -> Iterator[str]:
    """Find runs at a wrong service, for a wrong customer or without a call."""
    calls = {call.request_id: call for call in history.calls}
    for run in history.runs:
        call = calls.get(run.request_id)
        if call is None or call.path != run.path:
            yield f"run without a request: {run}"
            continue
        prefix = run.path[: run.path.index("/", 1) + 1]
        expected = SERVICE_OF_PATH.get(prefix)
        if expected is not None and run.service != expected:
            yield f"ran at a wrong service: {run}"
        if run.customer != CUSTOMER:
            yield f"ran for a wrong customer: {run}"


def _check_attempts(
    history: History, runs: dict[str, list[Run]]
) -> Iterator[str]:
    for call in history.calls:
        count = len(runs.get(call.request_id, ()))
        if count > MAX_ATTEMPTS:
            yield (
                f"ran {count} times, limit {MAX_ATTEMPTS}: {_describe(call)}"
            )


def _check_drained_servers(history: History) -> Iterator[str]:
    calls = {call.request_id: call for call in history.calls}
    for drain in history.drains:
        due_s = drain.acknowledged_s + DRAIN_NOTICE_S
        for run in history.runs:
            if run.backend != drain.backend or run.started_s <= due_s:
                continue
            call = calls.get(run.request_id)
            if call is not None and history.is_undisturbed(
                call.instance,
                drain.acknowledged_s - UNDISTURBED_WINDOW_S,
                run.started_s,
                allow_planned=True,
            ):
                yield f"run started at a draining server: {run}"


def _check_configuration(history: History) -> Iterator[str]:
    """Find runs under a configuration that should have been replaced.

    A new configuration must be in force within CONFIGURATION_DELAY_S on
    each instance that no fault has affected.
    """
    calls = {call.request_id: call for call in history.calls}
    for run in history.runs:
        call = calls.get(run.request_id)
        if call is None or not run.path.startswith(PATH_PROBE):
            continue
        allowed = set()
        for change in reversed(history.changes):
            allowed.add(change.probe_service)
            if change.acknowledged_s + CONFIGURATION_DELAY_S < call.sent_s:
                break
        if run.service not in allowed and history.is_undisturbed(
            call.instance,
            call.sent_s - CONFIGURATION_DELAY_S - UNDISTURBED_WINDOW_S,
            run.started_s,
            allow_planned=True,
        ):
            yield f"older configuration in force: {run}"


def _check_rollback(history: History) -> Iterator[str]:
    """Find processes that returned to an older configuration.

    The configuration that a run used is inferred from its service. As
    several configurations have the same service, the check compares the
    newest configuration that the run may have used with the oldest one that
    explains the earlier runs of the process.
    """
    calls = {call.request_id: call for call in history.calls}
    starts = defaultdict(list)
    for name, started_s in history.starts:
        starts[name].append(started_s)
    seen: dict[tuple[str, int], tuple[int, float]] = {}
    for run in sorted(history.runs, key=lambda item: item.started_s):
        call = calls.get(run.request_id)
        if call is None or not run.path.startswith(PATH_PROBE):
            continue
        start_count = sum(
            at_s <= call.sent_s for at_s in starts[call.instance]
        )
        key = (call.instance, start_count)
        newest = _newest_possible_index(history, run)
        last_seen = seen.get(key)
        if last_seen is not None and newest < last_seen[0]:
            is_late = call.sent_s > last_seen[1] + ROLLBACK_SLACK_S
            if is_late and history.is_undisturbed(
                call.instance, last_seen[1], run.started_s, allow_planned=True
            ):
                yield f"process returned to an older configuration: {run}"
        oldest = _oldest_possible_index(
            history, run, 0 if last_seen is None else last_seen[0]
        )
        if last_seen is None or oldest > last_seen[0]:
            seen[key] = (oldest, run.started_s)


def _newest_possible_index(history: History, run: Run) -> int:
    """Return the index of the newest change that a run may have used."""
    return max(
        (
            index
            for index, change in enumerate(history.changes)
            if change.probe_service == run.service
            and change.acknowledged_s <= run.started_s
        ),
        default=0,
    )


def _oldest_possible_index(
    history: History, run: Run, first_index: int
) -> int:
    """Return the index of the oldest change that a run may have used.

    The search starts at first_index, which is the result without a match.
    """
    return next(
        (
            index
            for index, change in enumerate(history.changes)
            if index >= first_index
            and change.probe_service == run.service
            and change.acknowledged_s <= run.started_s
        ),
        first_index,
    )


def _check_planned_work(
    history: History, runs: dict[str, list[Run]]
) -> Iterator[str]:
    """Find requests cut off by a graceful stop, reload or configuration."""
    for call in history.calls:
        if call.end is not End.CUT or not history.is_undisturbed(
            call.instance,
            call.sent_s - UNDISTURBED_WINDOW_S,
            call.ended_s,
            allow_planned=True,
        ):
            continue
        request_runs = runs.get(call.request_id, [])
        if any(run.is_answer_incomplete for run in request_runs):
            continue
        if call.was_refused and not request_runs:
            continue
        # The soak passes the request and the end of the connection on.
        held_s = call.ended_s - call.sent_s
        if call.status and held_s >= ROUTE_TIMEOUT_S:
            # An instance breaks off a begun answer at the request's time
            # limit; without one, the caller gets an error.
            continue
        held_s -= history.stalled_s(call.sent_s, call.ended_s)
        if request_runs or held_s > UNREAD_REQUEST_SLACK_S:
            yield f"lost during planned work: {_describe(call)}"


def _check_time_limit(history: History) -> Iterator[str]:
    """Find requests that ended too long after their time limit."""
    for call in history.calls:
        held_s = call.ended_s - call.sent_s
        if (
            call.end in (End.ANSWERED, End.SILENT, End.CUT)
            and held_s > ROUTE_TIMEOUT_S + LATENESS_SLACK_S
            and history.is_undisturbed(
                call.instance,
                call.sent_s - UNDISTURBED_WINDOW_S,
                call.ended_s,
                allow_planned=True,
            )
        ):
            yield (
                f"held past its time limit of {ROUTE_TIMEOUT_S} s:"
                f" {_describe(call)}"
            )


def _check_abandoned_runs(history: History) -> Iterator[str]:
    """Find runs that continue or start after their callers disconnected."""
    abandoned = {
        call.request_id: call
        for call in history.calls
        if call.end is End.LEFT and not call.runs_at_most_once
    }
    late = total = 0
    late_runs = []
    started_late = []
    for run in history.runs:
        call = abandoned.get(run.request_id)
        if call is None or not history.is_undisturbed(
            call.instance,
            call.sent_s - UNDISTURBED_WINDOW_S,
            call.ended_s + LATENESS_SLACK_S,
            allow_planned=True,
        ):
            continue
        total += 1
        due_s = call.ended_s + LATENESS_SLACK_S
        if run.ended_s is None or run.ended_s > due_s:
            late += 1
            late_runs.append(f"{run}, left at {call.ended_s:.3f}")
        if run.started_s > due_s:
            started_late.append(run)
    if late > max(MAX_LATE_RUNS, MAX_LATE_RUN_SHARE * total):
        yield (
            f"{late} of {total} runs continued after a caller's disconnect: "
            f"{late_runs}"
        )
    if len(started_late) > MAX_LATE_RUNS:
        yield f"runs started after a caller's disconnect: {started_late}"


def _check_recovery(history: History, recovered_s: float) -> Iterator[str]:
    calls = [call for call in history.calls if call.sent_s >= recovered_s]
    ended = [
        call for call in calls if call.ended_s and call.end is not End.LEFT
    ]
    served = sum(
        call.end is End.ANSWERED and call.status == 200 for call in ended
    )
    if not ended or served < MIN_SERVED_SHARE * len(ended):
        yield f"{served} of {len(ended)} requests served after recovery"


def _describe(call: Call) -> str:
    return (
        f"{call.request_id} {call.path} at {call.instance} sent "
        f"{call.sent_s:.3f} ended {call.ended_s:.3f} {call.end} "
        f"status {call.status}, {len(call.body)} bytes"
        f"{', connection refused' if call.was_refused else ''}"
    )
