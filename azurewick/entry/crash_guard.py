"""Refusal of requests that crash the servers that run them."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
from logging import getLogger

from azurewick.entry.backends import Backend
from azurewick.entry.crash_watch import CrashWatch
from azurewick.entry.crash_watch import ServerCrash
from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Step
from azurewick.poison.culprits import Conviction
from azurewick.poison.culprits import CulpritTracker
from azurewick.poison.culprits import Suspicion
from azurewick.poison.trials import TrialSchedule

_LOGGER = getLogger(__name__)

# Suspicions are in the reports of an instance for this long after a change.
# Some tens of reports are sent in this time, of which some may get lost.
SUSPICION_REPORT_S = 4.0
MAX_REPORTED_SUSPICIONS = 24
MAX_REPORTED_CONVICTIONS = 16
# A crash that is older isn't news to the peers: the server may be back.
CRASH_NEWS_S = 1.0
# Crashed server runs that are remembered.
MAX_CRASHES = 500
# Source of a conviction by a crash that this instance has seen.
SOURCE_CRASH = "crash"


class CrashGuard:
    """Stops requests whose traits crash servers, over all instances.

    Crashes and sound answers of this instance and of its peers decide. The
    callbacks in on_convicted get the trait and whether a crash that this
    instance has seen itself was decisive, those in on_acquitted the trait,
    and those in on_crash the run of a server that has crashed.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.on_convicted: list[Callable[[str, bool], None]] = []
        self.on_acquitted: list[Callable[[str], None]] = []
        self.on_crash: list[Callable[[str], None]] = []
        self._clock = clock
        # Runs of servers that have crashed, by the time of the news.
        self._crashed_s: OrderedDict[str, float] = OrderedDict()
        # Names of the convictions that this instance has found.
        self._found: set[str] = set()
        self._trials = TrialSchedule()
        self._tracker = CulpritTracker()
        self._watch = CrashWatch(self._handle_crash, clock)

    async def async_stop(self) -> None:
        """Stop looking for crashes."""
        await self._watch.async_stop()

    def raise_if_culprit(
        self, traits: Iterable[str], *, is_dispatch: bool = False
    ) -> None:
        """Raise AzurewickError with code poison_request for a culprit.

        While a trial of the conviction is due, requests may wait for a
        server. is_dispatch says that the request is about to be sent; the
        first of them is the trial.
        """
        traits = tuple(traits)
        culprit = self._tracker.find_culprit(traits, self._clock())
        if culprit is None or self._may_try(culprit, traits, is_dispatch):
            return
        raise AzurewickError(
            ErrorCode.POISON_REQUEST,
            f"requests with {culprit} crash the servers that run them",
            step=Step.SELECT,
        )

    def _may_try(
        self, culprit: str, traits: Sequence[str], is_dispatch: bool
    ) -> bool:
        """Return whether a request may run as a trial of a conviction."""
        now_s = self._clock()
        crashes = self._tracker.crash_count(culprit)
        if not self._trials.is_due(
            culprit, crashes, now_s
        ) or self._tracker.has_other_suspect(culprit, traits):
            return False
        if is_dispatch:
            self._trials.start(culprit, now_s)
            _LOGGER.info("a request with %s is sent as a trial", culprit)
        return True

    def record_lost(self, backend: Backend, traits: Iterable[str]) -> None:
        """Record that a request lost its server before a sound answer."""
        self._watch.record_lost(backend, traits)

    def record_sound(self, traits: Iterable[str]) -> None:
        """Record that a request doesn't crash its server."""
        for trait in self._tracker.record_sound(traits, self._clock()):
            self._report_acquitted(trait)
        self._report_replaced(is_own=True)

    def suspicions(self) -> list[Suspicion]:
        """Return the suspicions for the reports to the peers."""
        return self._tracker.suspicions(
            self._clock(),
            max_age_s=SUSPICION_REPORT_S,
            limit=MAX_REPORTED_SUSPICIONS,
        )

    def convictions(self) -> list[Conviction]:
        """Return the latest convictions for the reports to the peers."""
        known = self._tracker.convictions(self._clock())
        return known[-MAX_REPORTED_CONVICTIONS:]

    def record_peer(
        self,
        suspicions: Sequence[Suspicion],
        convictions: Sequence[Conviction],
    ) -> None:
        """Add the suspicions and convictions of a peer."""
        now_s = self._clock()
        for conviction in convictions:
            self.record_conviction(conviction, source="peer")
        for suspicion in suspicions:
            for server_run, age_s in suspicion.crash_ages_s.items():
                if age_s < CRASH_NEWS_S:
                    self._tell_crash(server_run, now_s)
        if suspicions:
            self._report(
                self._tracker.record_suspicions(suspicions, now_s), "peers"
            )
            self._report_replaced(is_own=False)

    def record_conviction(self, conviction: Conviction, source: str) -> None:
        """Add a conviction that another instance has reached."""
        if self._tracker.record_conviction(conviction, self._clock()):
            self._report([conviction.trait], source)

    def _tell_crash(self, server_run: str, now_s: float) -> None:
        """Call on_crash once for each crash."""
        if server_run in self._crashed_s:
            return
        self._crashed_s[server_run] = now_s
        if len(self._crashed_s) > MAX_CRASHES:
            self._crashed_s.popitem(last=False)
        for callback in self.on_crash:
            callback(server_run)

    def _handle_crash(self, crash: ServerCrash) -> None:
        self._tell_crash(crash.server_run, self._clock())
        convicted = self._tracker.record_crash(
            crash.server_run, crash.traits, self._clock()
        )
        self._report_replaced(is_own=True)
        for name in convicted:
            crashes = self._tracker.crash_count(name)
            self._trials.add(name, crashes, self._clock())
        self._report(convicted, SOURCE_CRASH)

    def _report_replaced(self, *, is_own: bool) -> None:
        """Report the convictions that were replaced.

        is_own says that evidence of this instance was decisive. Otherwise
        those that peers have found are left to the peers.
        """
        replaced = self._tracker.take_replaced()
        for old, new in replaced.items():
            crashes = self._tracker.crash_count(new)
            self._trials.replace(old, new, crashes)
        replaced = {
            old: new
            for old, new in replaced.items()
            if is_own or old in self._found
        }
        for old in replaced:
            self._report_acquitted(old)
        self._report(tuple(replaced.values()), SOURCE_CRASH)

    def _report_acquitted(self, trait: str) -> None:
        _LOGGER.warning("crashes no longer put down to %s", trait)
        self._trials.remove(trait)
        for callback in self.on_acquitted:
            callback(trait)

    def _report(self, convicted: Sequence[str], source: str) -> None:
        """Log convictions with the crashes behind them; call back."""
        if not convicted:
            return
        crashes = {
            conviction.trait: conviction.server_runs
            for conviction in self._tracker.convictions(self._clock())
        }
        if source == SOURCE_CRASH:
            self._found.update(convicted)
        self._found &= crashes.keys()
        for trait in convicted:
            _LOGGER.warning(
                "requests with %s are refused, they crash servers",
                trait,
                extra={"source": source, "crashes": crashes.get(trait, ())},
            )
            for callback in self.on_convicted:
                callback(trait, source == SOURCE_CRASH)
