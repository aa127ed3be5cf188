"""Promises of the platform's callers and servers, checked on a history."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

from soak.const import CONFIG_S
from soak.const import CUSTOMER
from soak.const import DRAIN_S
from soak.const import LATE_S
from soak.const import MAX_ATTEMPTS
from soak.const import PATH_BOOKING
from soak.const import PATH_DRAFT
from soak.const import PATH_LOOKUP
from soak.const import PATH_PROBE
from soak.const import ROLLBACK_SLACK_S
from soak.const import ROUTE_TIMEOUT_S
from soak.const import SERVICE_PLAIN
from soak.const import SERVICE_STREAM
from soak.const import STABLE_WINDOW_S
from soak.records import Call
from soak.records import End
from soak.records import History
from soak.records import plain_body
from soak.records import Run
from soak.records import seal_of
from soak.records import stream_body

# Statuses that promise that the request hasn't run and never will.
PROMISES = frozenset({408, 421, 429, 503})
SERVICE_OF_PATH = {
    PATH_LOOKUP: SERVICE_PLAIN,
    PATH_BOOKING: SERVICE_PLAIN,
    PATH_DRAFT: SERVICE_STREAM,
}
# A request that is read right before the process ends is not lost.
LOSS_SLACK_S = 0.2
# A few requests may cross the notice of a cut.
LATE_RUNS_ALLOWED = 3
# Part of the runs that may go on after their callers have left.
ORPHAN_SHARE = 0.25
SERVED_SHARE = 0.25


def find_violations(history: History, recovered_s: float) -> list[str]:
    """Return a line for each broken promise.

    recovered_s is the time from which callers must be served again.
    """
    runs = _runs_by_request(history)
    return [
        *_check_answers(history),
        *_check_single_runs(history, runs),
        *_check_promises(history, runs),
        *_check_places(history),
        *_check_attempts(history, runs),
        *_check_drained(history),
        *_check_configuration(history),
        *_check_rollback(history),
        *_check_planned_work(history, runs),
        *_check_time_limit(history),
        *_check_orphans(history),
        *_check_recovery(history, recovered_s),
        *history.unexpected_exits,
    ]


def _runs_by_request(history: History) -> dict[str, list[Run]]:
    runs = defaultdict(list)
    for run in history.runs:
        runs[run.request_id].append(run)
    return runs


def _check_answers(history: History) -> Iterator[str]:
    """A success is the whole answer with its signature."""
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
                yield f"mixed answer: {_describe(call)}"
        elif call.seal and call.status != 500:
            yield f"signature on another status: {_describe(call)}"
        elif call.status in (400, 401, 403, 404, 413, 431):
            yield f"proper request denied: {_describe(call)}"


def _check_single_runs(
    history: History, runs: dict[str, list[Run]]
) -> Iterator[str]:
    for call in history.calls:
        if call.runs_once and len(runs.get(call.request_id, ())) > 1:
            yield f"ran more than once: {_describe(call)}"


def _check_promises(
    history: History, runs: dict[str, list[Run]]
) -> Iterator[str]:
    for call in history.calls:
        if (
            call.end is End.ANSWERED
            and call.runs_once
            and call.status in PROMISES
            and call.request_id in runs
        ):
            yield f"refused and has run: {_describe(call)}"


def _check_places(history: History) -> Iterator[str]:
    """Requests run at their route's service, for their customer."""
    known = {call.request_id: call for call in history.calls}
    for run in history.runs:
        call = known.get(run.request_id)
        if call is None or call.path != run.path:
            yield f"run that nobody asked for: {run}"
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
            yield f"ran {count} times: {_describe(call)}"


def _check_drained(history: History) -> Iterator[str]:
    calls = {call.request_id: call for call in history.calls}
    for departure in history.departures:
        due_s = departure.acknowledged_s + DRAIN_S
        for run in history.runs:
            if run.backend != departure.backend or run.started_s <= due_s:
                continue
            call = calls.get(run.request_id)
            if call is not None and history.is_calm(
                call.instance,
                departure.acknowledged_s - STABLE_WINDOW_S,
                run.started_s,
                allow_planned=True,
            ):
                yield f"run at a server that has drained: {run}"


def _check_configuration(history: History) -> Iterator[str]:
    """A change is in force in time on instances in touch."""
    calls = {call.request_id: call for call in history.calls}
    for run in history.runs:
        call = calls.get(run.request_id)
        if call is None or not run.path.startswith(PATH_PROBE):
            continue
        allowed = set()
        for change in reversed(history.changes):
            allowed.add(change.probe_service)
            if change.acknowledged_s + CONFIG_S < call.sent_s:
                break
        if run.service not in allowed and history.is_calm(
            call.instance,
            call.sent_s - CONFIG_S - STABLE_WINDOW_S,
            run.started_s,
            allow_planned=True,
        ):
            yield f"older configuration in force: {run}"


