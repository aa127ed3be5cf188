"""Decisions about one lease.

Processes don't compare their clocks. A holder counts its lease from before
it sent the write; the others count from when they first saw the write. So
the holder's time is over first.
"""

from __future__ import annotations

from dataclasses import replace
from enum import StrEnum

from azurewick.store.protocols import StoredObject

PLURAL_LEASES = "leases"
DEFAULT_LEASE_DURATION_S = 15.0
# Allowance for clocks that run at different rates, and for the time between
# a check of the lease and the action that follows it.
SAFETY_SHARE = 0.2
RENEWALS_PER_DURATION = 3
MAX_LEASE_DURATION_S = 600.0


class LeaseStep(StrEnum):
    """What a process does next about a lease."""

    CREATE = "create"
    TAKE = "take"
    RENEW = "renew"
    WAIT = "wait"


def get_fencing_number(item: StoredObject) -> int:
    """Return the fencing number of a lease object.

    It is the version of the write that took the lease, which that write
    itself can't contain; renewals contain it.
    """
    number = item.spec.get("fencing_number")
    return number if isinstance(number, int) and number else item.version


class LeaseDecider:
    """Decides for one process and one lease; it does no I/O.

    holder has to name one incarnation of a process.
    """

    def __init__(
        self,
        name: str,
        holder: str,
        duration_s: float = DEFAULT_LEASE_DURATION_S,
    ) -> None:
        self._name = name
        self._holder = holder
        self._duration_s = duration_s
        self._item: StoredObject | None = None
        self._seen_s = 0.0
        self._writes = 0
        self._pending: dict[str, float] = {}
        self._token = ""
        self._number: int | None = None
        self._valid_until_s = 0.0
        self._renew_at_s = 0.0

    def fencing_number(self, now_s: float) -> int | None:
        """Return the fencing number while the lease is surely held."""
        if self._number is None or now_s >= self._valid_until_s:
            return None
        return self._number

    def observe(self, item: StoredObject | None, now_s: float) -> None:
        """Take the lease object that was read or written."""
        if (
            self._item is None
            or item is None
            or (item.version != self._item.version)
        ):
            self._seen_s = now_s
        self._item = item
        token = "" if item is None else str(item.spec.get("token", ""))
        if item is not None and token in self._pending:
            self._confirm(item, token)
        elif not token or token != self._token:
            self._number = None

    def decide(self, now_s: float) -> LeaseStep:
        """Return the next step after the object was observed."""
        if self._item is None:
            return LeaseStep.CREATE
        if self._number is not None:
            if now_s >= self._valid_until_s:
                # Nobody took it, but orders may have gone out in doubt.
                return LeaseStep.TAKE
            is_due = now_s >= self._renew_at_s
            return LeaseStep.RENEW if is_due else LeaseStep.WAIT
        holder = self._item.spec.get("holder", "")
        if holder in ("", self._holder):
            return LeaseStep.TAKE
        wait_s = self._holder_duration_s() * (1 + SAFETY_SHARE)
        is_over = now_s - self._seen_s >= wait_s
        return LeaseStep.TAKE if is_over else LeaseStep.WAIT

    def prepare(self, step: LeaseStep, now_s: float) -> StoredObject:
        """Return the object to write for a step, right before sending."""
        self._writes += 1
        token = f"{self._holder}/{self._writes}"
        # Only the last two writes can still turn up in the store.
        self._pending = dict([*self._pending.items()][-1:])
        self._pending[token] = now_s
        number = self._number if step is LeaseStep.RENEW else 0
        return replace(
            self._current(),
            spec={
                "holder": self._holder,
                "token": token,
                "duration_s": self._duration_s,
                "fencing_number": number or 0,
            },
        )

    def prepare_release(self) -> StoredObject | None:
        """Return the object that frees the lease; None when not held.

        The lease counts as lost from now on.
        """
        if self._number is None or self._item is None:
            return None
        number = self._number
        self._number = None
        spec = {"holder": "", "token": "", "fencing_number": number}
        return replace(self._item, spec=spec)

    def _confirm(self, item: StoredObject, token: str) -> None:
        sent_s = self._pending.pop(token)
        self._token = token
        self._number = get_fencing_number(item)
        self._valid_until_s = sent_s + self._duration_s * (1 - SAFETY_SHARE)
        self._renew_at_s = sent_s + self._duration_s / RENEWALS_PER_DURATION

    def _current(self) -> StoredObject:
        if self._item is not None:
            return self._item
        return StoredObject(plural=PLURAL_LEASES, name=self._name, version=0)

    def _holder_duration_s(self) -> float:
        duration_s = self._current().spec.get("duration_s")
        if not isinstance(duration_s, int | float) or not (
            0 < duration_s <= MAX_LEASE_DURATION_S
        ):
            return self._duration_s
        return duration_s
