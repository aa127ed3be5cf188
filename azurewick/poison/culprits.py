"""Attribution of server crashes to what the crashed requests had in common.

A request has traits: the parts of its prompt that others may share, and its
content. A trait that crashes servers occurs in requests that are all
different, so that no single request shows it. This module answers the load of
such requests, which may arrive at any entry instance.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from typing import Final

from azurewick.poison.convictions import convicted_traits
from azurewick.poison.convictions import ConvictionSet
from azurewick.poison.convictions import RETENTION_S

# Crashes until a trait is convicted that has never been in a sound answer.
CONVICTION_CRASHES: Final = 3
# The same for a trait that has been in sound answers before. Traits of many
# requests are in flight at most crashes, whatever causes these.
KNOWN_SOUND_CRASHES: Final = 5
# Crashes that follow each other within this time count as one: many servers
# may crash at once for a cause of their own, such as a loss of power.
CRASH_SPACING_S: Final = 0.2
KNOWN_SOUND_SPACING_S: Final = 1.0
# Limits of what is remembered; an entry takes about 300 bytes.
MAX_SUSPECTS: Final = 2000
MAX_SOUND: Final = 8000
# Limits the size of reports. Traits beyond it are left out, so that more
# requests are refused.
MAX_COMBINED_TRAITS: Final = 16
MAX_CONVICTED_AT_ONCE: Final = 8
MAX_EXPLAINED: Final = 500
# A trait of a combined conviction that has this many crashes fewer than
# another one isn't the cause.
SEPARATING_CRASHES: Final = 2
# Crashes remembered for a trait; more don't change a decision.
MAX_CRASHES: Final = 16


@dataclass(frozen=True, kw_only=True, slots=True)
class Suspicion:
    """Crashes under one trait since its last sound answer.

    crash_ages_s holds the ages of the crashes by the server run that crashed,
    and sound_age_s the age of the last sound answer.
    """

    trait: str
    crash_ages_s: Mapping[str, float]
    sound_age_s: float | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Conviction:
    """Trait that crashes servers, with the crashes that it explains.

    trait names several traits, with commas between them, if only requests
    that have all of them are refused.
    """

    trait: str
    age_s: float
    server_runs: tuple[str, ...] = ()


@dataclass(slots=True)
class _Suspect:
    """Times of the crashes under a trait by server run."""

    changed_s: float
    crashed_s: dict[str, float] = field(default_factory=dict)


class CulpritTracker:
    """Decides which traits crash servers.

    A trait that crashes each server that begins an answer on it is never in a
    sound answer. Each sound answer therefore clears the traits of its
    request, also convicted ones, and a trait is convicted after several
    crashes without one. Crashes that a conviction explains don't count
    against other traits.

    Traits that were in the same crashes are convicted together: only requests
    that have all of them are refused, among which are those that crash. The
    others show which trait is the cause. A sound answer takes its traits out
    of the conviction, and so do further crashes under some of its traits.

    Crashes that all instances have seen count. Reports of one crash have the
    same server run and count once.
    """

    def __init__(self) -> None:
        # In the order of their last change, the oldest first.
        self._suspects: OrderedDict[str, _Suspect] = OrderedDict()
        self._sound_s: OrderedDict[str, float] = OrderedDict()
        self._convicted = ConvictionSet()
        # Convictions by the server run whose crash they explain.
        self._explained_by: OrderedDict[str, str] = OrderedDict()
        # Convictions that were replaced, by those that have replaced them.
        self._narrowed: dict[str, str] = {}

    def record_sound(self, traits: Iterable[str], now_s: float) -> list[str]:
        """Record that a request crashed no server; return the acquitted."""
        traits = tuple(traits)
        named = {
            name for trait in traits for name in self._convicted.naming(trait)
        }
        for trait in traits:
            self._clear(trait, now_s)
        return sorted(
            name
            for name in named
            if name not in self._convicted and name not in self._narrowed
        )

    def record_crash(
        self, server_run: str, traits: Iterable[str], now_s: float
    ) -> list[str]:
        """Record a crash; return the traits that it convicts."""
        traits = tuple(traits)
        culprit = self.find_culprit(traits, now_s)
        if culprit is not None:
            self._explain(server_run, culprit)
        for trait in traits:
            self._add_crash(trait, server_run, now_s, now_s)
        return self._convict(now_s)

    def take_narrowed(self) -> dict[str, str]:
        """Return the replaced convictions, by new ones, since the last call.

        A new one has some traits of the old one, and the same time.
        """
        narrowed, self._narrowed = self._narrowed, {}
        return {
            old: new for old, new in narrowed.items() if new in self._convicted
        }

    def crash_count(self, name: str) -> int:
        """Return the crashes under all traits of a conviction."""
        return len(self._shared_runs(convicted_traits(name)))

    def record_suspicions(
        self, suspicions: Iterable[Suspicion], now_s: float
    ) -> list[str]:
        """Add what a peer has recorded; return the traits convicted by it."""
        for suspicion in suspicions:
            sound_s = float("-inf")
            if suspicion.sound_age_s is not None:
                sound_s = now_s - suspicion.sound_age_s
                self._clear(suspicion.trait, sound_s)
            for server_run, age_s in suspicion.crash_ages_s.items():
                crashed_s = now_s - age_s
                self._add_crash(suspicion.trait, server_run, crashed_s, now_s)
                if crashed_s <= self._last_sound_s(suspicion.trait):
                    # The peer learns of the sound answer by our suspicion.
                    self._touch(suspicion.trait, now_s)
        return self._convict(now_s)

    def record_conviction(self, conviction: Conviction, now_s: float) -> bool:
        """Record a conviction by a peer; return whether it is new."""
        self._convicted.expire(now_s)
        convicted_s = now_s - conviction.age_s
        traits = frozenset(
            trait
            for trait in convicted_traits(conviction.trait)
            if convicted_s > self._last_sound_s(trait)
        )
        if conviction.age_s >= RETENTION_S or not traits:
            return False
        is_new = not self._convicted.covers(traits)
        if is_new:
            self._add_culprit(traits, convicted_s)
        name = self._convicted.find(traits, now_s)
        for server_run in conviction.server_runs if name else ():
            self._explain(server_run, name or "")
        return is_new

    def find_culprit(self, traits: Iterable[str], now_s: float) -> str | None:
        """Return the conviction that applies to a request."""
        return self._convicted.find(traits, now_s)

    def convictions(self, now_s: float) -> list[Conviction]:
        """Return the convictions that are in force, the oldest first."""
        return [
            Conviction(
                trait=trait,
                age_s=now_s - convicted_s,
                server_runs=tuple(
                    run
                    for run, culprit in self._explained_by.items()
                    if culprit == trait
                )[-MAX_CRASHES:],
            )
            for trait, convicted_s in self._convicted
            if now_s - convicted_s < RETENTION_S
        ]

    def suspicions(
        self, now_s: float, *, max_age_s: float, limit: int
    ) -> list[Suspicion]:
        """Return the latest suspicions that changed within max_age_s."""
        found: list[Suspicion] = []
        for trait, suspect in reversed(self._suspects.items()):
            if now_s - suspect.changed_s > max_age_s or len(found) >= limit:
                break
            sound_s = self._sound_s.get(trait)
            found.append(
                Suspicion(
                    trait=trait,
                    crash_ages_s={
                        run: now_s - crashed_s
                        for run, crashed_s in suspect.crashed_s.items()
                    },
                    sound_age_s=None if sound_s is None else now_s - sound_s,
                )
            )
        return found

    def _last_sound_s(self, trait: str) -> float:
        return self._sound_s.get(trait, float("-inf"))

    def _clear(self, trait: str, sound_s: float) -> None:
        """Drop the crashes and the conviction before a sound answer."""
        if sound_s <= self._last_sound_s(trait):
            return
        self._sound_s[trait] = sound_s
        self._sound_s.move_to_end(trait)
        if len(self._sound_s) > MAX_SOUND:
            self._sound_s.popitem(last=False)
        for name in self._convicted.naming(trait):
            if sound_s > self._convicted.time_s(name):
                self._narrow(name, convicted_traits(name) - {trait})
                self._touch(trait, sound_s)
        suspect = self._suspects.get(trait)
        if suspect is None:
            return
        sound_runs = [
            run
            for run, crashed_s in suspect.crashed_s.items()
            if crashed_s <= sound_s
        ]
        for run in sound_runs:
            del suspect.crashed_s[run]
        if sound_runs:
            self._touch(trait, sound_s)

    def _add_crash(
        self, trait: str, server_run: str, crashed_s: float, now_s: float
    ) -> None:
        if (
            crashed_s <= self._last_sound_s(trait)
            or now_s - crashed_s >= RETENTION_S
        ):
            return
        known = self._suspects.get(trait)
        if known is not None and (
            server_run in known.crashed_s
            or len(known.crashed_s) >= MAX_CRASHES
        ):
            return
        self._touch(trait, now_s)
        self._suspects[trait].crashed_s[server_run] = crashed_s

    def _touch(self, trait: str, now_s: float) -> None:
        """Mark a suspicion as changed, so that the peers are told."""
        suspect = self._suspects.setdefault(trait, _Suspect(now_s))
        suspect.changed_s = max(suspect.changed_s, now_s)
        self._suspects.move_to_end(trait)
        if len(self._suspects) > MAX_SUSPECTS:
            self._suspects.popitem(last=False)

    def _convict(self, now_s: float) -> list[str]:
        """Convict until no trait has too many unexplained crashes."""
        self._convicted.expire(now_s)
        for name, traits in self._convicted.combined:
            # The one before may have taken the place of this one.
            if name in self._convicted:
                self._separate(name, traits)
        convicted: list[str] = []
        while len(convicted) < MAX_CONVICTED_AT_ONCE:
            trait = self._most_suspect(now_s)
            if trait is None:
                break
            traits = self._find_equally_suspect(trait)
            convicted.append(self._add_culprit(traits, now_s))
        return convicted

    def _separate(self, name: str, traits: frozenset[str]) -> None:
        """Narrow a conviction to the traits that were in further crashes."""
        counts = {trait: len(self._crashed_s(trait)) for trait in traits}
        most = max(counts.values())
        kept = frozenset(
            trait
            for trait, count in counts.items()
            if count > most - SEPARATING_CRASHES
        )
        if kept != traits:
            self._narrow(name, kept)

    def _narrow(self, name: str, traits: frozenset[str]) -> None:
        """Replace a conviction by one of fewer traits, or remove it."""
        convicted_s = self._convicted.time_s(name)
        self._convicted.remove(name)
        replaced = [old for old, new in self._narrowed.items() if new == name]
        for old in replaced:
            del self._narrowed[old]
        if not traits or self._convicted.covers(traits):
            return
        narrowed = self._convicted.add(traits, convicted_s)
        for old in (*replaced, name):
            self._narrowed[old] = narrowed
        for server_run, culprit in self._explained_by.items():
            if culprit == name:
                self._explained_by[server_run] = narrowed

    def _find_equally_suspect(self, trait: str) -> frozenset[str]:
        """Return the traits that were in all crashes of a trait."""
        runs = self._crashed_s(trait).keys()
        is_known = trait in self._sound_s
        found = [
            other
            for other, suspect in self._suspects.items()
            if (other in self._sound_s) == is_known
            and other not in self._convicted
            and runs <= suspect.crashed_s.keys()
        ]
        return frozenset((trait, *found[-MAX_COMBINED_TRAITS + 1 :]))

    def _crashed_s(self, trait: str) -> Mapping[str, float]:
        suspect = self._suspects.get(trait)
        return {} if suspect is None else suspect.crashed_s

    def _shared_runs(self, traits: Iterable[str]) -> set[str]:
        """Return the server runs that crashed under all of the traits."""
        return set.intersection(
            *(set(self._crashed_s(trait)) for trait in traits)
        )

    def _most_suspect(self, now_s: float) -> str | None:
        """Return the trait to convict next.

        Of several, one that was never in a sound answer comes first, then the
        one with the most crashes.
        """
        candidates = []
        for trait, suspect in self._suspects.items():
            if (
                len(suspect.crashed_s) < CONVICTION_CRASHES
                or trait in self._convicted
            ):
                continue
            is_known = trait in self._sound_s
            crashes = self._count_crashes(
                suspect,
                KNOWN_SOUND_SPACING_S if is_known else CRASH_SPACING_S,
                now_s,
            )
            if crashes >= (
                KNOWN_SOUND_CRASHES if is_known else CONVICTION_CRASHES
            ):
                candidates.append((is_known, -crashes, trait))
        return min(candidates)[2] if candidates else None

    def _count_crashes(
        self, suspect: _Suspect, spacing_s: float, now_s: float
    ) -> int:
        """Return the number of unexplained crashes that are spaced apart."""
        count = 0
        last_s = float("-inf")
        for crashed_s, run in sorted(
            (crashed_s, run) for run, crashed_s in suspect.crashed_s.items()
        ):
            if (
                crashed_s - last_s >= spacing_s
                and now_s - crashed_s < RETENTION_S
                and self._explained_by.get(run, "") not in self._convicted
            ):
                count += 1
                last_s = crashed_s
        return count

    def _add_culprit(self, traits: frozenset[str], convicted_s: float) -> str:
        """Convict a set of traits; return the name of the conviction."""
        name = self._convicted.add(traits, convicted_s)
        for server_run in self._shared_runs(traits):
            self._explain(server_run, name)
        return name

    def _explain(self, server_run: str, culprit: str) -> None:
        self._explained_by[server_run] = culprit
        if len(self._explained_by) > MAX_EXPLAINED:
            self._explained_by.popitem(last=False)