def _check_rollback(history: History) -> Iterator[str]:
    """A process doesn't go back to an older configuration."""
    calls = {call.request_id: call for call in history.calls}
    starts = defaultdict(list)
    for name, started_s in history.starts:
        starts[name].append(started_s)
    seen: dict[tuple[str, int], tuple[int, float]] = {}
    for run in sorted(history.runs, key=lambda one: one.started_s):
        call = calls.get(run.request_id)
        if call is None or not run.path.startswith(PATH_PROBE):
            continue
        boots = sum(at_s <= call.sent_s for at_s in starts[call.instance])
        key = (call.instance, boots)
        newest = _newest_index(history, run)
        known = seen.get(key)
        if known is not None and newest < known[0]:
            late = call.sent_s > known[1] + ROLLBACK_SLACK_S
            if late and history.is_calm(
                call.instance, known[1], run.started_s, allow_planned=True
            ):
                yield f"went back to an older configuration: {run}"
        first = _first_index(history, run, 0 if known is None else known[0])
        if known is None or first > known[0]:
            seen[key] = (first, run.started_s)


def _newest_index(history: History, run: Run) -> int:
    """Return the newest configuration that may have decided a run."""
    return max(
        (
            index
            for index, change in enumerate(history.changes)
            if change.probe_service == run.service
            and change.acknowledged_s <= run.started_s
        ),
        default=0,
    )


def _first_index(history: History, run: Run, known: int) -> int:
    """Return the oldest one from known on that allows a run."""
    return next(
        (
            index
            for index, change in enumerate(history.changes)
            if index >= known and change.probe_service == run.service
        ),
        known,
    )


def _check_planned_work(
    history: History, runs: dict[str, list[Run]]
) -> Iterator[str]:
    """Stops, reloads and configurations cut off no request."""
    for call in history.calls:
        if call.end is not End.CUT or not history.is_calm(
            call.instance,
            call.sent_s - STABLE_WINDOW_S,
            call.ended_s,
            allow_planned=True,
        ):
            continue
        own = runs.get(call.request_id, [])
        if any(run.is_spoiled for run in own):
            continue
        held_s = call.ended_s - call.sent_s
        if own or held_s > LOSS_SLACK_S:
            yield f"lost beside planned work: {_describe(call)}"


def _check_time_limit(history: History) -> Iterator[str]:
    """Each request has its final answer soon after its time limit."""
    for call in history.calls:
        held_s = call.ended_s - call.sent_s
        if (
            call.end in (End.ANSWERED, End.SILENT, End.CUT)
            and held_s > ROUTE_TIMEOUT_S + LATE_S
            and history.is_calm(
                call.instance,
                call.sent_s - STABLE_WINDOW_S,
                call.ended_s,
                allow_planned=True,
            )
        ):
            yield f"held past its time limit: {_describe(call)}"


def _check_orphans(history: History) -> Iterator[str]:
    """Runs end soon after their callers have left."""
    left = {
        call.request_id: call
        for call in history.calls
        if call.end is End.LEFT and not call.runs_once
    }
    late = total = 0
    started_late = []
    for run in history.runs:
        call = left.get(run.request_id)
        if call is None or not history.is_calm(
            call.instance,
            call.sent_s - STABLE_WINDOW_S,
            call.ended_s + LATE_S,
            allow_planned=True,
        ):
            continue
        total += 1
        due_s = call.ended_s + LATE_S
        late += run.ended_s is None or run.ended_s > due_s
        if run.started_s > due_s:
            started_late.append(run)
    if late > max(LATE_RUNS_ALLOWED, ORPHAN_SHARE * total):
        yield f"{late} of {total} runs went on after their callers had left"
    if len(started_late) > LATE_RUNS_ALLOWED:
        yield f"runs for callers that had left: {started_late}"


def _check_recovery(history: History, recovered_s: float) -> Iterator[str]:
    calls = [one for one in history.calls if one.sent_s >= recovered_s]
    ended = [one for one in calls if one.ended_s and one.end is not End.LEFT]
    served = sum(
        one.end is End.ANSWERED and one.status == 200 for one in ended
    )
    if not ended or served < SERVED_SHARE * len(ended):
        yield f"{served} of {len(ended)} requests served after recovery"


def _describe(call: Call) -> str:
    return (
        f"{call.request_id} {call.path} at {call.instance} sent "
        f"{call.sent_s:.3f} ended {call.ended_s:.3f} {call.end} "
        f"status {call.status}, {len(call.body)} bytes"
    )
