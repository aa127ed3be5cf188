"""Limit of the concurrent requests of each server, learned from latencies.

The instances report single measurements to each other, so that all learn from
the requests of all.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import log

from azurewick.entry.backends import Backend
from azurewick.entry.capacity_policy import PLAIN_SLOT_FACTOR
from azurewick.entry.capacity_policy import usual_limit
from azurewick.entry.limit_trial import Answers
from azurewick.entry.limit_trial import BEFORE_S
from azurewick.entry.limit_trial import compare_answers
from azurewick.entry.limit_trial import RecentAnswers
from azurewick.entry.limit_trial import SETTLE_S
from azurewick.entry.limit_trial import TRIAL_S
from azurewick.entry.load_curve import Bend
from azurewick.entry.load_curve import clip_log
from azurewick.entry.load_curve import LoadCurve
from azurewick.entry.server_speed import MovingAverage
from azurewick.entry.server_speed import ServerSpeed
from azurewick.entry.slot_shares import OVERCOMMIT_SLOTS

# Largest limit of a plain server, as a multiple of its slots.
MAX_PLAIN_SLOT_FACTOR = 3.0
# Loads at which the curve may bend, as multiples of the slots. A plain server
# that behaves as announced queues beyond them.
ENGINE_KNEES = (0.25, 0.4, 0.5, 0.6, 0.7, 0.85)
PLAIN_KNEES = (0.33, 0.5, 0.75, 1.0, 1.4, 2.0)
# Slope of the load curve from which on a server counts as crowded: twice the
# requests then yield less than a third more throughput.
CROWDED_SLOPE = 0.6
# A bend limits a server if its slope exceeds this many standard errors. Some
# hundred bends are tested an hour for each server.
MIN_BEND_ERRORS = 4.5
# A limit is raised at once if the slope above it is below CROWDED_SLOPE by
# this many standard errors.
RELEASE_ERRORS = 2.0
# Limits are checked again after this time.
UPDATE_S = 0.5
# Without evidence for or against a limit, it is raised by a step of a twelfth
# of the largest limit after this time. It doubles with each trial that shows
# that the server is crowded there.
RAISE_AFTER_S = 8.0
MAX_RAISE_AFTER_S = 64.0
# Time until the next step after a trial that was no harm.
RAISE_AGAIN_AFTER_S = 1.0
STEPS_PER_LIMIT = 12
# Lower limits of an engine are tried, as long prompts make load and latency
# grow together without a knee. The first trial comes after this time, which
# doubles with each trial that shows no gain: it costs throughput on an engine
# that isn't crowded. A full engine whose load hardly varies is tried with a
# part of its limit less.
LOWER_AFTER_S = 8.0
MAX_LOWER_AFTER_S = 600.0
LOWER_PART = 3
# Time until the next trial after one with a gain.
LOWER_AGAIN_AFTER_S = 4.0
# An engine is full if its mean load exceeds this share of its limit.
FULL_SHARE = 0.85
# Loads up to this share of the slots are small. A lower limit is tried only on
# an engine that is slower by CROWDED_FACTOR than the average of the answers at
# small loads, of which there have to be some.
UNCROWDED_SHARE = 0.5
UNCROWDED_WEIGHT = 0.02
MIN_UNCROWDED = 10
CROWDED_FACTOR = 1.6
# A lower limit is kept if the slope exceeds this many standard errors.
MIN_TRIAL_ERRORS = 3.0
# The slope that confirms a bend of the load curve. A trial compares mean
# loads, of which only a part is above the knee.
CONFIRMING_SLOPE = 0.3
# Bounds of a report: measurements, their age, and limits.
MAX_REPORTED_SAMPLES = 8
MAX_REPORTED_AGE_S = 4.5
MAX_REPORTED_LIMITS = 32


@dataclass(frozen=True, kw_only=True, slots=True)
class _Trial:
    """Trial of another limit than the former one.

    min_slope and min_errors are what a lower limit has to show to be kept.
    """

    former: int
    started_s: float
    before: Answers | None
    min_slope: float
    min_errors: float


class ServerCapacity:
    """Learned limit of one run of a server.

    A bend of the load curve that is steep and certain lowers the limit; of an
    engine, after a trial that shows that the latency falls with it. The limit
    rises by steps, as the loads above it are measured only while it is
    exceeded.
    """

    def __init__(self, backend: Backend, now_s: float) -> None:
        entry = backend.entry
        self.started_ms = entry.started_ms
        self.service = entry.service
        self.slots = entry.slots
        self.usual = usual_limit(backend)
        self.samples = 0
        self.speed = ServerSpeed()
        self._is_engine = backend.is_engine
        self.max = (
            entry.slots
            if backend.is_engine
            else round(entry.slots * MAX_PLAIN_SLOT_FACTOR)
        )
        self.limit = self.usual
        self._step = max(1, self.max // STEPS_PER_LIMIT)
        shares = ENGINE_KNEES if backend.is_engine else PLAIN_KNEES
        self._curve = LoadCurve(entry.slots * share for share in shares)
        self._recent = RecentAnswers()
        # Slowdown at small loads, over a long time.
        self._uncrowded = MovingAverage(UNCROWDED_WEIGHT)
        self._updated_s = now_s
        self._changed_s = now_s
        # Largest load since the last change of the limit.
        self._peak_load = 0.0
        self._trial: _Trial | None = None
        self._raise_after_s = RAISE_AFTER_S
        self._lower_after_s = LOWER_AFTER_S
        self._lowered_s = now_s

    def add(self, load: float, slowdown: float, ended_s: float) -> None:
        """Add the slowdown of an answer, or of a first output if load is 0."""
        if not load:
            self.speed.add_first(slowdown, ended_s)
            return
        self.samples += 1
        self.speed.add(slowdown, ended_s)
        # Engines queue requests beyond their slots, which says nothing about
        # the load up to them.
        if load <= self.max + OVERCOMMIT_SLOTS:
            load = min(load, self.max)
            log_slowdown = clip_log(slowdown)
            self._curve.add(load, log_slowdown, ended_s)
            self._recent.add(log(max(1.0, load)), log_slowdown, ended_s)
            self._peak_load = max(self._peak_load, load)
            if load <= UNCROWDED_SHARE * self.slots:
                self._uncrowded.add(log_slowdown)

    def adopt(self, limit: int, now_s: float) -> None:
        """Take the limit of the instance that leads for this server."""
        self._trial = None
        limit = max(1, min(self.max, limit))
        if limit != self.limit:
            self._set(limit, now_s)

    def update(self, now_s: float, *, leads: bool) -> None:
        """Adjust the limit to the measurements, once in UPDATE_S.

        Only one instance leads and makes trials, which need a change of the
        load of all.
        """
        if 0 <= now_s - self._updated_s < UPDATE_S:
            return
        self._updated_s = now_s
        if self._trial is not None:
            if now_s - self._trial.started_s >= TRIAL_S:
                self._end_trial(self._trial, now_s)
            return
        makes_trials = leads and self._is_engine
        wanted = self._wanted()
        if wanted is not None and wanted < self.limit:
            if not makes_trials:
                self._set(wanted, now_s)
            elif self._may_lower(now_s):
                self._start_trial(
                    wanted,
                    now_s,
                    min_slope=CONFIRMING_SLOPE,
                    min_errors=0.0,
                )
        elif (
            makes_trials or wanted is None or self.limit < wanted
        ) and self._may_rise(now_s):
            self._raise(now_s, is_trial=makes_trials)
        elif makes_trials and self._is_full(now_s):
            part = max(1, self.limit // LOWER_PART)
            self._start_trial(self.limit - part, now_s)

    def _wanted(self) -> int | None:
        """Return the limit by a bend that is steep and certain."""
        bend = self._curve.sharpest_bend(
            None if self._is_engine else self.slots
        )
        if bend is None or not _is_crowded(bend):
            return None
        factor = 1.0 if self._is_engine else PLAIN_SLOT_FACTOR
        return max(1, round(bend.load * factor))

    def _raise(self, now_s: float, *, is_trial: bool) -> None:
        limit = min(self.max, self.limit + self._step)
        if is_trial:
            self._start_trial(limit, now_s)
        else:
            self._set(limit, now_s)

    def _start_trial(
        self,
        limit: int,
        now_s: float,
        *,
        min_slope: float = CROWDED_SLOPE,
        min_errors: float = MIN_TRIAL_ERRORS,
    ) -> None:
        self._trial = _Trial(
            former=self.limit,
            started_s=now_s,
            before=self._recent.since(now_s - BEFORE_S),
            min_slope=min_slope,
            min_errors=min_errors,
        )
        self._set(limit, now_s)

    def _end_trial(self, trial: _Trial, now_s: float) -> None:
        """Keep the limit that was tried, or return to the former one."""
        self._trial = None
        after = self._recent.since(trial.started_s + SETTLE_S)
        result = None
        if trial.before is not None and after is not None:
            result = compare_answers(trial.before, after)
        is_crowded = result is not None and result.slope > trial.min_slope
        if self.limit > trial.former:
            if is_crowded:
                self._raise_after_s = min(
                    MAX_RAISE_AFTER_S,
                    2 * max(RAISE_AFTER_S, self._raise_after_s),
                )
                self._set(trial.former, now_s)
            else:
                self._raise_after_s = RAISE_AGAIN_AFTER_S
            return
        self._lowered_s = now_s
        if (
            result is not None
            and is_crowded
            and result.slope > trial.min_errors * result.error
        ):
            self._lower_after_s = LOWER_AGAIN_AFTER_S
            return
        self._lower_after_s = min(
            MAX_LOWER_AFTER_S, 2 * max(LOWER_AFTER_S, self._lower_after_s)
        )
        self._set(trial.former, now_s)

    def _is_full(self, now_s: float) -> bool:
        """Return whether a lower limit may be tried.

        That is when the load can't rise, and the engine is slower than at
        small loads: because it is crowded, or by itself.
        """
        if not self._may_lower(now_s) or self._is_known_uncrowded():
            return False
        recent = self._recent.since(now_s - BEFORE_S)
        if recent is None or self._uncrowded.count < MIN_UNCROWDED:
            return False
        return (
            recent.load > log(FULL_SHARE * self.limit)
            and recent.slowdown > log(CROWDED_FACTOR) + self._uncrowded.value
        )

    def _may_lower(self, now_s: float) -> bool:
        """Return whether the last trial of a lower limit was long ago."""
        return (
            self.limit > 1 and now_s - self._lowered_s >= self._lower_after_s
        )

    def _is_known_uncrowded(self) -> bool:
        """Return whether the curve is flat around the limit."""
        load = self.limit / (1.0 if self._is_engine else PLAIN_SLOT_FACTOR)
        bend = self._curve.bend_near(load)
        return (
            bend is not None
            and bend.slope + RELEASE_ERRORS * bend.error < CROWDED_SLOPE
        )

    def _may_rise(self, now_s: float) -> bool:
        """Return whether the load may grow beyond the limit.

        A plain server gets more than usual only if its present limit was
        used in full.
        """
        if self.limit >= self.max:
            return False
        if self.limit >= self.usual:
            return self._peak_load >= self.limit and self._is_known_uncrowded()
        return (
            self._is_known_uncrowded()
            or now_s - self._changed_s > self._raise_after_s
        )

    def _set(self, limit: int, now_s: float) -> None:
        self.limit = limit
        self._changed_s = now_s
        self._peak_load = 0.0


def _is_crowded(bend: Bend) -> bool:
    return (
        bend.slope >= CROWDED_SLOPE
        and bend.slope >= MIN_BEND_ERRORS * bend.error
    )
